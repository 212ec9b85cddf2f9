/** The targets of one service in one zone: who may be chosen, who is ejected. */
import type { Milliseconds, NodeId, ZoneName } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import { closeCircuit, isProbeDue, openCircuit, reduceTrips, startProbe } from "./circuit.js";
import type { PickerOptions } from "./options.js";
import type { RoutableTarget } from "./target.js";
import type { TargetState } from "./targetState.js";

/** At most this part of a zone's targets is ejected. */
const MAXIMUM_EJECTED_PART = 0.5;
/** An ejected target that is this many times faster than another one returns in its place. */
const WORSE_FACTOR = 2;

/** Targets that take requests (`open`) and those that are ejected; each target is in one of the two. */
export interface Candidates<Target extends RoutableTarget> {
    readonly zone: ZoneName;
    readonly open: TargetState<Target>[];
    readonly ejected: TargetState<Target>[];
    /** When the first of the ejected may be probed. */
    nextProbeAt: Milliseconds;
    /** Start of the oldest target; slow start is measured against it. */
    oldestStartedAt: Milliseconds;
}

/** Sorts targets by the state of their circuits. */
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

/** Open and ejected ones. */
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

const returnTarget = <Target extends RoutableTarget>(
    candidates: Candidates<Target>,
    state: TargetState<Target>,
): boolean => {
    const place = candidates.ejected.indexOf(state);
    if (place < 0) {
        return false;
    }
    candidates.ejected.splice(place, 1);
    addOpen(candidates, state);
    refreshNextProbe(candidates);
    return true;
};

/** Ends an ejection; the target starts slowly, as a young one does. */
export const readmitTarget = <Target extends RoutableTarget>(
    candidates: Candidates<Target>,
    state: TargetState<Target>,
    now: Milliseconds,
): void => {
    state.isSilent = false;
    if (returnTarget(candidates, state)) {
        state.startedAt = now;
    }
};

/** A target that was ejected for being slow, and that is far better than `worse`. */
const findBetterEjected = <Target extends RoutableTarget>(
    { ejected }: Candidates<Target>,
    worse: TargetState<Target>,
): TargetState<Target> | undefined => ejected.find(({ circuit, latencyMs, isSilent }) => {
    const isFarFaster = worse.circuit.failures > 0 || WORSE_FACTOR * latencyMs < worse.latencyMs;
    return circuit.state === "open" && circuit.failures === 0 && !isSilent && isFarFaster;
});

/**
 * Takes a target out of the choice, unless half of the zone's targets are out already. One of these returns if it is
 * far better: otherwise a good target that was ejected for a few slow answers would keep a bad one in. One would see
 * a small zone stay slow although its other target is well.
 */
export const ejectTarget = <Target extends RoutableTarget>(
    candidates: Candidates<Target>,
    state: TargetState<Target>,
    now: Milliseconds,
    options: PickerOptions,
    random: Random,
): void => {
    const maximum = Math.floor(countTargets(candidates) * MAXIMUM_EJECTED_PART);
    if (candidates.open[state.index] !== state || maximum === 0) {
        return;
    }
    if (candidates.ejected.length >= maximum) {
        const better = findBetterEjected(candidates, state);
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

/** A target is slow for itself only if it is so many times slower than the middle one of the others. */
const OUTLIER_FACTOR = 2;

/**
 * Whether a target is slower than the others, and not just slow as they all are. Runs take long at every target when a
 * service that they call is cut off or overloaded. If that ejected them, half of the good targets would go, and those
 * that are really cut off could not be ejected any more; one would see requests wait for these beside idle targets.
 */
export const isSlowerThanOthers = <Target extends RoutableTarget>(
    { open }: Candidates<Target>,
    state: TargetState<Target>,
): boolean => {
    const others = open.filter((other) => other !== state && other.answers > 0).map(({ latencyMs }) => latencyMs);
    const middle = others.sort((left, right) => left - right)[Math.floor(others.length / 2)];
    return middle === undefined || state.latencyMs > OUTLIER_FACTOR * middle;
};

/** After a failed probe. */
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
 * Takes a target out whose gate gave no sign of life, however many are out already: what is sent to a frozen process
 * hangs until its deadline, and a request that must not run twice is then lost. One would see such requests pile up
 * there until the first of them failed.
 */
export const silenceTarget = <Target extends RoutableTarget>(
    candidates: Candidates<Target>,
    state: TargetState<Target>,
    now: Milliseconds,
    options: PickerOptions,
    random: Random,
): void => {
    if (candidates.open[state.index] !== state) {
        return;
    }
    state.isSilent = true;
    openCircuit(state.circuit, now, options, random);
    removeOpen(candidates, state);
    addEjected(candidates, state);
};

/** A silent target gave a sign: it takes its full part again at once, since a short stall says nothing of its state. */
export const endSilence = <Target extends RoutableTarget>(
    candidates: Candidates<Target>,
    state: TargetState<Target>,
): void => {
    if (!state.isSilent) {
        return;
    }
    state.isSilent = false;
    closeCircuit(state.circuit);
    reduceTrips(state.circuit);
    returnTarget(candidates, state);
};

/** Lets all ejected targets be probed now, when the cause of their failures has gone. */
export const shortenEjections = <Target extends RoutableTarget>(
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

/** The ejected target that this request may probe, marked as being probed. */
export const takeProbe = <Target extends RoutableTarget>(
    candidates: Candidates<Target>,
    now: Milliseconds,
    canResend: boolean,
    exclude: readonly NodeId[],
): TargetState<Target> | undefined => {
    if (now < candidates.nextProbeAt) {
        return undefined;
    }
    // Each probe of a silent target holds a request up for the whole limit; one at a time bounds that cost.
    const isHeldUp = candidates.ejected.some(({ circuit, isSilent }) =>
        isSilent && circuit.state === "probing" && now < circuit.probeAt);
    const due = candidates.ejected.find((state) =>
        !(state.isSilent && isHeldUp) &&
        isProbeDue(state.circuit, now, canResend) &&
        !exclude.includes(state.target.nodeId));
    if (due !== undefined) {
        startProbe(due.circuit, now);
        refreshNextProbe(candidates);
    }
    return due;
};
