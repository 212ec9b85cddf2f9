/** State that one node keeps about one service. It is rebuilt when the service's row or targets change. */
import type { Clock, NodeId, ServiceRow, ZoneName } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import { listLocalTargets, type LocalityPreference } from "./localityPreference.js";
import type { CallerSpread } from "./options.js";
import type { RoutableTarget } from "./target.js";
import { createTargetState, updateTarget, type TargetState } from "./targetState.js";
import { createCandidates } from "./zoneCandidates.js";
import { planZoneShares } from "./zoneShares.js";
import { createZoneState, type ZoneState } from "./zoneState.js";

/** Targets and zones of one service. */
export interface ServiceState<Target extends RoutableTarget> {
    row: ServiceRow | undefined;
    targets: readonly Target[] | undefined;
    states: Map<NodeId, TargetState<Target>>;
    /** Includes zones that have no targets at the moment, so that their state is kept. */
    readonly allZones: Map<ZoneName, ZoneState<Target>>;
    /** Zones that may be chosen: those with a weight and targets. */
    zones: readonly ZoneState<Target>[];
    /** Targets on the local VM and in the local zone. Empty unless targets are placed by load. */
    localTargets: readonly TargetState<Target>[];
}

/** Inputs of a rebuild besides the row and the targets. */
export interface RebuildContext {
    readonly clock: Clock;
    readonly random: Random;
    readonly localityPreference: LocalityPreference;
    readonly callerSpread: CallerSpread;
}

/** Creates the state of a service without targets. */
export const createServiceState = <Target extends RoutableTarget>(): ServiceState<Target> => ({
    row: undefined,
    targets: undefined,
    states: new Map(),
    allZones: new Map(),
    zones: [],
    localTargets: [],
});

const collectStates = <Target extends RoutableTarget>(
    previousStates: ReadonlyMap<NodeId, TargetState<Target>>,
    targets: readonly Target[],
    clock: Clock,
): Map<NodeId, TargetState<Target>> => {
    const states = new Map<NodeId, TargetState<Target>>();
    for (const target of targets) {
        const state = previousStates.get(target.nodeId) ?? createTargetState(target, clock);
        updateTarget(state, target, clock);
        states.set(target.nodeId, state);
    }
    return states;
};

/**
 * Represents all availability zones together where targets are chosen by load alone. Within one group, the less loaded
 * target is chosen in whichever zone it is. With a group per zone, a zone with one target of a service would receive as
 * many requests as a zone with three.
 */
const ALL_ZONES: ZoneName = "";

const groupByZone = <Target extends RoutableTarget>(
    states: Iterable<TargetState<Target>>,
    { placement }: ServiceRow,
): Map<ZoneName, TargetState<Target>[]> => {
    const groups = new Map<ZoneName, TargetState<Target>[]>();
    for (const state of states) {
        const { leaving } = state.target;
        const zone = placement === "load" ? ALL_ZONES : state.target.zone;
        if (!leaving) {
            const group = groups.get(zone) ?? [];
            group.push(state);
            groups.set(zone, group);
        }
    }
    return groups;
};

const getOrCreateZone = <Target extends RoutableTarget>(
    service: ServiceState<Target>,
    name: ZoneName,
    { clock, random }: RebuildContext,
): ZoneState<Target> => {
    let zone = service.allZones.get(name);
    if (zone === undefined) {
        zone = createZoneState<Target>(name, clock.monotonic());
        // Without a random start value, nodes that start together would all send their first requests to the same zone.
        zone.credit = random();
        service.allZones.set(name, zone);
    }
    return zone;
};

/**
 * Compares two lists by their items. A directory may return a new array of the same records, and this comparison is far
 * cheaper than a rebuild.
 */
const isSameList = <Item>(left: readonly Item[] | undefined, right: readonly Item[]): boolean =>
    left === right ||
    (left?.length === right.length && left.every((item, index) => item === right[index]));

/** Applies a new row or new targets. Does nothing if neither has changed. */
export const refreshService = <Target extends RoutableTarget>(
    service: ServiceState<Target>,
    row: ServiceRow,
    targets: readonly Target[],
    context: RebuildContext,
): void => {
    const isUnchanged = service.row === row && isSameList(service.targets, targets);
    service.targets = targets;
    if (isUnchanged) {
        return;
    }
    service.row = row;
    service.states = collectStates(service.states, targets, context.clock);
    const weights: ServiceRow["weights"] = row.placement === "load" ? new Map([[ALL_ZONES, 1]]) : row.weights;
    const shares = planZoneShares(weights, context.localityPreference.localZone, context.callerSpread);
    const zones: ZoneState<Target>[] = [];
    for (const [name, states] of groupByZone(service.states.values(), row)) {
        const zone = getOrCreateZone(service, name, context);
        zone.candidates = createCandidates(name, states);
        zone.weight = weights.get(name) ?? 0;
        zone.share = shares.get(name) ?? 0;
        if (zone.weight > 0) {
            zones.push(zone);
        }
    }
    service.zones = normaliseShares(zones);
    service.localTargets = row.placement === "load" ?
        listLocalTargets(service.states.values(), context.localityPreference) :
        [];
};

/** Distributes the shares of zones without targets over the other zones, in proportion to their weights. */
const normaliseShares = <Target extends RoutableTarget>(
    zones: readonly ZoneState<Target>[],
): readonly ZoneState<Target>[] => {
    const plannedShare = zones.reduce((sum, zone) => sum + zone.share, 0);
    const totalWeight = zones.reduce((sum, zone) => sum + zone.weight, 0);
    for (const zone of zones) {
        zone.share += ((1 - plannedShare) * zone.weight) / totalWeight;
    }
    return zones;
};
