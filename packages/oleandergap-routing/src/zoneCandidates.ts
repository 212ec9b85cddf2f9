/** Tracks which targets of a service in one zone are available and which are ejected. */
import type { Milliseconds, NodeId, ZoneName } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import { closeCircuit, isProbeDue, openCircuit, reduceTrips, startProbe } from "./circuit.js";
import type { PickerOptions } from "./options.js";
import type { RoutableTarget } from "./target.js";
import type { TargetState } from "./targetState.js";

/** Maximum share of a zone's targets that may be ejected. */
const MAXIMUM_EJECTED_SHARE = 0.5;
/** An ejected target that is this many times faster than another target is readmitted in its place. */
const REPLACEMENT_LATENCY_FACTOR = 2;

/** Available targets (`open`) and ejected targets. Each target is in exactly one of the two lists. */
export interface Candidates<Target extends RoutableTarget> {
    readonly zone: ZoneName;
    readonly open: TargetState<Target>[];
    readonly ejected: TargetState<Target>[];
    /** Time at which the first ejected target may be probed. */
    nextProbeAt: Milliseconds;
    /** Start time of the oldest target, the reference for the slow start of the others. */
    oldestStartedAt: Milliseconds;
}

/** Creates the lists by the circuit states of the targets. */
export const createCandidates = <Target extends RoutableTarget>(
    zone: ZoneName,
    states: readonly TargetState<Target>[],
): Candidates<Target> => {
    const candidates: Candidates<Target> = {
        zone,
        open: [],
        ejected: [],
        nextProbeAt: Number.POSITIVE_INFINITY,
        oldestStartedAt: Number.POSITIVE_INFINITY,
    };
    for (const state of states) {
        candidates.oldestStartedAt = Math.min(candidates.oldestStartedAt, state.startedAt);
        if (state.circuit.state === "closed") {
            addOpen(candidates, state);
        }
        else {
            addEjected(candidates, state);
        }
    }
    return candidates;
};

/** Returns the number of available and ejected targets. */
export const countTargets = <Target extends RoutableTarget>({ open, ejected }: Candidates<Target>): number =>
    open.length + ejected.length;

const addOpen = <Target extends RoutableTarget>(
    candidates: Candidates<Target>,
    state: TargetState<Target>,
): void => {
    state.index = candidates.open.length;
    candidates.open.push(state);
};

const addEjected = <Target extends RoutableTarget>(
    candidates: Candidates<Target>,
    state: TargetState<Target>,
): void => {
    state.index = -1;
    candidates.ejected.push(state);
    candidates.nextProbeAt = Math.min(candidates.nextProbeAt, state.circuit.probeAt);
};

const removeOpen = <Target extends RoutableTarget>(
    { open }: Candidates<Target>,
    state: TargetState<Target>,
): void => {
    const last = open.pop();
    if (last !== undefined && last !== state) {
        open[state.index] = last;
        last.index = state.index;
    }
};

const refreshNextProbe = <Target extends RoutableTarget>(candidates: Candidates<Target>): void => {
    candidates.nextProbeAt = candidates.ejected.reduce(
        (earliest, state) => Math.min(earliest, state.circuit.probeAt),
        Number.POSITIVE_INFINITY,
    );
};

const restoreTarget = <Target extends RoutableTarget>(
    candidates: Candidates<Target>,
    state: TargetState<Target>,
): boolean => {
    const position = candidates.ejected.indexOf(state);
    if (position < 0) {
        return false;
    }
    candidates.ejected.splice(position, 1);
    addOpen(candidates, state);
    refreshNextProbe(candidates);
    return true;
};

/** Ends an ejection. The target goes through the slow start again. */
export const readmitTarget = <Target extends RoutableTarget>(
    candidates: Candidates<Target>,
    state: TargetState<Target>,
    now: Milliseconds,
): void => {
    state.isUnresponsive = false;
    if (restoreTarget(candidates, state)) {
        state.startedAt = now;
    }
};

/** Finds a target that was ejected as slow and is much better than `worse`. */
const findBetterEjectedTarget = <Target extends RoutableTarget>(
    { ejected }: Candidates<Target>,
    worse: TargetState<Target>,
): TargetState<Target> | undefined => ejected.find(({ circuit, latencyMs, isUnresponsive }) => {
    const isFarFaster = worse.circuit.failures > 0 || REPLACEMENT_LATENCY_FACTOR * latencyMs < worse.latencyMs;
    return circuit.state === "open" && circuit.failures === 0 && !isUnresponsive && isFarFaster;
});

/**
 * Ejects a target, unless half of the zone's targets are ejected already. In that case, an ejected target that is much
 * better is readmitted in its place. Otherwise a good target that was ejected after a few slow responses would keep a
 * bad target available, and a small zone would stay slow although its other target is healthy.
 */
