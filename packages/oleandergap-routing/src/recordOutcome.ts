/** Updates the state of a target and its zone with the outcome of an attempt. */
import type { GateLoad, Milliseconds, RefusalReason } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import { closeCircuit, reduceTrips } from "./circuit.js";
import { computeSlowdown } from "./expectedCompletion.js";
import type { PickerOptions } from "./options.js";
import type { AttemptOutcome, RoutableTarget } from "./target.js";
import { addLatency, recordTargetFailure, updateRefusedShare, type TargetState } from "./targetState.js";
import { ejectTarget, extendEjection, isSlowerThanOthers, readmitTarget } from "./zoneCandidates.js";
import {
    addZoneLatency,
    decaySpill,
    recordZoneFailure,
    recordZoneResponse,
    normaliseLatency,
    increaseSpill,
    getTypicalLatency,
    type ZoneState,
} from "./zoneState.js";

/**
 * Minimum number of responses before a target's latency is compared with that of its zone. The number is lower for a
 * target that was ejected recently.
 */
const MINIMUM_RESPONSES = 10;
const MINIMUM_RESPONSES_AFTER_EJECTION = 3;
/**
 * Number of consecutive responses that are each too slow after which a target is ejected, even before its average
 * latency is too high.
 */
const CONSECUTIVE_SLOW_RESPONSES = 4;
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
const RESPONSES_PER_REDUCED_TRIP = 50;

/** Inputs of an update besides the outcome. */
export interface OutcomeContext {
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
export const isCapacityRefusal = (reason: RefusalReason): boolean =>
    reason === "QueueFull" || reason === "LimitReached" || reason === "DeadlineTooShort" ||
    reason === "FairShareExceeded" || reason === "DeadlinePassed" || reason === "TargetBusy";

/**
 * Returns whether the gate reported free slots that a request may use at once. A gate refuses a deadline shorter than
 * the service time even with free slots; such a refusal does not indicate a lack of capacity.
 */
const hasFreeSlots = (load: GateLoad | undefined): boolean =>
    load !== undefined && load.inFlight < load.capacity && load.expectedWaitMs === 0;

/** Returns whether a refusal indicates that the node has no usable target. */
const isMissingTargetRefusal = (reason: RefusalReason): boolean =>
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
const spillQueuedRequests = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    load: GateLoad | undefined,
    now: Milliseconds,
    options: PickerOptions,
): void => {
    if (load !== undefined && load.queued > 0 && zone.candidates.ejected.length > 0) {
        decaySpill(zone, now, options.spillReturnMs);
        increaseSpill(zone, QUEUED_SPILL_STEP);
    }
};

const recordResponse = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    state: TargetState<Target>,
    measuredMs: Milliseconds,
    { now, options, random, load, isProbe, kind }: OutcomeContext,
): void => {
    // A target that reports why it is slow is placed by its report and is not ejected for it.
    const slowdown = computeSlowdown(state.pace, { kind, times: zone.usualTimes, now });
    const latencyMs = normaliseLatency(zone, kind, measuredMs) / slowdown;
    recordZoneResponse(zone, now);
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
        state.responses = 0;
        state.consecutiveSlowResponses = 0;
    }
    updateRefusedShare(state, false, now);
    spillQueuedRequests(zone, load, now, options);
    state.consecutiveSlowResponses = isTooSlow(zone, latencyMs, options) ? state.consecutiveSlowResponses + 1 : 0;
    addLatency(state, latencyMs, now);
    addZoneLatency(zone, kind, measuredMs);
    if (state.responses % RESPONSES_PER_REDUCED_TRIP === 0) {
        reduceTrips(state.circuit);
    }
    const requiredResponses = state.circuit.trips > 0 ? MINIMUM_RESPONSES_AFTER_EJECTION : MINIMUM_RESPONSES;
    const isSlowOnAverage = state.responses >= requiredResponses && isTooSlow(zone, state.latencyMs, options);
    const isSlow = isSlowOnAverage || state.consecutiveSlowResponses >= CONSECUTIVE_SLOW_RESPONSES;
    if (isSlow && isSlowerThanOthers(zone.candidates, state)) {
        ejectTarget(zone.candidates, state, now, options, random);
    }
};

