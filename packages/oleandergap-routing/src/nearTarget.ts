/**
 * Prefers targets nearby while they have room. An answer from the own VM costs neither a second hop nor bytes between
 * availability zones, and one from the own zone no such bytes; a target that is nearly full is not worth that. The load
 * of the own VM's target is known exactly, so that there a single free slot is room enough: under load, when processor
 * time is dearest, the second hop would otherwise be made for every request.
 */
import type { NodeId, ZoneName } from "oleandergap-types";
import { rankByRendezvous } from "oleandergap-utils";
import { drawTarget, type DrawContext } from "./drawTarget.js";
import type { PickerOptions } from "./options.js";
import type { RoutableTarget } from "./target.js";
import { scoreTarget, type TargetState } from "./targetState.js";
import type { Candidates } from "./zoneCandidates.js";

/** Where a node stands, and how full a target nearby may be. */
export interface Nearness {
    readonly ownNode: NodeId | undefined;
    readonly ownZone: ZoneName;
    /** Highest expected load per slot at which a target nearby is chosen; 0 switches the preference off. */
    readonly nearLoad: number;
    /** The same for the target on the own VM. */
    readonly ownLoad: number;
    /** How many times as loaded as one further away a target nearby may be when none nearby has room. */
    readonly nearAdvantage: number;
}

/** What the settings say; a `nearLoad` of 0 switches all preference for what is near off. */
export const createNearness = (
    { nearLoad, ownLoad, nearAdvantage }: PickerOptions,
    ownNode: NodeId | undefined,
    ownZone: ZoneName,
): Nearness => nearLoad === 0 ?
    { ownNode, ownZone, nearLoad, ownLoad: 0, nearAdvantage: 0 } :
    { ownNode, ownZone, nearLoad, ownLoad, nearAdvantage };

/** Targets nearby that are looked at for one request, so that a choice costs the same in a large zone. */
const MAXIMUM_LOOKS = 8;

const isOwn = <Target extends RoutableTarget>({ target }: TargetState<Target>, { ownNode }: Nearness): boolean =>
    target.nodeId === ownNode;

/**
 * The targets of the own VM and zone: the own VM's first, the others in an order of this node's own, which hardly
 * changes when one comes or goes.
 *
 * Only the first few are looked at. If all nodes listed them in the same order, those few would get nearly all requests
 * of a large zone: with 40 nodes and 20 targets 5 would get all of a calm load. With an order of its own each
 * node still uses few targets, over connections that it has open.
 */
export const listNearTargets = <Target extends RoutableTarget>(
    states: Iterable<TargetState<Target>>,
    nearness: Nearness,
): readonly TargetState<Target>[] => {
    const near = [...states].filter(({ target }) => target.zone === nearness.ownZone && !target.leaving);
    const others = near.filter((state) => !isOwn(state, nearness));
    return [
        ...near.filter((state) => isOwn(state, nearness)),
        ...rankByRendezvous(nearness.ownNode ?? "", others, ({ target }) => target.nodeId),
    ];
};

/** A target nearby, with its expected load per slot. */
interface NearTarget<Target extends RoutableTarget> {
    readonly state: TargetState<Target>;
    readonly load: number;
    /** Whether it is chosen without a look at the others. */
    readonly hasRoom: boolean;
}

/** The least loaded one, or the own VM's while that has room; one that has just started is left to the slow start. */
const findNearTarget = <Target extends RoutableTarget>(
    near: readonly TargetState<Target>[],
    nearness: Nearness,
    context: DrawContext,
): NearTarget<Target> | undefined => {
    let found: NearTarget<Target> | undefined;
    for (const state of near.slice(0, MAXIMUM_LOOKS)) {
        const isYoung = context.now - state.startedAt < context.slowStartMs;
        if (state.circuit.state !== "closed" || isYoung || context.exclude.includes(state.target.nodeId)) {
            continue;
        }
        const load = scoreTarget(state, context);
        if (isOwn(state, nearness) && load <= nearness.ownLoad) {
            return { state, load, hasRoom: true };
        }
        if (found === undefined || load < found.load) {
            found = { state, load, hasRoom: load <= nearness.nearLoad };
        }
    }
    return found;
};

/**
 * A target nearby that has room, else one drawn from all, unless a target nearby is hardly more loaded than that. In an
 * overload no target has room; drawn from all, nearly every request would then cross the availability zones.
 */
export const chooseTarget = <Target extends RoutableTarget>(
    candidates: Candidates<Target>,
    near: readonly TargetState<Target>[],
    nearness: Nearness,
    context: DrawContext,
): TargetState<Target> | undefined => {
    const found = findNearTarget(near, nearness, context);
    if (found?.hasRoom === true) {
        return found.state;
    }
    const drawn = drawTarget(candidates, context);
    if (found === undefined || drawn === undefined) {
        return drawn ?? found?.state;
    }
    return found.load <= nearness.nearAdvantage * scoreTarget(drawn, context) ? found.state : drawn;
};
