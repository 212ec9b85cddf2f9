/** Decides whether a failed attempt may be retried. */
import type { RefusalReason, RequestFailure } from "oleandergap-types";
import { isShortage } from "./learnOutcome.js";
import type { RetryBudget, RetryCost } from "./retryBudget.js";

/**
 * Number of refusals for lack of capacity, by different targets, after which the whole service counts as overloaded.
 */
const REFUSALS_OF_OVERLOAD = 2;

/** Inputs of the decision. */
export interface RetryQuestion {
    readonly failure: RequestFailure;
    readonly idempotent: boolean;
    readonly replayable: () => boolean;
    /**
     * False when an upstream hop forbids retries, a downstream hop has already retried, or the row allows no retries.
     */
    readonly retriesAllowed: boolean;
    readonly attempts: number;
    readonly maximumAttempts: number;
    /** Whether the route allows the request to reach another target. */
    readonly hasTargetsLeft: boolean;
    /** Number of attempts of this request that were refused for lack of capacity. */
    readonly shortages: number;
    /** Returns whether another target is expected to have a free slot. */
    readonly hasRoomElsewhere: () => boolean;
    readonly budget: RetryBudget;
}

/** Refusal reasons that any other target would give as well, or after which no caller is waiting any more. */
const finalReasons: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
    "Cancelled",
    "ClaimUnavailable",
    "Contained",
    "DeadlinePassed",
]);

const isFinal = (failure: RequestFailure): boolean => {
    switch (failure.kind) {
        case "BadRequest":
        case "DuplicateKey":
            return true;
        case "Refused":
            return finalReasons.has(failure.reason);
        default:
            return false;
    }
};

/** Returns whether a second run is impossible (`notRun`) or harmless (idempotent). */
const isSafe = ({ failure, idempotent, replayable }: RetryQuestion): boolean => {
    switch (failure.verdict) {
        case "notRun":
            return replayable();
        case "mayHaveRun":
            return idempotent && replayable();
        case "ran":
            return false;
    }
};

/**
 * Returns the kind of token that a retry costs. A refusal by the gate itself causes no work for its target, so a retry
 * at a target with a free slot counts as a reroute. If it counted as a repeat, requests would be refused by a full
 * target while other targets are idle.
 */
const costOf = ({ failure, hasRoomElsewhere }: RetryQuestion): RetryCost => {
    if (failure.kind === "ConnectFailed") {
        return "Reroute";
    }
    if (failure.kind !== "Refused" || failure.reason === "TargetBusy") {
        return "Repeat";
    }
    return isShortage(failure.reason) && !hasRoomElsewhere() ? "Repeat" : "Reroute";
};

/** Returns whether the request may be retried. If so, it also takes a token from the budget. */
export const mayRetry = (question: RetryQuestion): boolean => {
    const { failure, retriesAllowed, attempts, maximumAttempts, hasTargetsLeft, shortages, budget } = question;
    const mayGoOn = retriesAllowed && hasTargetsLeft && attempts < maximumAttempts;
    if (!mayGoOn || shortages >= REFUSALS_OF_OVERLOAD) {
        return false;
    }
    return !isFinal(failure) && isSafe(question) && budget.tryWithdraw(costOf(question));
};
