/**
 * Accepts a change by a compare-and-set on the head row of the partner. One transaction writes the head row, the delta,
 * the audit entry and the outcome of the change.
 *
 * The platform may lose a response after a write took effect, and a write may take effect late. Each attempt is
 * therefore conditional on the head row that it read and on the change having no recorded outcome. At most one of all
 * attempts at a change takes effect, on this node or on another. After a lost response, the outcome of the change is
 * read back from the platform and never assumed.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Logger } from "oleandergap-logger";
import type {
    Clock,
    Head,
    Milliseconds,
    ObjectStore,
    PartnerDocument,
    TableService,
} from "oleandergap-types";
import { drawBackoff, type Random } from "oleandergap-utils";
import { toHead } from "../platform/layout.js";
import type { NextVersion } from "../version/delta.js";
import { getDocumentHead } from "../version/document.js";
import { endChange, handleFailedCall, type ChangeProgress, type AttemptResult } from "./changeAttempt.js";
import { toReadError, type ChangeError } from "./changeError.js";
import type { ChangeOutcome, ChangeRequest } from "./changeRequest.js";
import { buildAcceptOperations, buildUnchangedOperations, readChangeState, type ChangeState } from "./changeRows.js";
import { createChangeTransaction } from "./changeTransaction.js";
import type { DocumentLoader, FindDocument } from "./documentLoader.js";
import type { ChangeOptions } from "./options.js";
import { createOutcomeReader, type ChangeResult } from "./outcomeReader.js";
import { planChange, resolveEdits } from "./planChange.js";
import { applyRateLimit } from "./rateLimit.js";
import { createSnapshotWriter } from "./snapshotWriter.js";

/** Dependencies of {@link createAcceptance}. */
export interface AcceptanceDependencies {
    readonly tableService: TableService;
    readonly objectStore: ObjectStore;
    readonly documentLoader: DocumentLoader;
    /** Returns the active version of a partner on this node, if there is one. */
    readonly findDocument: FindDocument;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly options: ChangeOptions;
}

/** Attempts a change until it is accepted or refused, or until `deadline` passes (monotonic time in milliseconds). */
export type Acceptance = (
    request: ChangeRequest,
    deadline: Milliseconds,
    signal: AbortSignal,
) => Promise<ChangeResult>;

/**
 * Creates the function that accepts changes on one node. Its state between changes is only a cache; correctness does
 * not depend on it.
 */
export const createAcceptance = ({
    tableService,
    objectStore,
    documentLoader,
    findDocument,
    clock,
    random,
    logger,
    options,
}: AcceptanceDependencies): Acceptance => {
    const snapshotWriter = createSnapshotWriter({ objectStore, clock, logger, options });
    const rateLimit = { ratePerSecond: options.fleetChangesPerSecond, burst: options.fleetChangesBurst };

    const { readRecordedOutcome, resolveOutcome } = createOutcomeReader(tableService);
    const transact = createChangeTransaction(tableService, resolveOutcome);

    const writeVersion = async (
        request: ChangeRequest,
        progress: ChangeProgress,
        state: ChangeState,
        document: PartnerDocument,
        next: NextVersion,
        signal: AbortSignal,
    ): Promise<AttemptResult> => {
        const acceptedAt = clock.now();
        const rateUsedUpTo = applyRateLimit(state.head.rateUsedUpTo, acceptedAt, rateLimit);
        if (either.isLeft(rateUsedUpTo)) {
            const overBudget: ChangeError = { kind: "OverBudget", ...rateUsedUpTo.left };
            return endChange(await resolveOutcome(request, progress.unresolvedHeadVersions, overBudget, signal));
        }
        const snapshot = await snapshotWriter.writeIfDue(document, state.head, signal);
        const { partner, changeId } = request;
        const { delta } = next;
        const head: Head = { partner, sequence: delta.sequence, digest: delta.digest };
        const operations = buildAcceptOperations(request, state, next, snapshot, rateUsedUpTo.right, acceptedAt);
        const outcome: ChangeOutcome = { kind: "Accepted", changeId, head, delta, isRepeat: false };
        const attemptResult = await transact(request, progress, state, operations, outcome, signal);
        if (
            attemptResult.kind === "Done" &&
            either.isRight(attemptResult.result) &&
            !attemptResult.result.right.isRepeat
        ) {
            documentLoader.cacheDocument(next.document);
        }
        return attemptResult;
    };

    const runAttempt = async (
        request: ChangeRequest,
        progress: ChangeProgress,
        signal: AbortSignal,
    ): Promise<AttemptResult> => {
        const { partner, changeId, edits } = request;
        const state = await readChangeState(tableService, request, signal);
        if (either.isLeft(state)) {
            return handleFailedCall(progress, state.left);
        }
        if (state.right.changeRow !== undefined) {
            return endChange(await readRecordedOutcome(request, state.right.changeRow, signal));
        }
        const document = await documentLoader.load(partner, state.right.head, signal);
        if (either.isLeft(document)) {
            return handleFailedCall(progress, toReadError(document.left));
        }
        progress.edits ??= resolveEdits(document.right, edits);
        const plan = planChange(document.right, progress.edits, findDocument(partner)?.sequence);
        if (either.isLeft(plan)) {
            return endChange(await resolveOutcome(request, progress.unresolvedHeadVersions, plan.left, signal));
        }
        if (plan.right === undefined) {
            const head = toHead(partner, state.right.head);
            const outcome: ChangeOutcome = { kind: "Unchanged", changeId, head, isRepeat: false };
            const operations = buildUnchangedOperations(request, state.right, getDocumentHead(document.right));
            return transact(request, progress, state.right, operations, outcome, signal);
        }
        return writeVersion(request, progress, state.right, document.right, plan.right, signal);
    };

    return async (request, deadline, signal) => {
        const progress: ChangeProgress = { edits: undefined, unresolvedHeadVersions: [], failedCallCount: 0 };
        for (let attempt = 0; attempt < options.maximumAttempts; attempt++) {
            if (attempt > 0) {
                const { backoffBaseMs, backoffMaximumMs } = options;
                await clock.sleep(drawBackoff(random, attempt, backoffBaseMs, backoffMaximumMs), signal);
            }
            if (signal.aborted || clock.monotonic() >= deadline) {
                const detail = signal.aborted ? "the change was cancelled" : "there was no time left";
                return resolveOutcome(request, progress.unresolvedHeadVersions, { kind: "Unavailable", detail }, signal);
            }
            const attemptResult = await runAttempt(request, progress, signal);
            if (attemptResult.kind === "Done") {
                return attemptResult.result;
            }
        }
        const error: ChangeError = { kind: "Contended", retryAfterMs: options.backoffMaximumMs };
        return resolveOutcome(request, progress.unresolvedHeadVersions, error, signal);
    };
};
