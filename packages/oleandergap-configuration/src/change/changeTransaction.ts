/** Sends the transaction of one attempt at a change and interprets the response. */
import * as either from "fp-ts/lib/Either.js";
import type { TableOperation, TableService } from "oleandergap-types";
import { formatChangeKey, formatHeadKey } from "../platform/layout.js";
import { retryAttempt, endChange, handleFailedCall, type ChangeProgress, type AttemptResult } from "./changeAttempt.js";
import { toReadError } from "./changeError.js";
import type { ChangeOutcome, ChangeRequest } from "./changeRequest.js";
import type { ChangeState } from "./changeRows.js";
import type { OutcomeReader } from "./outcomeReader.js";

/**
 * Executes `operations` and ends the change with `outcome` if they are committed. Records the head row version of an
 * attempt with an unknown outcome.
 */
export type ChangeTransaction = (
    request: ChangeRequest,
    progress: ChangeProgress,
    state: ChangeState,
    operations: readonly TableOperation[],
    outcome: ChangeOutcome,
    signal: AbortSignal,
) => Promise<AttemptResult>;

/**
 * Creates the function that sends transactions. `resolveOutcome` reads back whether an earlier attempt
 * took effect before the change ends with an error.
 */
export const createChangeTransaction = (
    tableService: TableService,
    resolveOutcome: OutcomeReader["resolveOutcome"],
): ChangeTransaction =>
    async (request, progress, state, operations, outcome, signal) => {
        const result = await tableService.transact(operations, signal)();
        if (either.isLeft(result)) {
            if (result.left.kind !== "OutcomeUnknown") {
                return handleFailedCall(progress, toReadError(result.left));
            }
            progress.unresolvedHeadVersions.push(state.headVersion);
            return retryAttempt;
        }
        if (result.right.kind === "Committed") {
            return endChange(either.right(outcome));
        }
        const expectedKeys = [formatHeadKey(request.partner), formatChangeKey(request.partner, request.changeId)];
        if (result.right.keys.some((key) => expectedKeys.includes(key))) {
            return retryAttempt;
        }
        const detail = `rows beyond the head exist already: ${result.right.keys.join(", ")}`;
        return endChange(await resolveOutcome(request, progress.unresolvedHeadVersions, { kind: "Damaged", detail }, signal));
    };
