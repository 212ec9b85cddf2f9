/**
 * Prefers targets nearby while they have room. An answer from the own VM costs neither a second hop nor bytes between
 * availability zones, and one from the own zone no such bytes; a target that is nearly full is not worth that. The load
 * of the own VM's target is known exactly, so that there a single free slot is room enough: under load, when processor
 * time is dearest, the second hop would otherwise be made for every request.
 */
import type { NodeId, ZoneName } from "oleandergap-types";
import type { DrawContext } from "./drawTarget.js";
import type { RoutableTarget } from "./target.js";
import { scoreTarget, type TargetState } from "./targetState.js";

/** Where a node stands, and how full a target nearby may be. */
export interface Nearness {
    readonly ownNode: NodeId | undefined;
    readonly ownZone: ZoneName;
    /** Highest expected load per slot at which a target nearby is chosen; 0 switches the preference off. */
    readonly nearLoad: number;
    /** The same for the target on the own VM. */
    readonly ownLoad: number;
}

/** Targets nearby that are looked at for one request, so that a choice costs the same in a large zone. */
const MAXIMUM_LOOKS = 8;

const OWN_NODE = 0;
const OWN_ZONE = 1;

const distanceOf = <Target extends RoutableTarget>(target: Target, { ownNode }: Nearness): number =>
    target.nodeId === ownNode ? OWN_NODE : OWN_ZONE;

/** The targets of the own VM and zone, the own VM's first. */
export const listNearTargets = <Target extends RoutableTarget>(
    states: Iterable<TargetState<Target>>,
    nearness: Nearness,
): readonly TargetState<Target>[] =>
    [...states]
        .filter(({ target }) => target.zone === nearness.ownZone && !target.leaving)
        .sort((left, right) => distanceOf(left.target, nearness) - distanceOf(right.target, nearness));

/** Undefined when no target nearby has room; one that has just started is left to the slow start. */
export const findNearTarget = <Target extends RoutableTarget>(
    near: readonly TargetState<Target>[],
    nearness: Nearness,
    context: DrawContext,
): TargetState<Target> | undefined => {
    let chosen: TargetState<Target> | undefined;
    let lowest = nearness.nearLoad;
    for (const state of near.slice(0, MAXIMUM_LOOKS)) {
        const isYoung = context.now - state.startedAt < context.slowStartMs;
        if (state.circuit.state !== "closed" || isYoung || context.exclude.includes(state.target.nodeId)) {
            continue;
        }
        const score = scoreTarget(state, context);
        if (distanceOf(state.target, nearness) === OWN_NODE && score <= nearness.ownLoad) {
            return state;
        }
        if (score <= lowest) {
            chosen = state;
            lowest = score;
        }
    }
    return chosen;
};
