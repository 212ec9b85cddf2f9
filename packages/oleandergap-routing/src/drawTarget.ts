/**
 * Selects the target of a request within a zone by the power of two choices: the less loaded of two randomly sampled
 * candidates. The cost does not grow with the number of targets.
 */
import type { Milliseconds, NodeId } from "oleandergap-types";
import { pickIndex, type Random } from "oleandergap-utils";
import type { RoutableTarget } from "./target.js";
import { scoreTarget, slowStartShare, type ScoreContext, type TargetState } from "./targetState.js";
import type { Candidates } from "./zoneCandidates.js";

/** Number of random samples after which the first eligible candidate is taken instead. */
const MAXIMUM_DRAWS = 8;

/** Inputs of the sampling besides the candidates. */
export interface DrawContext extends ScoreContext {
    readonly random: Random;
    readonly slowStartMs: Milliseconds;
    readonly exclude: readonly NodeId[];
}

/**
 * Returns whether a sampled target is accepted. After its slow start, a target is always accepted; before, it is
 * accepted with a probability relative to the slow-start share of the zone's oldest target.
 */
const isKept = <Target extends RoutableTarget>(
    state: TargetState<Target>,
    oldestStartedAt: Milliseconds,
    { random, now, slowStartMs }: DrawContext,
): boolean => {
    if (now - state.startedAt >= slowStartMs) {
        return true;
    }
    const oldestShare = slowStartShare(oldestStartedAt, now, slowStartMs);
    return random() * oldestShare < slowStartShare(state.startedAt, now, slowStartMs);
};

/**
 * Returns the first eligible target from a random position on. It is needed only in the rare case that random sampling
 * found no eligible target.
 */
const findAny = <Target extends RoutableTarget>(
    pool: readonly TargetState<Target>[],
    { exclude, random }: DrawContext,
    taken: TargetState<Target> | undefined,
): TargetState<Target> | undefined => {
    const offset = pickIndex(random, pool.length);
    for (let step = 0; step < pool.length; step++) {
        const state = pool[(offset + step) % pool.length];
        if (state !== undefined && state !== taken && !exclude.includes(state.target.nodeId)) {
            return state;
        }
    }
    return undefined;
};

const drawOne = <Target extends RoutableTarget>(
    pool: readonly TargetState<Target>[],
    oldestStartedAt: Milliseconds,
    context: DrawContext,
    taken: TargetState<Target> | undefined,
): TargetState<Target> | undefined => {
    for (let draw = 0; draw < MAXIMUM_DRAWS; draw++) {
        const state = pool[pickIndex(context.random, pool.length)];
        const isEligible = state !== undefined && state !== taken && !context.exclude.includes(state.target.nodeId);
        if (isEligible && isKept(state, oldestStartedAt, context)) {
            return state;
        }
    }
    return findAny(pool, context, taken);
};

/**
 * Returns the less loaded of two randomly sampled candidates. If all targets are ejected or unresponsive, the fault may
 * be on this node, and refusing all requests would make the outage certain; the candidates are then sampled from the
 * ejected targets.
 */
export const drawTarget = <Target extends RoutableTarget>(
    candidates: Candidates<Target>,
    context: DrawContext,
): TargetState<Target> | undefined => {
    const { open, ejected, oldestStartedAt } = candidates;
    const pool = open.length > 0 ? open : ejected;
    const first = drawOne(pool, oldestStartedAt, context, undefined);
    if (first === undefined || pool.length === 1) {
        return first;
    }
    const second = drawOne(pool, oldestStartedAt, context, first);
    if (second === undefined) {
        return first;
    }
    return scoreTarget(second, context) < scoreTarget(first, context) ? second : first;
};
