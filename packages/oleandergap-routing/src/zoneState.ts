/** State that one node keeps about one zone of a service: reachability, lack of capacity, typical latency. */
import type { Milliseconds, NodeId, ZoneName } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import { closeCircuit, createCircuit, isProbeDue, openCircuit, startProbe, type Circuit } from "./circuit.js";
import { createUsualTimes, type UsualTimes } from "./expectedCompletion.js";
import type { PickerOptions } from "./options.js";
import type { RoutableTarget } from "./target.js";
import { countTargets, createCandidates, makeProbesDue, type Candidates } from "./zoneCandidates.js";

/** Fraction of the remaining share of a zone that one refusal moves to other zones. */
const SPILL_STEP = 0.2;
/** Maximum spill. Some requests always go to an overloaded zone, so that its recovery is detected. */
const MAXIMUM_SPILL = 0.95;
/** Spill of a zone that has just become reachable again. Its share returns as the spill decays. */
const SPILL_AFTER_RECOVERY = 0.8;
/**
 * Bounds of the number of consecutive failures after which a zone counts as unreachable. Between the bounds, the number
 * is that of the zone's targets.
 */
const MINIMUM_FAILURES_TO_TRIP = 3;
const MAXIMUM_FAILURES_TO_TRIP = 8;
/** Step of the running median of latencies, as a factor. */
const TYPICAL_LATENCY_STEP = 1.02;

/** Maximum number of request kinds with a stored typical latency. The oldest kind is evicted. */
const MAXIMUM_KINDS = 64;

/** State of one zone of a service. Times are on the monotonic clock. */
export interface ZoneState<Target extends RoutableTarget> {
    readonly zone: ZoneName;
    candidates: Candidates<Target>;
    /** Weight of the zone in the table. */
    weight: number;
    /** Planned share of this node's requests. */
    share: number;
    /** Fraction of the share that is sent to other zones for lack of capacity, from 0 to 1. */
    spill: number;
    spillUpdatedAt: Milliseconds;
    readonly circuit: Circuit;
    /** Node that failed last, and whether more than one node has failed since the last success. */
    lastFailedNode: NodeId | undefined;
    haveSeveralNodesFailed: boolean;
    /** Running median over all kinds of requests; 0 while no latency was measured. */
    typicalLatencyMs: Milliseconds;
    /** Running median by kind of request. */
    readonly typicalLatencyByKind: Map<string, Milliseconds>;
    /** Times at the targets, as far as they report their pace. */
    readonly usualTimes: UsualTimes;
    /** Current share of the zone, and its credit in the smooth weighted round robin. */
    effectiveShare: number;
    credit: number;
}

/** Creates the state of a zone that has not been used yet. */
export const createZoneState = <Target extends RoutableTarget>(
    zone: ZoneName,
    now: Milliseconds,
): ZoneState<Target> => ({
    zone,
    candidates: createCandidates<Target>(zone, []),
    weight: 0,
    share: 0,
    spill: 0,
    spillUpdatedAt: now,
    circuit: createCircuit(),
    lastFailedNode: undefined,
    haveSeveralNodesFailed: false,
    typicalLatencyMs: 0,
    typicalLatencyByKind: new Map(),
    usualTimes: createUsualTimes(),
    effectiveShare: 0,
    credit: 0,
});

/** Decays the spill exponentially by the time since its last update. */
export const decaySpill = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    now: Milliseconds,
    spillReturnMs: Milliseconds,
): void => {
    if (zone.spill > 0) {
        zone.spill *= Math.exp((zone.spillUpdatedAt - now) / spillReturnMs);
        zone.spill = zone.spill < 0.001 ? 0 : zone.spill;
    }
    zone.spillUpdatedAt = now;
};

/**
 * Increases the spill after a refusal for lack of capacity. The share moves in steps and returns over time. If it
 * returned with the first accepted request, all nodes would switch between the zones together, and the zones would be
 * overloaded in turn.
 */
export const increaseSpill = <Target extends RoutableTarget>(zone: ZoneState<Target>, step = SPILL_STEP): void => {
    zone.spill = Math.min(MAXIMUM_SPILL, zone.spill + step * (1 - zone.spill));
};

/** Moves a running median one step towards the latest value. */
const stepMedian = (median: Milliseconds, latest: Milliseconds): Milliseconds => {
    if (median === 0) {
        return latest;
    }
    return median * (latest > median ? TYPICAL_LATENCY_STEP : 1 / TYPICAL_LATENCY_STEP);
};

