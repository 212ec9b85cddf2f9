/**
 * Chooses the target of a request for a service whose targets report their pace. Requests stay nearby while the nearby
 * target is expected to respond in time: a hop costs processor time at two nodes, and a hop to another zone bandwidth
 * between zones. The exact order among targets that are all in time brings callers nothing.
 */
import type { Milliseconds } from "oleandergap-types";
import { pickIndex } from "oleandergap-utils";
import type { LocalityPreference } from "./localityPreference.js";
import { sampleTarget, type SampleContext } from "./sampleTarget.js";
import type { RoutableTarget } from "./target.js";
import { computeRequestsPerSlot, scoreTarget } from "./targetScore.js";
import type { TargetState } from "./targetState.js";
import type { Candidates } from "./zoneCandidates.js";

/** Maximum number of targets of the local zone that are compared, so that the cost does not grow with the zone. */
const MAXIMUM_COMPARED_TARGETS = 16;
/** Factor by which the target on the local VM may be later than another one of the zone and still be chosen. */
const OWN_ADVANTAGE = 2;
/** Factor by which a target of the local zone may be later than one of another zone and still be chosen. */
const ZONE_ADVANTAGE = 1.5;
/**
 * Part of the time left until the objective within which a response is expected to be in time. The rest is left for
 * runs that take longer than usual.
 */
const TIMELY_SHARE = 0.5;

/** Like `TIMELY_SHARE`, for the target on the local VM, where a request costs no hop. */
const OWN_TIMELY_SHARE = 0.6;
/** Requests per slot at the target on the local VM up to which it has a free slot. */
const FULL_TARGET_LOAD = 1;
/**
 * Requests per slot at the earliest target of the local zone from which the zone counts as full. Other zones are then
 * considered before a queue grows, because a queue would delay requests long after the demand has moved on.
 */
const FULL_ZONE_LOAD = 1.1;

/** A target with its expected completion time. */
interface ScoredTarget<Target extends RoutableTarget> {
    readonly state: TargetState<Target>;
    readonly score: Milliseconds;
}

/**
 * Returns whether an expected completion time is within a share of the time left until the objective; undefined without
 * an objective.
 */
const isInTime = (completionMs: Milliseconds, share: number, { completion }: SampleContext): boolean | undefined =>
    completion?.timeLeftMs === undefined ? undefined : completionMs <= share * completion.timeLeftMs;

/** Targets in slow start are not eligible, because sampling limits their share. */
const isEligible = <Target extends RoutableTarget>(
    { circuit, startedAt, target }: TargetState<Target>,
    { now, slowStartMs, exclude }: SampleContext,
): boolean => circuit.state === "closed" && now - startedAt >= slowStartMs && !exclude.includes(target.nodeId);

/** Returns the earliest target of the local zone, compared from a random one on. */
const findNearTarget = <Target extends RoutableTarget>(
    localTargets: readonly TargetState<Target>[],
    context: SampleContext,
): ScoredTarget<Target> | undefined => {
    let best: ScoredTarget<Target> | undefined;
    const offset = pickIndex(context.random, localTargets.length);
    for (let distance = 0; distance < Math.min(MAXIMUM_COMPARED_TARGETS, localTargets.length); distance++) {
        const state = localTargets[(offset + distance) % localTargets.length];
        const score = state !== undefined && isEligible(state, context) ? scoreTarget(state, context) : undefined;
        if (state !== undefined && score !== undefined && (best === undefined || score < best.score)) {
            best = { state, score };
        }
    }
    return best;
};

/**
 * Returns the target on the local VM if it has a free slot and is expected to respond in time, or not much later than
 * the earliest one.
 */
const preferOwnTarget = <Target extends RoutableTarget>(
    near: ScoredTarget<Target> | undefined,
    localTargets: readonly TargetState<Target>[],
    { localNodeId }: LocalityPreference,
    context: SampleContext,
): ScoredTarget<Target> | undefined => {
    const [state] = localTargets;
    const isOwn = state !== undefined && state.target.nodeId === localNodeId;
    if (near === undefined || !isOwn || !isEligible(state, context)) {
        return near;
    }
    const score = scoreTarget(state, context);
    const isEarlyEnough = isInTime(score, OWN_TIMELY_SHARE, context) === true || score <= OWN_ADVANTAGE * near.score;
    return isEarlyEnough && computeRequestsPerSlot(state, context) <= FULL_TARGET_LOAD ? { state, score } : near;
};

/**
 * Returns the target on the local VM or in the local zone if it is expected to respond in time, or hardly later than a
 * target sampled from all zones; otherwise the sampled target.
 */
export const chooseByCompletion = <Target extends RoutableTarget>(
    candidates: Candidates<Target>,
    localTargets: readonly TargetState<Target>[],
    preference: LocalityPreference,
    context: SampleContext,
): TargetState<Target> | undefined => {
    const isNearPreferred = preference.nearLoad > 0;
    const near = isNearPreferred ?
        preferOwnTarget(findNearTarget(localTargets, context), localTargets, preference, context) :
        undefined;
    const isTimely = near !== undefined && isInTime(near.score, TIMELY_SHARE, context) !== false;
    if (isTimely && computeRequestsPerSlot(near.state, context) <= FULL_ZONE_LOAD) {
        return near.state;
    }
    const sampled = sampleTarget(candidates, context);
    if (near === undefined || sampled === undefined) {
        return sampled ?? near?.state;
    }
    return near.score <= ZONE_ADVANTAGE * scoreTarget(sampled, context) ? near.state : sampled;
};
