/** State that one node keeps about one target: load, latency, failures and age. `targetScore.ts` derives scores. */
import type { Clock, GateLoad, Milliseconds } from "oleandergap-types";
import { createCircuit, type Circuit } from "./circuit.js";
import { updateReportedPace, type ReportedPace } from "./reportedPace.js";
import type { RoutableTarget } from "./target.js";

/** Weight of the newest latency in the exponential moving average. */
const LATENCY_WEIGHT = 0.2;
/** Weight of the newest request in the refused share: about the last twenty requests count. */
const REFUSED_SHARE_WEIGHT = 0.05;

/** State of one target. It changes with every request; times are on the monotonic clock. */
export interface TargetState<Target extends RoutableTarget> {
    target: Target;
    readonly circuit: Circuit;
    /** Position in the `open` list of the zone's candidates; -1 while the target is ejected. */
    index: number;
    /** Number of requests from this node that are in flight at the target. */
    inFlight: number;
    /** Sum of the times at which the requests in flight were sent, for computing their mean age. */
    sentAtSum: Milliseconds;
    /** Sum of the typical latencies of the requests in flight. */
    typicalLatencySum: Milliseconds;
    /** Whether the target's gate sends request heartbeats while it processes a request. */
    sendsHeartbeats: boolean;
    /**
     * Whether the target is ejected because its gate sent no request heartbeat within the timeout. The next request
     * heartbeat or response ends this ejection.
     */
    isUnresponsive: boolean;
    /** Number of requests from other nodes at the target when its gate last reported its load. */
    otherNodesInFlight: number;
    loadReportedAt: Milliseconds;
    /** Number of requests that the target runs concurrently, as announced or last reported at `loadReportedAt`. */
    capacity: number;
    /** What the target's gate reported about its speed; undefined while it has reported no pace. */
    pace: ReportedPace | undefined;
    /** Exponential moving average; 0 while no latency was measured. */
    latencyMs: Milliseconds;
    responses: number;
    respondedAt: Milliseconds;
    /** Number of consecutive responses that were far slower than typical for the zone. */
    consecutiveSlowResponses: number;
    /** Number of consecutive responses whose bodies were interrupted after the response head. */
    consecutiveInterruptedResponses: number;
    failedAt: Milliseconds;
    /** Share of this node's recent requests that the gate refused for lack of capacity. */
    refusedShare: number;
    refusedShareUpdatedAt: Milliseconds;
    /** Time since which the target has had requests in flight without sending any response or request heartbeat. */
    waitingSince: Milliseconds;
    /** Time at which the target's slow start began, on the monotonic clock. */
    startedAt: Milliseconds;
}

/**
 * Converts the announced start time to the monotonic clock. The announcement carries the wall clock of another VM. If
 * that clock runs ahead, the target would stay in slow start for ever, so the start is never assumed to be later than
 * the time at which this node first saw the target.
 */
const estimateStart = (since: Milliseconds, clock: Clock): Milliseconds =>
    clock.monotonic() - Math.max(0, clock.now() - since);

/** Creates the state of a target that has not been used yet. */
export const createTargetState = <Target extends RoutableTarget>(
    target: Target,
    clock: Clock,
): TargetState<Target> => ({
    target,
    circuit: createCircuit(),
    index: -1,
    inFlight: 0,
    sentAtSum: 0,
    typicalLatencySum: 0,
    sendsHeartbeats: false,
    isUnresponsive: false,
    otherNodesInFlight: 0,
    loadReportedAt: Number.NEGATIVE_INFINITY,
    capacity: target.slots,
    pace: undefined,
    latencyMs: 0,
    responses: 0,
    respondedAt: Number.NEGATIVE_INFINITY,
    consecutiveSlowResponses: 0,
    consecutiveInterruptedResponses: 0,
    failedAt: Number.NEGATIVE_INFINITY,
    refusedShare: 0,
    refusedShareUpdatedAt: Number.NEGATIVE_INFINITY,
    waitingSince: clock.monotonic(),
    startedAt: estimateStart(target.since, clock),
});

/** Applies a new directory record of the same node. A different start time means that the target was replaced. */
export const updateTarget = <Target extends RoutableTarget>(
    state: TargetState<Target>,
    target: Target,
    clock: Clock,
): void => {
    if (target.since !== state.target.since) {
        state.startedAt = estimateStart(target.since, clock);
        state.latencyMs = 0;
        state.responses = 0;
        state.pace = undefined;
    }
    if (target.slots !== state.target.slots) {
        state.capacity = target.slots;
    }
    state.target = target;
};

/** Records that a request was sent to the target. */
export const recordSentRequest = <Target extends RoutableTarget>(
    state: TargetState<Target>,
    now: Milliseconds,
    typicalMs: Milliseconds,
): void => {
    if (state.inFlight === 0) {
        state.waitingSince = now;
    }
    state.inFlight += 1;
    state.sentAtSum += now;
    state.typicalLatencySum += typicalMs;
};

/** A request in flight at a target. */
export interface SentRequest {
    readonly sentAt: Milliseconds;
    readonly kind: string;
    /** Typical latency of the request's kind at the time of sending. */
    readonly typicalMs: Milliseconds;
}

/** Records the end of an attempt and the load that the gate reported, if any. */
export const recordEndedRequest = <Target extends RoutableTarget>(
    state: TargetState<Target>,
    load: GateLoad | undefined,
    { sentAt, typicalMs, kind }: SentRequest,
    now: Milliseconds,
): void => {
    state.inFlight = Math.max(0, state.inFlight - 1);
    // Rounding leaves a rest in the sums. Divided by each other, the rests of an idle target look like a long delay.
    state.sentAtSum = state.inFlight === 0 ? 0 : state.sentAtSum - sentAt;
    state.typicalLatencySum = state.inFlight === 0 ? 0 : Math.max(0, state.typicalLatencySum - typicalMs);
    if (load !== undefined) {
        state.waitingSince = now;
        state.otherNodesInFlight = Math.max(0, load.inFlight + load.queued - state.inFlight);
        state.loadReportedAt = now;
        state.capacity = load.capacity > 0 ? load.capacity : state.capacity;
        state.pace = updateReportedPace(state.pace, load, kind, now);
    }
};

/** Adds the latency of a response to the moving average. */
export const addLatency = <Target extends RoutableTarget>(
    state: TargetState<Target>,
    latencyMs: Milliseconds,
    now: Milliseconds,
): void => {
    state.respondedAt = now;
    state.responses += 1;
    state.latencyMs += (latencyMs - state.latencyMs) * (state.responses === 1 ? 1 : LATENCY_WEIGHT);
};

/** Records whether the gate refused a request for lack of capacity. */
export const updateRefusedShare = <Target extends RoutableTarget>(
    state: TargetState<Target>,
    isRefused: boolean,
    now: Milliseconds,
): void => {
    state.refusedShare += REFUSED_SHARE_WEIGHT * ((isRefused ? 1 : 0) - state.refusedShare);
    state.refusedShareUpdatedAt = now;
};

/** Records a failure to connect or a lost response. */
export const recordTargetFailure = <Target extends RoutableTarget>(
    state: TargetState<Target>,
    now: Milliseconds,
): void => {
    state.circuit.failures += 1;
    state.failedAt = now;
};