/**
 * Returns the typical latency of a kind of request in the zone, or that of all kinds while none of this kind was
 * measured.
 */
export const getTypicalLatency = <Target extends RoutableTarget>(zone: ZoneState<Target>, kind: string): Milliseconds =>
    zone.typicalLatencyByKind.get(kind) ?? zone.typicalLatencyMs;

/**
 * Scales a latency to that of a request of typical duration. Otherwise a service with both short and long requests
 * would seem slow whenever a few long ones follow each other, and healthy targets would be ejected in turn.
 */
export const normaliseLatency = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    kind: string,
    latencyMs: Milliseconds,
): Milliseconds => {
    const typicalMs = getTypicalLatency(zone, kind);
    return typicalMs === 0 ? latencyMs : (latencyMs * zone.typicalLatencyMs) / typicalMs;
};

/** Adds the latency of a response to the running medians. */
export const addZoneLatency = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    kind: string,
    latencyMs: Milliseconds,
): void => {
    const median = stepMedian(zone.typicalLatencyByKind.get(kind) ?? 0, latencyMs);
    const [oldest] = zone.typicalLatencyByKind.keys();
    if (
        !zone.typicalLatencyByKind.has(kind) && zone.typicalLatencyByKind.size >= MAXIMUM_KINDS && oldest !== undefined
    ) {
        zone.typicalLatencyByKind.delete(oldest);
    }
    zone.typicalLatencyByKind.set(kind, median);
    zone.typicalLatencyMs = stepMedian(zone.typicalLatencyMs, latencyMs);
};

/** Records a response of any kind from the zone. */
export const recordZoneResponse = <Target extends RoutableTarget>(zone: ZoneState<Target>, now: Milliseconds): void => {
    zone.circuit.failures = 0;
    zone.lastFailedNode = undefined;
    zone.haveSeveralNodesFailed = false;
    if (zone.circuit.state === "closed") {
        return;
    }
    closeCircuit(zone.circuit);
    zone.circuit.trips = 0;
    zone.spill = SPILL_AFTER_RECOVERY;
    zone.spillUpdatedAt = now;
    makeProbesDue(zone.candidates, now);
};

const countFailuresToTrip = <Target extends RoutableTarget>(zone: ZoneState<Target>): number =>
    Math.min(MAXIMUM_FAILURES_TO_TRIP, Math.max(MINIMUM_FAILURES_TO_TRIP, countTargets(zone.candidates)));

/**
 * Records a failure to connect or a lost response. A zone of several targets does not count as unreachable when only
 * one of them fails.
 */
export const recordZoneFailure = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    nodeId: NodeId,
    now: Milliseconds,
    options: PickerOptions,
    random: Random,
): void => {
    const { circuit } = zone;
    circuit.failures += 1;
    zone.haveSeveralNodesFailed ||= zone.lastFailedNode !== undefined && zone.lastFailedNode !== nodeId;
    zone.lastFailedNode = nodeId;
    const shouldTrip = circuit.state === "closed" && circuit.failures >= countFailuresToTrip(zone) &&
        (zone.haveSeveralNodesFailed || countTargets(zone.candidates) === 1);
    if (shouldTrip || circuit.state === "probing") {
        openCircuit(circuit, now, options, random);
    }
};

/**
 * Returns whether the zone has an available target, or an ejected one that the request may probe. All targets of a zone
 * may be ejected as unresponsive; the zone then receives only probes.
 */
const hasUsableTarget = <Target extends RoutableTarget>(
    { candidates }: ZoneState<Target>,
    now: Milliseconds,
    canResend: boolean,
): boolean => candidates.open.length > 0 || (canResend && now >= candidates.nextProbeAt);

/** Returns whether the zone takes part in the selection, or whether this request may probe it. */
export const isZoneUsable = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    now: Milliseconds,
    canResend: boolean,
): boolean => hasUsableTarget(zone, now, canResend) &&
    (zone.circuit.state === "closed" || isProbeDue(zone.circuit, now, canResend));

/** Marks the zone as being probed when a request is sent to a zone that counts as unreachable. */
export const startZoneProbe = <Target extends RoutableTarget>(zone: ZoneState<Target>, now: Milliseconds): void => {
    if (zone.circuit.state !== "closed") {
        startProbe(zone.circuit, now);
    }
};
