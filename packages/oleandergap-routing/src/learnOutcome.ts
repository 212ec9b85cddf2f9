/** What an attempt's outcome teaches about its target and zone. */
import type { GateLoad, Milliseconds, RefusalReason } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import { closeCircuit, reduceTrips } from "./circuit.js";
import type { PickerOptions } from "./options.js";
import type { AttemptOutcome, RoutableTarget } from "./target.js";
import { addLatency, markFailed, noteCapacity, type TargetState } from "./targetState.js";
import { ejectTarget, extendEjection, isSlowerThanOthers, readmitTarget } from "./zoneCandidates.js";
import {
    addZoneLatency,
    fadeSpill,
    markZoneFailed,
    markZoneReached,
    normaliseLatency,
    raiseSpill,
    usualLatency,
    type ZoneState,
} from "./zoneState.js";

/** Answers after which a target's latency is compared with its zone's; fewer for one that was ejected lately. */
const MINIMUM_ANSWERS = 10;
const MINIMUM_ANSWERS_AFTER_EJECTION = 3;
/** So many answers in a row that are each too slow eject a target before its running average does. */
const SLOW_ANSWERS_IN_A_ROW = 4;
/** Part of a zone's remaining share that an answer moves elsewhere when requests are queued for want of targets. */
const QUEUED_SPILL_STEP = 0.05;
/** An ejected target returns only when this many times faster than what ejects, else it would come and go by chance. */
const READMISSION_MARGIN = 4 / 3;
/** A target is not ejected for being slower by less than this. */
const MINIMUM_EXCESS_MS = 20;
/** A timeout counts against a target only if it had this many times the usual latency. */
const TIMEOUT_FACTOR = 2;
/** Answers after which the next ejection is shorter by one step. */
const ANSWERS_PER_REDUCED_TRIP = 50;

/** When and by what rules something is learnt. */
export interface LearnContext {
    readonly now: Milliseconds;
    readonly options: PickerOptions;
    readonly random: Random;
    /** The gate's load with this outcome, if it told. */
    readonly load: GateLoad | undefined;
    readonly kind: string;
    /** Whether the request was let through to find out if an ejected target is well again. */
    readonly isProbe: boolean;
}

/** Whether a refusal says that the target, and likely its zone, has no room. */
export const isShortage = (reason: RefusalReason): boolean =>
    reason === "QueueFull" || reason === "LimitReached" || reason === "DeadlineTooShort" ||
    reason === "FairShareExceeded" || reason === "DeadlinePassed" || reason === "TargetBusy";

/** A deadline shorter than the service time is refused by a gate with free slots as well; that is no shortage. */
const hasFreeSlots = (load: GateLoad | undefined): boolean => load !== undefined && load.inFlight < load.capacity;

/** Whether a refusal says that the node has no target that it may use. */
const isAbsence = (reason: RefusalReason): boolean =>
    reason === "Draining" || reason === "NotReady" || reason === "NoTarget" || reason === "UnknownService";

const isTooSlow = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    latencyMs: Milliseconds,
    options: PickerOptions,
): boolean =>
    latencyMs > options.slowFactor * zone.typicalLatencyMs && latencyMs > zone.typicalLatencyMs + MINIMUM_EXCESS_MS;

/**
 * A zone that has lost targets to ejection may be short without any refusal: the rest of its targets queue what they
 * cannot run. One would see one zone's requests wait, and go to the ejected target, while another zone has free slots.
 */
const spillQueued = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    load: GateLoad | undefined,
    now: Milliseconds,
    options: PickerOptions,
): void => {
    if (load !== undefined && load.queued > 0 && zone.candidates.ejected.length > 0) {
        fadeSpill(zone, now, options.spillReturnMs);
        raiseSpill(zone, QUEUED_SPILL_STEP);
    }
};

const learnAnswer = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    state: TargetState<Target>,
    measuredMs: Milliseconds,
    { now, options, random, load, isProbe, kind }: LearnContext,
): void => {
    const latencyMs = normaliseLatency(zone, kind, measuredMs);
    markZoneReached(zone, now);
    state.circuit.failures = 0;
    if (state.circuit.state !== "closed") {
        if (latencyMs > (options.slowFactor * zone.typicalLatencyMs) / READMISSION_MARGIN + MINIMUM_EXCESS_MS) {
            if (isProbe) {
                extendEjection(zone.candidates, state, now, options, random);
            }
            return;
        }
        closeCircuit(state.circuit);
        readmitTarget(zone.candidates, state, now);
        state.answers = 0;
        state.slowInARow = 0;
    }
    noteCapacity(state, false, now);
    spillQueued(zone, load, now, options);
    state.slowInARow = isTooSlow(zone, latencyMs, options) ? state.slowInARow + 1 : 0;
    addLatency(state, latencyMs, now);
    addZoneLatency(zone, kind, measuredMs);
    if (state.answers % ANSWERS_PER_REDUCED_TRIP === 0) {
        reduceTrips(state.circuit);
    }
    const needed = state.circuit.trips > 0 ? MINIMUM_ANSWERS_AFTER_EJECTION : MINIMUM_ANSWERS;
    const isSlow = state.answers >= needed && isTooSlow(zone, state.latencyMs, options);
    const isSlowNow = isSlow || state.slowInARow >= SLOW_ANSWERS_IN_A_ROW;
    if (isSlowNow && isSlowerThanOthers(zone.candidates, state)) {
        ejectTarget(zone.candidates, state, now, options, random);
    }
};

