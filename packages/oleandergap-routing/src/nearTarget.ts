/**
 * Prefers local targets while they have free slots. A response from the local VM needs no second hop and no traffic
 * between availability zones; a response from the local zone needs no such traffic. A nearly full target is not
 * preferred, because the added latency would outweigh this saving.
 *
 * The load of the target on the local VM is known exactly, so a single free slot suffices there. With a stricter limit,
 * every request would take the second hop under load, just when processor time is scarcest.
 */
import type { NodeId, ZoneName } from "oleandergap-types";
import { rankByRendezvous } from "oleandergap-utils";
import { drawTarget, type DrawContext } from "./drawTarget.js";
import type { PickerOptions } from "./options.js";
import type { RoutableTarget } from "./target.js";
import { scoreTarget, type TargetState } from "./targetState.js";
import type { Candidates } from "./zoneCandidates.js";

/** Position of this node, and the load limits up to which local targets are preferred. */
export interface Nearness {
    readonly ownNode: NodeId | undefined;
    readonly ownZone: ZoneName;
    /** Highest expected load per slot at which a local target is chosen; 0 disables the preference. */
    readonly nearLoad: number;
    /** Like `nearLoad`, for the target on the local VM. */
    readonly ownLoad: number;
    /**
     * Factor by which a local target may be more loaded than a remote one and still be chosen, when no local target has
     * a free slot.
     */
    readonly nearAdvantage: number;
}

/** Creates the preference from the settings. A `nearLoad` of 0 disables every preference for local targets. */
export const createNearness = (
    { nearLoad, ownLoad, nearAdvantage }: PickerOptions,
    ownNode: NodeId | undefined,
    ownZone: ZoneName,
): Nearness => nearLoad === 0 ?
    { ownNode, ownZone, nearLoad, ownLoad: 0, nearAdvantage: 0 } :
    { ownNode, ownZone, nearLoad, ownLoad, nearAdvantage };

/**
 * Maximum number of local targets that are scored per request, so that the cost does not grow with the size of the
 * zone.
 */
const MAXIMUM_LOOKS = 8;

const isOwn = <Target extends RoutableTarget>({ target }: TargetState<Target>, { ownNode }: Nearness): boolean =>
    target.nodeId === ownNode;

/**
 * Lists the targets of the local zone: first the one on the local VM, then the others in an order that is specific to
 * this node and hardly changes when a target is added or removed.
 *
 * Only the first few targets of the list are scored. If all nodes used the same order, those few would receive nearly
 * all requests of a large zone: with 40 nodes and 20 targets, 5 targets would receive all requests at low load. With a
 * node-specific order, each node still uses few targets, over connections that are already open.
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

/** A local target with its expected load per slot. */
interface NearTarget<Target extends RoutableTarget> {
    readonly state: TargetState<Target>;
    readonly load: number;
    /** Whether the target is chosen without a comparison with other targets. */
    readonly hasRoom: boolean;
}

/**
 * Returns the target on the local VM while that has a free slot, else the least loaded local target. Targets in slow
 * start are skipped, because sampling limits their share.
 */
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
 * Returns a local target with a free slot, or else a target sampled from all targets, unless a local target is hardly
 * more loaded than the sampled one. In an overload no target has a free slot; without this exception, nearly every
 * request would then cross availability zones.
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
