/**
 * Claims of this process in memory: those that it holds and those whose outcome is not recorded yet. They save calls to
 * the platform, and repeats of a finished request receive its response while its outcome is still being recorded.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds, RequestFailure } from "oleandergap-types";
import type { ClaimOptions } from "../options.js";
import { createKnownOutcome, type KnownOutcome } from "./acquireClaim.js";
import { createStoredResponse, type TargetResponse } from "./targetResponse.js";
import type { ClaimedRow, SettledRow } from "./claimRow.js";
import { createKeyReuseFailure, createDuplicateFailure } from "./failures.js";
import type { Settler } from "./settler.js";
import { waitUntil } from "./waitUntil.js";

/**
 * The right to run one request once. The holder calls exactly one of `complete`, `release` and `leaveOpen`; further
 * calls have no effect.
 */
export interface Claim {
    /**
     * Returns whether the request may be sent now. It must be called right before sending; when it returns false, the
     * holder must send nothing and call `release`.
     */
    readonly mayStart: () => boolean;
    /** Reports the target's response, which is recorded in the background. */
    readonly complete: (response: TargetResponse) => void;
    /** Reports that the request certainly did not run; the key becomes available again. */
    readonly release: () => void;
    /**
     * Reports that it is unknown whether the request ran. The key stays claimed, and repeated requests fail with the
     * verdict that it may have run.
     */
    readonly leaveOpen: () => void;
}

export interface LocalClaim {
    readonly fingerprint: string;
    /** Outcome that is being recorded; undefined until it is known. */
    outcome?: SettledRow;
    /** Resolves when the recording of the outcome has ended; undefined until the outcome is known. */
    settled?: Promise<void>;
}

export interface LocalClaims {
    readonly get: (rowKey: string) => LocalClaim | undefined;
    /** Adds an entry without an outcome. */
    readonly open: (rowKey: string, fingerprint: string) => LocalClaim;
    readonly remove: (rowKey: string) => void;
    /**
     * Sets the outcome of an entry and records it when `after` resolves to true. When `after` resolves to false, the
     * outcome is discarded.
     */
    readonly settle: (rowKey: string, entry: LocalClaim, outcome: SettledRow, after?: Promise<boolean>) => void;
    readonly createClaim: (rowKey: string, entry: LocalClaim, row: ClaimedRow, deadline: Milliseconds) => Claim;
    /** Returns the number of outcomes that are not recorded yet. */
    readonly pendingOutcomes: () => number;
    /** Resolves when all outcomes are recorded, or when `signal` aborts. */
    readonly drain: (signal: AbortSignal) => Promise<void>;
}

export interface LocalClaimsDependencies {
    readonly settler: Settler;
    readonly clock: Clock;
    readonly options: Pick<ClaimOptions, "maxAnswerBytes" | "replayedHeaders">;
}

/**
 * Returns the result for a repeated request, or undefined when the key is being released and the repeated request must
 * wait.
 */
export const evaluateLocalClaim = (
    entry: LocalClaim,
    fingerprint: string,
    retryAfterMs: Milliseconds,
): Either<RequestFailure, KnownOutcome> | undefined => {
    if (entry.outcome?.state === "released") {
        return undefined;
    }
    if (entry.fingerprint !== fingerprint) {
        return either.left(createKeyReuseFailure());
    }
    return entry.outcome === undefined ?
        either.left(createDuplicateFailure(retryAfterMs)) :
        either.right(createKnownOutcome(entry.outcome));
};

const createEndOnce = (): { isOpen: () => boolean; endOnce: (end: () => void) => void } => {
    let isStillOpen = true;
    return {
        isOpen: () => isStillOpen,
        endOnce: (end) => {
            if (isStillOpen) {
                isStillOpen = false;
                end();
            }
        },
    };
};

export const createLocalClaims = ({ settler, clock, options }: LocalClaimsDependencies): LocalClaims => {
    const entries = new Map<string, LocalClaim>();
    const pendingRecords = new Set<Promise<void>>();

    const record = async (rowKey: string, row: SettledRow, after: Promise<boolean>): Promise<void> => {
        if (await after) {
            await settler.settle({ rowKey, row });
        }
        entries.delete(rowKey);
    };

    const settle: LocalClaims["settle"] = (rowKey, entry, outcome, after = Promise.resolve(true)) => {
        const recording = record(rowKey, outcome, after).finally(() => pendingRecords.delete(recording));
        entry.outcome = outcome;
        entry.settled = recording;
        pendingRecords.add(recording);
    };

    const createClaim: LocalClaims["createClaim"] = (rowKey, entry, row, deadline) => {
        const { isOpen, endOnce } = createEndOnce();
        const complete = (response: TargetResponse): void =>
            settle(rowKey, entry, { ...row, state: "finished", answer: createStoredResponse(response, options) });
        return {
            mayStart: () => isOpen() && clock.monotonic() < deadline,
            complete: (response) => endOnce(() => complete(response)),
            release: () => endOnce(() => settle(rowKey, entry, { ...row, state: "released" })),
            leaveOpen: () => endOnce(() => {
                entries.delete(rowKey);
            }),
        };
    };

    const drain = async (signal: AbortSignal): Promise<void> => {
        while (pendingRecords.size > 0 && !signal.aborted) {
            await waitUntil(Promise.allSettled([...pendingRecords]), Number.POSITIVE_INFINITY, clock, signal);
        }
    };

    return {
        get: (rowKey) => entries.get(rowKey),
        open: (rowKey, fingerprint) => {
            const entry: LocalClaim = { fingerprint };
            entries.set(rowKey, entry);
            return entry;
        },
        remove: (rowKey) => {
            entries.delete(rowKey);
        },
        settle,
        createClaim,
        pendingOutcomes: () => pendingRecords.size,
        drain,
    };
};