export const ejectTarget = <Target extends RoutableTarget>(
    candidates: Candidates<Target>,
    state: TargetState<Target>,
    now: Milliseconds,
    options: PickerOptions,
    random: Random,
): void => {
    const maximumEjected = Math.floor(countTargets(candidates) * MAXIMUM_EJECTED_SHARE);
    if (candidates.open[state.index] !== state || maximumEjected === 0) {
        return;
    }
    if (candidates.ejected.length >= maximumEjected) {
        const better = findBetterEjectedTarget(candidates, state);
        if (better === undefined) {
            return;
        }
        closeCircuit(better.circuit);
        readmitTarget(candidates, better, now);
    }
    openCircuit(state.circuit, now, options, random);
    removeOpen(candidates, state);
    addEjected(candidates, state);
};

/** A target is an outlier only if it is this many times slower than the median of the other targets. */
const OUTLIER_FACTOR = 2;

/**
 * Returns whether a target is slower than the other targets. When a service that the targets call is unreachable or
 * overloaded, runs take long at every target. If that caused ejections, half of the healthy targets would be ejected,
 * and targets that are really unreachable could not be ejected any more: requests would wait for these while other
 * targets are idle.
 */
export const isSlowerThanOthers = <Target extends RoutableTarget>(
    { open }: Candidates<Target>,
    state: TargetState<Target>,
): boolean => {
    const otherLatencies = open
        .filter((other) => other !== state && other.responses > 0)
        .map(({ latencyMs }) => latencyMs);
    const median = otherLatencies.sort((left, right) => left - right)[Math.floor(otherLatencies.length / 2)];
    return median === undefined || state.latencyMs > OUTLIER_FACTOR * median;
};

/** Extends an ejection after a failed probe. */
export const extendEjection = <Target extends RoutableTarget>(
    candidates: Candidates<Target>,
    state: TargetState<Target>,
    now: Milliseconds,
    options: PickerOptions,
    random: Random,
): void => {
    openCircuit(state.circuit, now, options, random);
    refreshNextProbe(candidates);
};

/**
 * Ejects a target whose gate sent no request heartbeat within the timeout, regardless of how many targets are ejected
 * already. Requests that are sent to a frozen process hang until their deadlines, and requests that must not run twice
 * are then lost. Without the ejection, such requests would pile up there until the first of them failed.
 */
export const ejectUnresponsiveTarget = <Target extends RoutableTarget>(
    candidates: Candidates<Target>,
    state: TargetState<Target>,
    now: Milliseconds,
    options: PickerOptions,
    random: Random,
): void => {
    if (candidates.open[state.index] !== state) {
        return;
    }
    state.isUnresponsive = true;
    openCircuit(state.circuit, now, options, random);
    removeOpen(candidates, state);
    addEjected(candidates, state);
};

/**
 * Ends the ejection of an unresponsive target after a request heartbeat or response. The target returns without a slow
 * start, because a short stall does not indicate a lasting fault.
 */
export const restoreResponsiveTarget = <Target extends RoutableTarget>(
    candidates: Candidates<Target>,
    state: TargetState<Target>,
): void => {
    if (!state.isUnresponsive) {
        return;
    }
    state.isUnresponsive = false;
    closeCircuit(state.circuit);
    reduceTrips(state.circuit);
    restoreTarget(candidates, state);
};

/** Makes all ejected targets due for a probe, because the zone has become reachable again. */
export const makeProbesDue = <Target extends RoutableTarget>(
    candidates: Candidates<Target>,
    now: Milliseconds,
): void => {
    for (const { circuit } of candidates.ejected) {
        circuit.probeAt = Math.min(circuit.probeAt, now);
        circuit.backoffMs = 0;
        circuit.trips = 0;
    }
    refreshNextProbe(candidates);
};

/** Returns an ejected target that this request may probe, and marks it as being probed. */
export const startDueProbe = <Target extends RoutableTarget>(
    candidates: Candidates<Target>,
    now: Milliseconds,
    canResend: boolean,
    exclude: readonly NodeId[],
): TargetState<Target> | undefined => {
    if (now < candidates.nextProbeAt) {
        return undefined;
    }
    // Each probe of an unresponsive target delays a request by the full timeout of a request heartbeat. Limiting these
    // probes to one at a time bounds the cost.
    const isProbingUnresponsiveTarget = candidates.ejected.some(({ circuit, isUnresponsive }) =>
        isUnresponsive && circuit.state === "probing" && now < circuit.probeAt);
    const dueTarget = candidates.ejected.find((state) =>
        !(state.isUnresponsive && isProbingUnresponsiveTarget) &&
        isProbeDue(state.circuit, now, canResend) &&
        !exclude.includes(state.target.nodeId));
    if (dueTarget !== undefined) {
        startProbe(dueTarget.circuit, now);
        refreshNextProbe(candidates);
    }
    return dueTarget;
};
