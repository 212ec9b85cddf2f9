/**
 * Selects the target of a request within a zone by the power of two choices: the less loaded of two randomly sampled
 * candidates. The cost does not grow with the number of targets.
 */
import type { Milliseconds, NodeId } from "oleandergap-types";
import { pickIndex, type Random } from "oleandergap-utils";
import type { RoutableTarget } from "./target.js";
import { scoreTarget, computeSlowStartShare, type ScoreContext } from "./targetScore.js";
import type { TargetState } from "./targetState.js";
import type { Candidates } from "./zoneCandidates.js";

/** Number of random samples after which the first eligible candidate is taken instead. */
const MAXIMUM_SAMPLES = 8;

/** Inputs of the sampling besides the candidates. */
export interface SampleContext extends ScoreContext {
    readonly random: Random;
    readonly slowStartMs: Milliseconds;
    readonly exclude: readonly NodeId[];
}

/**
 * Returns whether a sampled target is accepted. After its slow start, a target is always accepted; before, it is
 * accepted with a probability relative to the slow-start share of the zone's oldest target.
 */
const isAcceptedInSlowStart = <Target extends RoutableTarget>(
    state: TargetState<Target>,
    oldestStartedAt: Milliseconds,
    { random, now, slowStartMs }: SampleContext,
): boolean => {
    if (now - state.startedAt >= slowStartMs) {
        return true;
    }
    const oldestShare = computeSlowStartShare(oldestStartedAt, now, slowStartMs);
    return random() * oldestShare < computeSlowStartShare(state.startedAt, now, slowStartMs);
};

/**
 * Returns the first eligible target from a random position on. It is needed only in the rare case that random sampling
 * found no eligible target.
 */
const findEligibleTarget = <Target extends RoutableTarget>(
    pool: readonly TargetState<Target>[],
    { exclude, random }: SampleContext,
    alreadySampled: TargetState<Target> | undefined,
): TargetState<Target> | undefined => {
    const offset = pickIndex(random, pool.length);
    for (let distance = 0; distance < pool.length; distance++) {
        const state = pool[(offset + distance) % pool.length];
        if (state !== undefined && state !== alreadySampled && !exclude.includes(state.target.nodeId)) {
            return state;
        }
    }
    return undefined;
};

const sampleOne = <Target extends RoutableTarget>(
    pool: readonly TargetState<Target>[],
    oldestStartedAt: Milliseconds,
    context: SampleContext,
    alreadySampled: TargetState<Target> | undefined,
): TargetState<Target> | undefined => {
    for (let sample = 0; sample < MAXIMUM_SAMPLES; sample++) {
        const state = pool[pickIndex(context.random, pool.length)];
        const isEligible =
            state !== undefined && state !== alreadySampled && !context.exclude.includes(state.target.nodeId);
        if (isEligible && isAcceptedInSlowStart(state, oldestStartedAt, context)) {
            return state;
        }
    }
    return findEligibleTarget(pool, context, alreadySampled);
};

/**
 * Returns the less loaded of two randomly sampled candidates. If all targets are ejected or unresponsive, the fault may
 * be on this node, and refusing all requests would make the outage certain; the candidates are then sampled from the
 * ejected targets.
 */
export const sampleTarget = <Target extends RoutableTarget>(
    candidates: Candidates<Target>,
    context: SampleContext,
): TargetState<Target> | undefined => {
    const { open, ejected, oldestStartedAt } = candidates;
    const pool = open.length > 0 ? open : ejected;
    const firstSample = sampleOne(pool, oldestStartedAt, context, undefined);
    if (firstSample === undefined || pool.length === 1) {
        return firstSample;
    }
    const secondSample = sampleOne(pool, oldestStartedAt, context, firstSample);
    if (secondSample === undefined) {
        return firstSample;
    }
    return scoreTarget(secondSample, context) < scoreTarget(firstSample, context) ? secondSample : firstSample;
};
