/**
 * Plans a roll-out: how many requests the new version receives, and when it is promoted or completed.
 *
 * A bad version may receive only a small share of all requests until the deadline, also if its fault shows late. The
 * new version therefore stays at its canary share for most of the time, and its share grows to all requests only
 * shortly before the deadline. An earlier promotion would leave more time to finish the last requests at the old
 * targets, but a fault that shows after it would reach all callers.
 */
import type { Milliseconds } from "oleandergap-types";
import type { RolloutVerdict } from "../judge/judge.js";
import type { RolloutOptions } from "../options.js";
import { getDeadline, type Rollout, type RolloutState } from "../rollout.js";

/** Number of targets and slots of the new and the other versions, and what still runs at the others. */
export interface RolloutCapacity {
    readonly newSlots: number;
    readonly oldSlots: number;
    readonly oldInFlight: number;
    /** Whether there is a target that does not run the new version, or that has not reported its version. */
    readonly hasOtherTargets: boolean;
    /** Whether this node has followed the roll-out for long enough to have received a report of every target. */
    readonly isObserved: boolean;
}

/** A change of state that is due. */
export interface DueChange {
    readonly state: Extract<RolloutState, "promoting" | "stopping" | "completed">;
    readonly reason: string;
}

/** Slots of the new version that a promotion requires, relative to those of the other versions. */
const REQUIRED_SLOT_RATIO = 0.7;

/**
 * Returns the share of a service's requests that the new version receives during the trial. `requestsPerSecond` is the
 * rate of the whole fleet; a service with little traffic gets a larger share, so that it can be judged.
 */
export const computeCanaryShare = (
    { durationMs }: Rollout["order"],
    requestsPerSecond: number,
    { canaryShare, canarySlack }: RolloutOptions,
): number => {
    const expectedRequests = requestsPerSecond * durationMs / 1000;
    return Math.min(1, canaryShare + (expectedRequests > 0 ? canarySlack / expectedRequests : 0));
};

/** Returns the share during a promotion: doubled in each step until all requests go to the new version. */
export const computeRampShare = (
    { since }: Rollout,
    now: Milliseconds,
    { canaryShare, rampStepMs }: RolloutOptions,
): number => Math.min(1, canaryShare * 2 ** (1 + Math.floor(Math.max(0, now - since) / rampStepMs)));

/** Returns the time at which the share of a version that is being promoted has reached one. */
const getRampEnd = ({ since }: Rollout, { canaryShare, rampStepMs }: RolloutOptions): Milliseconds =>
    since + rampStepMs * Math.max(0, Math.ceil(Math.log2(1 / canaryShare)) - 1);

const getPromotionTime = (rollout: Rollout, { promoteAfterShare, promotionMs }: RolloutOptions): Milliseconds => {
    const { order: { durationMs }, orderedAt } = rollout;
    const latestStart = Math.max(durationMs / 2, durationMs - promotionMs);
    return orderedAt + Math.min(promoteAfterShare * durationMs, latestStart);
};

const hasCapacity = ({ newSlots, oldSlots }: RolloutCapacity): boolean =>
    newSlots > 0 && newSlots >= REQUIRED_SLOT_RATIO * oldSlots;

/**
 * Returns the end of a roll-out that has run out of time. It returns to the old version, unless none is left: then
 * all nodes would refuse the only targets of the service for good.
 */
const planTimeout = (
    { newSlots, hasOtherTargets, isObserved }: RolloutCapacity,
    reason: string,
): DueChange | undefined => {
    if (!isObserved) {
        return undefined;
    }
    return newSlots > 0 && !hasOtherTargets ?
        { state: "completed", reason: "no other version is left" } :
        { state: "stopping", reason };
};

const planRunning = (
    rollout: Rollout,
    verdict: RolloutVerdict,
    capacity: RolloutCapacity,
    now: Milliseconds,
    options: RolloutOptions,
): DueChange | undefined => {
    const deadline = getDeadline(rollout);
    if (now >= deadline - options.decisionMarginMs) {
        return planTimeout(capacity, "not judged in time");
    }
    const isInTime = now >= getPromotionTime(rollout, options) && now <= deadline - options.latestPromotionMs;
    return verdict.kind === "Good" && isInTime && hasCapacity(capacity) ?
        { state: "promoting", reason: "no findings" } :
        undefined;
};

const planPromoting = (
    rollout: Rollout,
    capacity: RolloutCapacity,
    now: Milliseconds,
    options: RolloutOptions,
): DueChange | undefined => {
    const settledAt = getRampEnd(rollout, options) + options.settleMs;
    const decisionAt = getDeadline(rollout) - options.decisionMarginMs;
    if (now < settledAt) {
        return now >= getDeadline(rollout) ? planTimeout(capacity, "not promoted in time") : undefined;
    }
    // The old targets end as soon as the roll-out is completed, so their last requests get as much time as there is.
    return capacity.oldInFlight === 0 || now >= decisionAt ? { state: "completed", reason: "carries all requests" } : undefined;
};

/** Returns the change of state that is due, or undefined if there is none. */
export const planChange = (
    rollout: Rollout,
    verdict: RolloutVerdict,
    capacity: RolloutCapacity,
    now: Milliseconds,
    options: RolloutOptions,
): DueChange | undefined => {
    if (rollout.state !== "running" && rollout.state !== "promoting") {
        return undefined;
    }
    if (verdict.kind === "Bad") {
        return { state: "stopping", reason: verdict.reason };
    }
    return rollout.state === "running" ?
        planRunning(rollout, verdict, capacity, now, options) :
        planPromoting(rollout, capacity, now, options);
};
