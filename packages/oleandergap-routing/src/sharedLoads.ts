/**
 * Shares reports of the loads of a zone's targets among the nodes of the zone. An entry node receives the reports of
 * one target only with its own responses, about once in a second; together, the nodes of a zone receive a hundred times
 * as many.
 */
import type { GateLoad, Milliseconds, NodeId } from "oleandergap-types";
import { isPaceReported } from "./expectedCompletion.js";
import type { ServiceState } from "./serviceState.js";
import type { RoutableTarget, SharedLoad } from "./target.js";
import type { TargetState } from "./targetState.js";

/** Maximum number of loads in one message. */
const MAXIMUM_SHARED_LOADS = 4;
/** Age from which a load is no longer shared. */
const MAXIMUM_SHARED_AGE_MS: Milliseconds = 1000;

const describe = <Target extends RoutableTarget>(
    { target, inFlight, otherNodesInFlight, capacity, pace, loadReportedAt }: TargetState<Target>,
    now: Milliseconds,
): SharedLoad => ({
    nodeId: target.nodeId,
    requests: inFlight + otherNodesInFlight,
    capacity,
    pace: pace?.pace ?? 1,
    ageMs: now - loadReportedAt,
});

/** Returns the newest reports of targets in the local zone. */
export const listSharedLoads = <Target extends RoutableTarget>(
    service: ServiceState<Target> | undefined,
    now: Milliseconds,
): readonly SharedLoad[] => (service?.localTargets ?? [])
    .filter(({ pace, loadReportedAt }) => pace !== undefined && now - loadReportedAt <= MAXIMUM_SHARED_AGE_MS)
    .sort((left, right) => right.loadReportedAt - left.loadReportedAt)
    .slice(0, MAXIMUM_SHARED_LOADS)
    .map((state) => describe(state, now));

const applyLoad = <Target extends RoutableTarget>(
    state: TargetState<Target>,
    { requests, capacity, pace, ageMs }: Omit<SharedLoad, "nodeId">,
    now: Milliseconds,
): void => {
    const reportedAt = now - ageMs;
    if (reportedAt <= state.loadReportedAt) {
        return;
    }
    state.otherNodesInFlight = Math.max(0, requests - state.inFlight);
    state.loadReportedAt = reportedAt;
    state.capacity = capacity > 0 ? capacity : state.capacity;
    state.pace = { pace, reportedAt, usualTimeByKind: state.pace?.usualTimeByKind ?? new Map<string, Milliseconds>() };
};

/** Applies loads that another node has shared, unless this node has newer ones. */
export const applySharedLoads = <Target extends RoutableTarget>(
    service: ServiceState<Target> | undefined,
    loads: readonly SharedLoad[],
    now: Milliseconds,
): void => {
    for (const load of loads) {
        const state = service?.states.get(load.nodeId);
        if (state !== undefined) {
            applyLoad(state, load, now);
        }
    }
};

/** The gate on the local VM. */
export interface LocalGate {
    readonly localNodeId: NodeId | undefined;
    readonly localLoad: () => GateLoad | undefined;
    readonly now: Milliseconds;
}

/** Applies the present load of the gate on the local VM, if targets of the service report their pace. */
export const refreshLocalLoad = <Target extends RoutableTarget>(
    { zones, localTargets: [state] }: ServiceState<Target>,
    { localNodeId, localLoad, now }: LocalGate,
): void => {
    if (state?.target.nodeId !== localNodeId || !zones.some(({ usualTimes }) => isPaceReported(usualTimes, now))) {
        return;
    }
    const { inFlight = 0, queued = 0, capacity = 0, pace } = localLoad() ?? {};
    if (state !== undefined && pace !== undefined) {
        applyLoad(state, { requests: inFlight + queued, capacity, pace, ageMs: 0 }, now);
    }
};
