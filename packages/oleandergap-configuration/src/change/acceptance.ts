/**
 * Accepts one change: compare-and-set on the partner's head, in one transaction with the delta, the audit entry and the
 * change's first outcome.
 *
 * The platform may lose an answer after the write took effect, and a write may arrive late. Each attempt is therefore
 * conditional on the head row that it read and on the change having no outcome yet, so that of all attempts at one
 * change, at this node or another, at most one takes effect. What became of it is read back and never guessed.
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
import { endChange, failCall, type ChangeProgress, type AttemptStep } from "./changeAttempt.js";
import { toReadError, type ChangeError } from "./changeError.js";
import type { ChangeOutcome, ChangeRequest } from "./changeRequest.js";
import { buildAcceptance, buildUnchanged, readChangeState, type ChangeState } from "./changeRows.js";
import { createChangeTransaction } from "./changeTransaction.js";
import type { DocumentLoader, FindDocument } from "./documentLoader.js";
import type { ChangeOptions } from "./options.js";
import { createOutcomeReader, type ChangeResult } from "./outcomeReader.js";
import { planChange, resolveEdits } from "./planChange.js";
import { applyRateLimit } from "./rateLimit.js";
import { createSnapshotWriter } from "./snapshotWriter.js";

/** What acceptance reads from, writes to and is timed by. */
export interface AcceptanceDependencies {
    readonly tableService: TableService;
    readonly objectStore: ObjectStore;
    readonly documents: DocumentLoader;
    /** The version in force at this node, if it has any. */
    readonly findDocument: FindDocument;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly options: ChangeOptions;
}

/** Runs a change until it is accepted, refused, or `deadline` (monotonic) passes. */
export type Acceptance = (
    request: ChangeRequest,
    deadline: Milliseconds,
    signal: AbortSignal,
) => Promise<ChangeResult>;

/** Creates the acceptance of one node. Nothing that it remembers between changes matters for their safety. */
export const createAcceptance = ({
    tableService,
    objectStore,
    documents,
    findDocument,
    clock,
    random,
    logger,
    options,
}: AcceptanceDependencies): Acceptance => {
    const snapshots = createSnapshotWriter({ objectStore, clock, logger, options });
    const rateLimit = { ratePerSecond: options.fleetChangesPerSecond, burst: options.fleetChangesBurst };

    const { toRepeat, conclude } = createOutcomeReader(tableService);
    const transact = createChangeTransaction(tableService, conclude);

    const writeVersion = async (
        request: ChangeRequest,
        progress: ChangeProgress,
        state: ChangeState,
        document: PartnerDocument,
        next: NextVersion,
        signal: AbortSignal,
    ): Promise<AttemptStep> => {
        const acceptedAt = clock.now();
        const rateUsedUpTo = applyRateLimit(state.head.rateUsedUpTo, acceptedAt, rateLimit);
        if (either.isLeft(rateUsedUpTo)) {
            const overBudget: ChangeError = { kind: "OverBudget", ...rateUsedUpTo.left };
            return endChange(await conclude(request, progress.openHeadVersions, overBudget, signal));
        }
        const snapshot = await snapshots.prepare(document, state.head, signal);
        const { partner, changeId } = request;
        const { delta } = next;
        const head: Head = { partner, sequence: delta.sequence, digest: delta.digest };
        const operations = buildAcceptance(request, state, next, snapshot, rateUsedUpTo.right, acceptedAt);
        const outcome: ChangeOutcome = { kind: "Accepted", changeId, head, delta, isRepeat: false };
        const step = await transact(request, progress, state, operations, outcome, signal);
        if (step.kind === "Done" && either.isRight(step.result) && !step.result.right.isRepeat) {
            documents.remember(next.document);
        }
        return step;
    };

    const tryOnce = async (
        request: ChangeRequest,
        progress: ChangeProgress,
        signal: AbortSignal,
    ): Promise<AttemptStep> => {
        const { partner, changeId, edits } = request;
        const state = await readChangeState(tableService, request, signal);
        if (either.isLeft(state)) {
            return failCall(progress, state.left);
        }
        if (state.right.changeRow !== undefined) {
            return endChange(await toRepeat(request, state.right.changeRow, signal));
        }
        const document = await documents.load(partner, state.right.head, signal);
        if (either.isLeft(document)) {
            return failCall(progress, toReadError(document.left));
        }
        progress.edits ??= resolveEdits(document.right, edits);
        const plan = planChange(document.right, progress.edits, findDocument(partner)?.sequence);
        if (either.isLeft(plan)) {
            return endChange(await conclude(request, progress.openHeadVersions, plan.left, signal));
        }
        if (plan.right === undefined) {
            const head = toHead(partner, state.right.head);
            const outcome: ChangeOutcome = { kind: "Unchanged", changeId, head, isRepeat: false };
            const operations = buildUnchanged(request, state.right, getDocumentHead(document.right));
            return transact(request, progress, state.right, operations, outcome, signal);
        }
        return writeVersion(request, progress, state.right, document.right, plan.right, signal);
    };

    return async (request, deadline, signal) => {
        const progress: ChangeProgress = { edits: undefined, openHeadVersions: [], failedCalls: 0 };
        for (let attempt = 0; attempt < options.maximumAttempts; attempt++) {
            if (attempt > 0) {
                const { backoffBaseMs, backoffMaximumMs } = options;
                await clock.sleep(drawBackoff(random, attempt, backoffBaseMs, backoffMaximumMs), signal);
            }
            if (signal.aborted || clock.monotonic() >= deadline) {
                const detail = signal.aborted ? "the change was cancelled" : "there was no time left";
                return conclude(request, progress.openHeadVersions, { kind: "Unavailable", detail }, signal);
            }
            const step = await tryOnce(request, progress, signal);
            if (step.kind === "Done") {
                return step.result;
            }
        }
        const error: ChangeError = { kind: "Contended", retryAfterMs: options.backoffMaximumMs };
        return conclude(request, progress.openHeadVersions, error, signal);
    };
};
