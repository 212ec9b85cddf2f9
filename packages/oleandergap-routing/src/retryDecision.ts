/** Whether a failed attempt may be followed by another one. */
import type { RefusalReason, RequestFailure } from "oleandergap-types";
import { isShortage } from "./learnOutcome.js";
import type { RetryBudget, RetryCost } from "./retryBudget.js";

/** Refusals for want of capacity by different targets that show the whole service to be overloaded. */
const REFUSALS_OF_OVERLOAD = 2;

/** What the decision depends on. */
export interface RetryQuestion {
    readonly failure: RequestFailure;
    readonly idempotent: boolean;
    readonly replayable: () => boolean;
    /** False when a hop above forbids it, a hop below has retried, or the row allows none. */
    readonly retriesAllowed: boolean;
    readonly attempts: number;
    readonly maximumAttempts: number;
    /** Whether the route lets the request reach another target. */
    readonly hasTargetsLeft: boolean;
    /** Attempts of this request that were refused for want of capacity. */
    readonly shortages: number;
    /** Whether another target is believed to have a free slot. */
    readonly hasRoomElsewhere: () => boolean;
    readonly budget: RetryBudget;
}

/** Reasons that any other target would give as well, or that leave nobody to answer to. */
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

/** Whether a second run is impossible (`notRun`) or harmless (idempotent). */
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
 * A refusal by the gate itself has cost its target nothing. Where another target has a free slot, going there is no
 * repeat; counted as one, requests would be refused by a full target while others are idle.
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

/** Takes a token from the budget when it answers true. */
export const mayRetry = (question: RetryQuestion): boolean => {
    const { failure, retriesAllowed, attempts, maximumAttempts, hasTargetsLeft, shortages, budget } = question;
    const mayGoOn = retriesAllowed && hasTargetsLeft && attempts < maximumAttempts;
    if (!mayGoOn || shortages >= REFUSALS_OF_OVERLOAD) {
        return false;
    }
    return !isFinal(failure) && isSafe(question) && budget.tryWithdraw(costOf(question));
};