const ejectOrExtendEjection = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    state: TargetState<Target>,
    { now, options, random }: OutcomeContext,
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
const recordRefusal = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    state: TargetState<Target>,
    reason: RefusalReason,
    context: OutcomeContext,
): void => {
    const { now, options, load } = context;
    recordZoneResponse(zone, now);
    if (isMissingTargetRefusal(reason)) {
        // A node without a target refuses at once and reports no load, so it appears to be the least loaded. Without an
        // ejection, it would attract more and more requests until the directory removes it.
        recordTargetFailure(state, now);
        ejectOrExtendEjection(zone, state, context);
        return;
    }
    const isLackingCapacity = isCapacityRefusal(reason) && !hasFreeSlots(load);
    updateRefusedShare(state, isLackingCapacity, now);
    if (isLackingCapacity) {
        decaySpill(zone, now, options.spillReturnMs);
        increaseSpill(zone);
    }
    if (state.circuit.state !== "closed") {
        closeCircuit(state.circuit);
        readmitTarget(zone.candidates, state, now);
    }
};

const recordFailure = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    state: TargetState<Target>,
    context: OutcomeContext,
): void => {
    const { now, options, random, isProbe } = context;
    recordTargetFailure(state, now);
    recordZoneFailure(zone, state.target.nodeId, now, options, random);
    // Requests that were sent before the ejection fail after it and give no new information. If they counted, a single
    // fault under load would lead to backoffs of half a minute.
    const shouldEject = state.circuit.state === "closed" ? state.circuit.failures >= options.ejectAfterFailures : isProbe;
    if (shouldEject) {
        ejectOrExtendEjection(zone, state, context);
    }
};

/**
 * Records how a response body ended. If a target interrupts its responses after the head, their outcomes are still
 * successes, and each new head clears the earlier failures. Without this separate count, interrupted responses would
 * continue for as long as the fault lasts.
 */
export const recordBodyEnd = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    state: TargetState<Target>,
    isComplete: boolean,
    { now, options, random }: Pick<OutcomeContext, "now" | "options" | "random">,
): void => {
    state.consecutiveInterruptedResponses = isComplete ? 0 : state.consecutiveInterruptedResponses + 1;
    if (state.consecutiveInterruptedResponses >= options.ejectAfterFailures) {
        state.consecutiveInterruptedResponses = 0;
        recordTargetFailure(state, now);
        ejectTarget(zone.candidates, state, now, options, random);
    }
};

/**
 * Records how long a caller waited before it disconnected without a response. Calls expire together with the requests
 * that made them, so their callers always disconnect first. If these waits were ignored, a target whose process lacks
 * CPU time would appear to be the least loaded, because unanswered requests no longer count as in flight there. Calls
 * would then go to this target and expire while other targets are idle.
 */
const recordWaitUntilDisconnect = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    state: TargetState<Target>,
    waitedMs: Milliseconds,
    context: OutcomeContext,
): void => {
    const { now, kind } = context;
    const typicalMs = getTypicalLatency(zone, kind);
    if (typicalMs > 0 && waitedMs >= TIMEOUT_FACTOR * typicalMs) {
        addLatency(state, normaliseLatency(zone, kind, waitedMs), now);
        // As with timeouts, `ejectAfterFailures` consecutive waits without a response between them lead to an ejection.
        recordFailure(zone, state, context);
    }
};

/** Updates the state of the target and its zone. It may eject or readmit the target. */
export const recordOutcome = <Target extends RoutableTarget>(
    zone: ZoneState<Target>,
    state: TargetState<Target>,
    outcome: AttemptOutcome,
    context: OutcomeContext,
): void => {
    switch (outcome.kind) {
        case "Answered":
            recordResponse(zone, state, outcome.latencyMs, context);
            return;
        case "Refused":
            recordRefusal(zone, state, outcome.reason, context);
            return;
        case "ConnectFailed":
            recordFailure(zone, state, context);
            return;
        case "AnswerLost":
            if (!outcome.isTimeout || outcome.waitedMs >= TIMEOUT_FACTOR * getTypicalLatency(zone, context.kind)) {
                recordFailure(zone, state, context);
            }
            return;
        case "Abandoned":
            recordWaitUntilDisconnect(zone, state, outcome.waitedMs ?? 0, context);
    }
};
