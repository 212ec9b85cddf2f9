/** Decides whether a failed attempt may be retried. */
import type { RefusalReason, RequestFailure } from "oleandergap-types";
import { isCapacityRefusal } from "./recordOutcome.js";
import type { RetryBudget, RetryCost } from "./retryBudget.js";

/**
 * Number of refusals for lack of capacity, by different targets, after which the whole service counts as overloaded.
 */
const MAXIMUM_CAPACITY_REFUSALS = 2;

/** Inputs of the decision. */
export interface RetryConditions {
    readonly failure: RequestFailure;
    readonly idempotent: boolean;
    readonly canReplayBody: () => boolean;
    /**
     * False when an upstream hop forbids retries, a downstream hop has already retried, or the row allows no retries.
     */
    readonly retriesAllowed: boolean;
    readonly attempts: number;
    readonly maximumAttempts: number;
    /** Whether the route allows the request to reach another target. */
    readonly hasTargetsLeft: boolean;
    /** Number of attempts of this request that were refused for lack of capacity. */
    readonly capacityRefusals: number;
    /** Returns whether another target is expected to have a free slot. */
    readonly hasFreeSlotElsewhere: () => boolean;
    readonly budget: RetryBudget;
}

/** Refusal reasons that any other target would give as well, or after which no caller is waiting any more. */
const nonRetryableReasons: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
    "Cancelled",
    "ClaimUnavailable",
    "Contained",
    "DeadlinePassed",
]);

const isNonRetryable = (failure: RequestFailure): boolean => {
    switch (failure.kind) {
        case "BadRequest":
        case "DuplicateKey":
            return true;
        case "Refused":
            return nonRetryableReasons.has(failure.reason);
        default:
            return false;
    }
};

/** Returns whether a second run is impossible (`notRun`) or harmless (idempotent). */
const isSafeToRetry = ({ failure, idempotent, canReplayBody }: RetryConditions): boolean => {
    switch (failure.verdict) {
        case "notRun":
            return canReplayBody();
        case "mayHaveRun":
            return idempotent && canReplayBody();
        case "ran":
            return false;
    }
};

/**
 * Returns the kind of token that a retry costs. A refusal by the gate itself causes no work for its target, so a retry
 * at a target with a free slot counts as a reroute. If it counted as a repeat, requests would be refused by a full
 * target while other targets are idle.
 */
const getRetryCost = ({ failure, hasFreeSlotElsewhere }: RetryConditions): RetryCost => {
    if (failure.kind === "ConnectFailed") {
        return "Reroute";
    }
    if (failure.kind !== "Refused" || failure.reason === "TargetBusy") {
        return "Repeat";
    }
    return isCapacityRefusal(failure.reason) && !hasFreeSlotElsewhere() ? "Repeat" : "Reroute";
};

/** Returns whether the request may be retried. If so, it also takes a token from the budget. */
export const tryAcquireRetry = (conditions: RetryConditions): boolean => {
    const { failure, retriesAllowed, attempts, maximumAttempts, hasTargetsLeft, capacityRefusals, budget } = conditions;
    const isWithinLimits = retriesAllowed && hasTargetsLeft && attempts < maximumAttempts;
    if (!isWithinLimits || capacityRefusals >= MAXIMUM_CAPACITY_REFUSALS) {
        return false;
    }
    return !isNonRetryable(failure) && isSafeToRetry(conditions) && budget.tryWithdraw(getRetryCost(conditions));
};