const ejectOrExtend = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    state: TargetState<Target>,
    { now, options, random }: LearnContext,
): void => {
    if (state.circuit.state !== "closed") {
        extendEjection(zone.candidates, state, now, options, random);
    }
    else {
        ejectTarget(zone.candidates, state, now, options, random);
    }
};

/** A refusal is an answer of the node: it is reachable, whatever its target does. */
const learnRefusal = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    state: TargetState<Target>,
    reason: RefusalReason,
    context: LearnContext,
): void => {
    const { now, options, load } = context;
    markZoneReached(zone, now);
    if (isAbsence(reason)) {
        // A node without a target refuses at once and reports no load, so that it looks like the least loaded of all;
        // one would see it draw ever more requests until the directory forgets it.
        markFailed(state, now);
        ejectOrExtend(zone, state, context);
        return;
    }
    const isShort = isShortage(reason) && !hasFreeSlots(load);
    noteCapacity(state, isShort, now);
    if (isShort) {
        fadeSpill(zone, now, options.spillReturnMs);
        raiseSpill(zone);
    }
    if (state.circuit.state !== "closed") {
        closeCircuit(state.circuit);
        readmitTarget(zone.candidates, state, now);
    }
};

const learnFailure = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    state: TargetState<Target>,
    context: LearnContext,
): void => {
    const { now, options, random, isProbe } = context;
    markFailed(state, now);
    markZoneFailed(zone, state.target.nodeId, now, options, random);
    // What was sent before the ejection fails after it, and tells nothing new; one would see back-offs of half a minute
    // after a single fault under load.
    const isTold = state.circuit.state === "closed" ? state.circuit.failures >= options.ejectAfterFailures : isProbe;
    if (isTold) {
        ejectOrExtend(zone, state, context);
    }
};

/**
 * Takes in how an answer's body ended. A target that breaks off its answers has answered as far as the outcome goes,
 * and each new head clears its failures; one would see broken answers go on for as long as the fault lasts.
 */
export const learnBodyEnd = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    state: TargetState<Target>,
    isWhole: boolean,
    { now, options, random }: Pick<LearnContext, "now" | "options" | "random">,
): void => {
    state.cutsInARow = isWhole ? 0 : state.cutsInARow + 1;
    if (state.cutsInARow >= options.ejectAfterFailures) {
        state.cutsInARow = 0;
        markFailed(state, now);
        ejectTarget(zone.candidates, state, now, options, random);
    }
};

/**
 * Takes in how long a caller waited for nothing. Calls expire together with the requests that made them, so that their
 * callers always hang up first. If nothing were learnt from that, a target beside a process that is short of processor
 * time would look like the least loaded of all, as what it does not answer leaves it; one would see calls go there and
 * expire while other targets are idle.
 */
const learnWait = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    state: TargetState<Target>,
    waitedMs: Milliseconds,
    context: LearnContext,
): void => {
    const { now, kind } = context;
    const usualMs = usualLatency(zone, kind);
    if (usualMs > 0 && waitedMs >= TIMEOUT_FACTOR * usualMs) {
        addLatency(state, normaliseLatency(zone, kind, waitedMs), now);
        // As with a timeout, three in a row without any answer between them eject.
        learnFailure(zone, state, context);
    }
};

/** Updates what is known of the target and its zone; may eject or readmit the target. */
export const learnOutcome = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    state: TargetState<Target>,
    outcome: AttemptOutcome,
    context: LearnContext,
): void => {
    switch (outcome.kind) {
        case "Answered":
            learnAnswer(zone, state, outcome.latencyMs, context);
            return;
        case "Refused":
            learnRefusal(zone, state, outcome.reason, context);
            return;
        case "ConnectFailed":
            learnFailure(zone, state, context);
            return;
        case "AnswerLost":
            if (!outcome.isTimeout || outcome.waitedMs >= TIMEOUT_FACTOR * usualLatency(zone, context.kind)) {
                learnFailure(zone, state, context);
            }
            return;
        case "Abandoned":
            learnWait(zone, state, outcome.waitedMs ?? 0, context);
    }
};
