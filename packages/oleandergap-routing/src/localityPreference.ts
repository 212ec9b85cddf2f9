/**
 * Prefers local targets while they have free slots. A response from the local VM needs no second hop and no traffic
 * between availability zones; a response from the local zone needs no such traffic. This saving does not justify a
 * nearly full target.
 *
 * The load of the target on the local VM is known exactly, so a single free slot suffices there. With a stricter limit,
 * every request would take the second hop under load, just when CPU time is scarcest.
 */
import type { NodeId, ZoneName } from "oleandergap-types";
import { rankByRendezvous } from "oleandergap-utils";
import { sampleTarget, type SampleContext } from "./sampleTarget.js";
import type { PickerOptions } from "./options.js";
import type { RoutableTarget } from "./target.js";
import { scoreTarget } from "./targetScore.js";
import type { TargetState } from "./targetState.js";
import type { Candidates } from "./zoneCandidates.js";

/** Position of this node, and the load limits up to which local targets are preferred. */
export interface LocalityPreference {
    readonly localNodeId: NodeId | undefined;
    readonly localZone: ZoneName;
    /** Highest expected load per slot at which a local target is chosen; 0 disables the preference. */
    readonly nearLoad: number;
    /** Like `nearLoad`, for the target on the local VM. */
    readonly ownLoad: number;
    /**
     * Factor by which a local target may be more loaded than a target sampled from all zones and still be chosen, when
     * no local target is within its load limit.
     */
    readonly nearAdvantage: number;
}

/** Creates the preference from the settings. A `nearLoad` of 0 disables every preference for local targets. */
export const createLocalityPreference = (
    { nearLoad, ownLoad, nearAdvantage }: PickerOptions,
    localNodeId: NodeId | undefined,
    localZone: ZoneName,
): LocalityPreference => nearLoad === 0 ?
    { localNodeId, localZone, nearLoad, ownLoad: 0, nearAdvantage: 0 } :
    { localNodeId, localZone, nearLoad, ownLoad, nearAdvantage };

/**
 * Maximum number of local targets that are scored per request, so that the cost does not grow with the size of the
 * zone.
 */
const MAXIMUM_SCORED_TARGETS = 8;

const isOnLocalVm = <Target extends RoutableTarget>(
    { target }: TargetState<Target>,
    { localNodeId }: LocalityPreference,
): boolean => target.nodeId === localNodeId;

/**
 * Lists the targets of the local zone: first the one on the local VM, then the others in an order that is specific to
 * this node and hardly changes when a target is added or removed.
 *
 * Only the first few targets of the list are scored. If all nodes used the same order, those few would receive nearly
 * all requests of a large zone: with 40 nodes and 20 targets, 5 targets would receive all requests at low load. With a
 * node-specific order, each node still uses few targets, over connections that are already open.
 */
export const listLocalTargets = <Target extends RoutableTarget>(
    states: Iterable<TargetState<Target>>,
    preference: LocalityPreference,
): readonly TargetState<Target>[] => {
    const localTargets = [...states].filter(({ target }) => target.zone === preference.localZone && !target.leaving);
    const others = localTargets.filter((state) => !isOnLocalVm(state, preference));
    return [
        ...localTargets.filter((state) => isOnLocalVm(state, preference)),
        ...rankByRendezvous(preference.localNodeId ?? "", others, ({ target }) => target.nodeId),
    ];
};

/** A local target with its expected load per slot. */
interface LocalTarget<Target extends RoutableTarget> {
    readonly state: TargetState<Target>;
    readonly load: number;
    /** Whether the load of the target is within the limit below which local targets are preferred. */
    readonly isPreferred: boolean;
}

/**
 * Returns the target on the local VM while its load is at most `ownLoad`, else the least loaded local target. Targets
 * in slow start are skipped, because sampling limits their share.
 */
const findLocalTarget = <Target extends RoutableTarget>(
    localTargets: readonly TargetState<Target>[],
    preference: LocalityPreference,
    context: SampleContext,
): LocalTarget<Target> | undefined => {
    let best: LocalTarget<Target> | undefined;
    for (const state of localTargets.slice(0, MAXIMUM_SCORED_TARGETS)) {
        const isInSlowStart = context.now - state.startedAt < context.slowStartMs;
        if (state.circuit.state !== "closed" || isInSlowStart || context.exclude.includes(state.target.nodeId)) {
            continue;
        }
        const load = scoreTarget(state, context);
        if (isOnLocalVm(state, preference) && load <= preference.ownLoad) {
            return { state, load, isPreferred: true };
        }
        if (best === undefined || load < best.load) {
            best = { state, load, isPreferred: load <= preference.nearLoad };
        }
    }
    return best;
};

/**
 * Returns a local target whose load is within its limit, or else a target sampled from all targets, unless a local
 * target is hardly more loaded than the sampled one. In an overload no target has a free slot; without this exception,
 * nearly every request would then cross availability zones.
 */
export const chooseTarget = <Target extends RoutableTarget>(
    candidates: Candidates<Target>,
    localTargets: readonly TargetState<Target>[],
    preference: LocalityPreference,
    context: SampleContext,
): TargetState<Target> | undefined => {
    const localTarget = findLocalTarget(localTargets, preference, context);
    if (localTarget?.isPreferred === true) {
        return localTarget.state;
    }
    const sampledTarget = sampleTarget(candidates, context);
    if (localTarget === undefined || sampledTarget === undefined) {
        return sampledTarget ?? localTarget?.state;
    }
    return localTarget.load <= preference.nearAdvantage * scoreTarget(sampledTarget, context) ?
        localTarget.state :
        sampledTarget;
};
