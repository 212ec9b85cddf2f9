/** Sends the one transaction of an attempt at a change, and reads what its answer means for the change. */
import * as either from "fp-ts/lib/Either.js";
import type { TableOperation, TableService } from "oleandergap-types";
import { formatChangeKey, formatHeadKey } from "../platform/layout.js";
import { tryAgain, endChange, failCall, type ChangeProgress, type AttemptStep } from "./changeAttempt.js";
import { toReadError } from "./changeError.js";
import type { ChangeOutcome, ChangeRequest } from "./changeRequest.js";
import type { ChangeState } from "./changeRows.js";
import type { OutcomeReader } from "./outcomeReader.js";

/** Runs `operations`; the change ends with `outcome` if they are committed. Notes an attempt whose fate is unknown. */
export type ChangeTransaction = (
    request: ChangeRequest,
    progress: ChangeProgress,
    state: ChangeState,
    operations: readonly TableOperation[],
    outcome: ChangeOutcome,
    signal: AbortSignal,
) => Promise<AttemptStep>;

/** `conclude` reads back whether an earlier attempt took effect, before the change is given up. */
export const createChangeTransaction = (
    tableService: TableService,
    conclude: OutcomeReader["conclude"],
): ChangeTransaction =>
    async (request, progress, state, operations, outcome, signal) => {
        const result = await tableService.transact(operations, signal)();
        if (either.isLeft(result)) {
            if (result.left.kind !== "OutcomeUnknown") {
                return failCall(progress, toReadError(result.left));
            }
            progress.openHeadVersions.push(state.headVersion);
            return tryAgain;
        }
        if (result.right.kind === "Committed") {
            return endChange(either.right(outcome));
        }
        const expectedKeys = [formatHeadKey(request.partner), formatChangeKey(request.partner, request.changeId)];
        if (result.right.keys.some((key) => expectedKeys.includes(key))) {
            return tryAgain;
        }
        const detail = `rows beyond the head exist already: ${result.right.keys.join(", ")}`;
        return endChange(await conclude(request, progress.openHeadVersions, { kind: "Damaged", detail }, signal));
    };
