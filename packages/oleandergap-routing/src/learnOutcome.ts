/** Updates the state of a target and its zone with the outcome of an attempt. */
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

/**
 * Minimum number of responses before a target's latency is compared with that of its zone. The number is lower for a
 * target that was ejected recently.
 */
const MINIMUM_ANSWERS = 10;
const MINIMUM_ANSWERS_AFTER_EJECTION = 3;
/**
 * Number of consecutive responses that are each too slow after which a target is ejected, even before its average
 * latency is too high.
 */
const SLOW_ANSWERS_IN_A_ROW = 4;
/**
 * Fraction of the remaining share of a zone that a response moves to other zones while requests queue for lack of
 * targets.
 */
const QUEUED_SPILL_STEP = 0.05;
/**
 * An ejected target is readmitted only if it is faster than the ejection threshold by this factor. Without the margin,
 * random variation would eject and readmit it in turn.
 */
const READMISSION_MARGIN = 4 / 3;
/** Minimum excess over the typical latency for which a target is ejected as slow. */
const MINIMUM_EXCESS_MS = 20;
/** A timeout counts against a target only if the request waited for at least this many typical latencies. */
const TIMEOUT_FACTOR = 2;
/** Number of responses after which the trips of a target are reduced by one. */
const ANSWERS_PER_REDUCED_TRIP = 50;

/** Inputs of an update besides the outcome. */
export interface LearnContext {
    readonly now: Milliseconds;
    readonly options: PickerOptions;
    readonly random: Random;
    /** The gate's load at the time of this outcome, if the gate reported it. */
    readonly load: GateLoad | undefined;
    readonly kind: string;
    /** Whether the request probed an ejected target. */
    readonly isProbe: boolean;
}

/** Returns whether a refusal indicates that the target, and probably its zone, lacks capacity. */
export const isShortage = (reason: RefusalReason): boolean =>
    reason === "QueueFull" || reason === "LimitReached" || reason === "DeadlineTooShort" ||
    reason === "FairShareExceeded" || reason === "DeadlinePassed" || reason === "TargetBusy";

/**
 * Returns whether the gate reported free slots. A gate refuses a deadline shorter than the service time even with free
 * slots; such a refusal does not indicate a lack of capacity.
 */
const hasFreeSlots = (load: GateLoad | undefined): boolean => load !== undefined && load.inFlight < load.capacity;

/** Returns whether a refusal indicates that the node has no usable target. */
const isAbsence = (reason: RefusalReason): boolean =>
    reason === "Draining" || reason === "NotReady" || reason === "NoTarget" || reason === "UnknownService";

const isTooSlow = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    latencyMs: Milliseconds,
    options: PickerOptions,
): boolean =>
    latencyMs > options.slowFactor * zone.typicalLatencyMs && latencyMs > zone.typicalLatencyMs + MINIMUM_EXCESS_MS;

/**
 * Increases the spill of a zone whose available targets queue requests while others are ejected. Such a zone lacks
 * capacity although no gate refuses anything. Without the spill, its requests would wait, or go to the ejected target,
 * while another zone has free slots.
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

/**
 * Records a refusal. A refusal is a response of the node, so the node is reachable, whatever the state of its target.
 */
const learnRefusal = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    state: TargetState<Target>,
    reason: RefusalReason,
    context: LearnContext,
): void => {
    const { now, options, load } = context;
    markZoneReached(zone, now);
    if (isAbsence(reason)) {
        // A node without a target refuses at once and reports no load, so it appears to be the least loaded. Without an
        // ejection, it would attract more and more requests until the directory removes it.
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
    // Requests that were sent before the ejection fail after it and give no new information. If they counted, a single
    // fault under load would lead to backoffs of half a minute.
    const isTold = state.circuit.state === "closed" ? state.circuit.failures >= options.ejectAfterFailures : isProbe;
    if (isTold) {
        ejectOrExtend(zone, state, context);
    }
};

/**
 * Records how a response body ended. If a target interrupts its responses after the head, their outcomes are still
 * successes, and each new head clears the earlier failures. Without this separate count, interrupted responses would
 * continue for as long as the fault lasts.
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
 * Records how long a caller waited before it disconnected without a response. Calls expire together with the requests
 * that made them, so their callers always disconnect first. If these waits were ignored, a target whose process is
 * short of processor time would appear to be the least loaded, because unanswered requests no longer count as in flight
 * there. Calls would then go to this target and expire while other targets are idle.
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
        // As with timeouts, `ejectAfterFailures` consecutive waits without a response between them lead to an ejection.
        learnFailure(zone, state, context);
    }
};

/** Updates the state of the target and its zone. It may eject or readmit the target. */
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
