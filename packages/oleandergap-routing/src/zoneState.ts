/** What one node knows of one service's zone: reachability, shortage, usual latency. */
import type { Milliseconds, NodeId, ZoneName } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import { closeCircuit, createCircuit, isProbeDue, openCircuit, startProbe, type Circuit } from "./circuit.js";
import type { PickerOptions } from "./options.js";
import type { RoutableTarget } from "./target.js";
import { countTargets, createCandidates, shortenEjections, type Candidates } from "./zoneCandidates.js";

/** Part of a zone's remaining share that one refusal moves elsewhere. */
const SPILL_STEP = 0.2;
/** Some requests always go to a short zone, so that its recovery shows. */
const MAXIMUM_SPILL = 0.95;
/** Spill of a zone that has just become reachable again; its share returns as the spill fades. */
const SPILL_AFTER_CUT = 0.8;
/** Failures in a row, with no success between, after which a zone counts as cut off: its targets, within these. */
const MINIMUM_FAILURES_OF_CUT = 3;
const MAXIMUM_FAILURES_OF_CUT = 8;
/** Step of the running median of latencies, as a factor. */
const TYPICAL_LATENCY_STEP = 1.02;

/** Kinds of requests whose usual latency is remembered; the oldest gives way. */
const MAXIMUM_KINDS = 64;

/** One zone's part in a service; times are on the monotonic clock. */
export interface ZoneState<Target extends RoutableTarget> {
    readonly zone: ZoneName;
    candidates: Candidates<Target>;
    /** The table's weight. */
    weight: number;
    /** Planned part of the node's requests. */
    share: number;
    /** Part of the share that goes elsewhere for want of capacity. */
    spill: number;
    spillUpdatedAt: Milliseconds;
    readonly circuit: Circuit;
    /** Node that failed last, and whether more than one failed since the last success. */
    lastFailed: NodeId | undefined;
    hasSeveralFailed: boolean;
    /** Running median over all kinds of requests; 0 while nothing is known. */
    typicalLatencyMs: Milliseconds;
    /** Running medians by kind of request. */
    readonly typicalByKind: Map<string, Milliseconds>;
    /** Part that the zone gets at the moment, and its credit in the smooth weighted rotation. */
    effectiveShare: number;
    credit: number;
}

/** A zone that nothing is known of yet. */
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
    lastFailed: undefined,
    hasSeveralFailed: false,
    typicalLatencyMs: 0,
    typicalByKind: new Map(),
    effectiveShare: 0,
    credit: 0,
});

/** Lets the spill fade with the time since it was last looked at. */
export const fadeSpill = <Target extends RoutableTarget>(
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
 * A refusal for want of capacity. The share moves by steps and returns by time: if it returned with the first accepted
 * request, all nodes would swing between the zones together; one would see zones overloaded in turn.
 */
export const raiseSpill = <Target extends RoutableTarget>(zone: ZoneState<Target>, step = SPILL_STEP): void => {
    zone.spill = Math.min(MAXIMUM_SPILL, zone.spill + step * (1 - zone.spill));
};

/** One step of a running median towards the latest value. */
const stepMedian = (median: Milliseconds, latest: Milliseconds): Milliseconds => {
    if (median === 0) {
        return latest;
    }
    return median * (latest > median ? TYPICAL_LATENCY_STEP : 1 / TYPICAL_LATENCY_STEP);
};

/** The usual latency of a kind of request in the zone; that of all kinds while nothing is known of it. */
export const usualLatency = <Target extends RoutableTarget>(zone: ZoneState<Target>, kind: string): Milliseconds =>
    zone.typicalByKind.get(kind) ?? zone.typicalLatencyMs;

/**
 * A latency as if the request were of the usual kind. A service that runs short and long requests would otherwise seem
 * slow whenever a few long ones follow each other; one would see good targets ejected in turn.
 */
export const normaliseLatency = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    kind: string,
    latencyMs: Milliseconds,
): Milliseconds => {
    const usual = usualLatency(zone, kind);
    return usual === 0 ? latencyMs : (latencyMs * zone.typicalLatencyMs) / usual;
};

/** Takes in the latency of an answer. */
export const addZoneLatency = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    kind: string,
    latencyMs: Milliseconds,
): void => {
    const median = stepMedian(zone.typicalByKind.get(kind) ?? 0, latencyMs);
    const [oldest] = zone.typicalByKind.keys();
    if (!zone.typicalByKind.has(kind) && zone.typicalByKind.size >= MAXIMUM_KINDS && oldest !== undefined) {
        zone.typicalByKind.delete(oldest);
    }
    zone.typicalByKind.set(kind, median);
    zone.typicalLatencyMs = stepMedian(zone.typicalLatencyMs, latencyMs);
};

/** An answer of any kind from the zone. */
export const markZoneReached = <Target extends RoutableTarget>(zone: ZoneState<Target>, now: Milliseconds): void => {
    zone.circuit.failures = 0;
    zone.lastFailed = undefined;
    zone.hasSeveralFailed = false;
    if (zone.circuit.state === "closed") {
        return;
    }
    closeCircuit(zone.circuit);
    zone.circuit.trips = 0;
    zone.spill = SPILL_AFTER_CUT;
    zone.spillUpdatedAt = now;
    shortenEjections(zone.candidates, now);
};

const failuresOfCut = <Target extends RoutableTarget>(zone: ZoneState<Target>): number =>
    Math.min(MAXIMUM_FAILURES_OF_CUT, Math.max(MINIMUM_FAILURES_OF_CUT, countTargets(zone.candidates)));

/** A connect failure or lost answer. A zone of several targets is not cut off because one of them fails. */
export const markZoneFailed = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    nodeId: NodeId,
    now: Milliseconds,
    options: PickerOptions,
    random: Random,
): void => {
    const { circuit } = zone;
    circuit.failures += 1;
    zone.hasSeveralFailed ||= zone.lastFailed !== undefined && zone.lastFailed !== nodeId;
    zone.lastFailed = nodeId;
    const isTrip = circuit.state === "closed" && circuit.failures >= failuresOfCut(zone) &&
        (zone.hasSeveralFailed || countTargets(zone.candidates) === 1);
    if (isTrip || circuit.state === "probing") {
        openCircuit(circuit, now, options, random);
    }
};

/** Silence may take out all of a zone's targets; then only probes go there. */
const hasOpenTarget = <Target extends RoutableTarget>(
    { candidates }: ZoneState<Target>,
    now: Milliseconds,
    canResend: boolean,
): boolean => candidates.open.length > 0 || (canResend && now >= candidates.nextProbeAt);

/** Whether the zone takes part in the choice, or this request may probe it. */
export const isZoneUsable = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    now: Milliseconds,
    canResend: boolean,
): boolean => hasOpenTarget(zone, now, canResend) &&
    (zone.circuit.state === "closed" || isProbeDue(zone.circuit, now, canResend));

/** Marks the probe when a request goes to a zone that counts as cut off. */
export const noteZoneProbe = <Target extends RoutableTarget>(zone: ZoneState<Target>, now: Milliseconds): void => {
    if (zone.circuit.state !== "closed") {
        startProbe(zone.circuit, now);
    }
};
