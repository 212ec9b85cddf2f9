/** State that one node keeps about one target: load, latency, failures and age. */
import type { Clock, GateLoad, Milliseconds } from "oleandergap-types";
import { createCircuit, type Circuit } from "./circuit.js";
import { estimateCompletion, type CompletionContext } from "./expectedCompletion.js";
import { updateReportedPace, type ReportedPace } from "./reportedPace.js";
import type { RoutableTarget } from "./target.js";

/** Weight of the newest latency in the exponential moving average. */
const LATENCY_WEIGHT = 0.2;
/** Number of requests in flight as which each failure since the last success counts, if it is recent. */
const FAILURE_PENALTY = 2;
/**
 * Number of requests in flight that is added to the load of an unresponsive target. Such a target is chosen only if the
 * other candidate is unresponsive as well.
 */
const UNRESPONSIVE_PENALTY = 1_000_000;
/** Latencies up to this multiple of the zone's typical latency are treated as normal variation. */
const NORMAL_LATENCY_VARIATION = 2;
/**
 * Upper bound of the slowness factor. Without it, a single long request, such as an upload, would keep a target idle
 * while the others are full.
 */
const MAXIMUM_SLOWNESS = 8;
/** Age at which a latency measurement no longer affects the score of the target. */
const LATENCY_LIFETIME_MS = 10_000;
/**
 * Age at which a reported capacity no longer affects the score of the target. It is long compared with a load report,
 * because a capacity changes rarely, and each request that tries a reduced target may be refused.
 */
const CAPACITY_LIFETIME_MS = 10_000;
/** Weight of the newest request in the refused share: about the last twenty requests count. */
const REFUSED_SHARE_WEIGHT = 0.05;
/** Lower bound of the accepted share. However many requests a target refuses, its load is multiplied by ten at most. */
const MINIMUM_ACCEPTED_SHARE = 0.1;
/** Traffic share of a target that has just started. */
const MINIMUM_SLOW_START_SHARE = 0.1;

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

/** Returns the share of its full load, from 0.1 to 1, that a target receives according to its age. */
export const computeSlowStartShare = (startedAt: Milliseconds, now: Milliseconds, slowStartMs: Milliseconds): number =>
    slowStartMs === 0 ? 1 : Math.min(1, Math.max(MINIMUM_SLOW_START_SHARE, (now - startedAt) / slowStartMs));

/** Inputs of a score besides the target. */
export interface ScoreContext {
    readonly now: Milliseconds;
    readonly loadReportLifetimeMs: Milliseconds;
    /** Time without any response after which a target with requests in flight is avoided. */
    readonly silenceMs: Milliseconds;
    /** Like `silenceMs`, for a target whose gate sends request heartbeats. */
    readonly missedSignsMs: Milliseconds;
    /** Typical latency of the zone; 0 while no latency was measured. */
    readonly typicalLatencyMs: Milliseconds;
    /** The request and the service's times if its targets report their pace; undefined otherwise. */
    readonly completion: CompletionContext | undefined;
}

/** Returns the mean age of the requests in flight as a multiple of their typical latency. */
const computeRelativeAge = <Target extends RoutableTarget>(
    { inFlight, sentAtSum, typicalLatencySum }: TargetState<Target>,
    now: Milliseconds,
): number => typicalLatencySum > 0 ? (now * inFlight - sentAtSum) / typicalLatencySum : 0;

/**
 * Returns how many times later than expected the responses of the target are, at least 1, by the age of the requests in
 * flight. Earlier latencies say nothing about a target whose pace is known.
 */
const computeDelay = <Target extends RoutableTarget>(state: TargetState<Target>, now: Milliseconds): number =>
    Math.min(MAXIMUM_SLOWNESS, Math.max(1, computeRelativeAge(state, now) / NORMAL_LATENCY_VARIATION));

/**
 * Returns how many times slower than typical the target is, at least 1. It takes the latest responses and the age of
 * the requests in flight into account. Without the age, a target that becomes slow would receive its full share until
 * its first slow responses arrive, and requests would pile up there for several times the typical latency.
 */
const computeSlowness = <Target extends RoutableTarget>(
    state: TargetState<Target>,
    { now, typicalLatencyMs }: ScoreContext,
): number => {
    if (typicalLatencyMs === 0) {
        return 1;
    }
    // The age is divided by the typical latency of the requests in flight, so that a target with long requests does not
    // count as slow.
    const relativeAge = computeRelativeAge(state, now);
    // Old measurements lose their weight, so that a recovered target receives the requests that show its recovery.
    const freshness = Math.max(0, 1 - (now - state.respondedAt) / LATENCY_LIFETIME_MS);
    const relativeLatency = (state.latencyMs * freshness) / typicalLatencyMs;
    const relativeDelay = Math.max(relativeAge, relativeLatency);
    return Math.min(MAXIMUM_SLOWNESS, Math.max(1, relativeDelay / NORMAL_LATENCY_VARIATION));
};

/**
 * Returns the capacity of a target. A report that becomes outdated loses its weight, so that a target whose capacity
 * was reduced for some time receives the requests that show its present capacity.
 */
const computeCapacity = <Target extends RoutableTarget>(
    { capacity, loadReportedAt, target: { slots } }: TargetState<Target>,
    now: Milliseconds,
): number => {
    const freshness = Math.max(0, 1 - (now - loadReportedAt) / CAPACITY_LIFETIME_MS);
    return Math.max(1, capacity < slots ? slots + (capacity - slots) * freshness : capacity);
};

/**
 * Returns the expected number of requests at the target if it received one more. The reported load from other nodes
 * decays with the age of the report, because a report is outdated after a few requests; the number of requests in
 * flight from this node is exact.
 */
const countExpectedRequests = <Target extends RoutableTarget>(
    state: TargetState<Target>,
    { now, loadReportLifetimeMs, silenceMs, missedSignsMs }: ScoreContext,
): number => {
    const computeFreshness = (time: Milliseconds): number => Math.max(0, 1 - (now - time) / loadReportLifetimeMs);
    // A frozen process keeps its connections open and sends no response. Its requests fail only at their deadlines, and
    // no failure is counted until then, so that one request after the other would hang. The missing responses or
    // request heartbeats reveal the fault much sooner.
    const isUnresponsive =
        state.inFlight > 0 && now - state.waitingSince > (state.sendsHeartbeats ? missedSignsMs : silenceMs);
    // The failure penalty decays as well. Without the decay, a target that failed once would lose every later
    // comparison and never receive the request that clears the penalty: it would stay idle among busy targets.
    const failurePenalty = FAILURE_PENALTY * state.circuit.failures * computeFreshness(state.failedAt);
    const otherNodesLoad = state.otherNodesInFlight * computeFreshness(state.loadReportedAt);
    return state.inFlight + otherNodesLoad + failurePenalty + 1 + (isUnresponsive ? UNRESPONSIVE_PENALTY : 0);
};

/** Returns the expected number of requests per slot if the target received one more request. */
export const computeRequestsPerSlot = <Target extends RoutableTarget>(
    state: TargetState<Target>,
    context: ScoreContext,
): number => countExpectedRequests(state, context) / computeCapacity(state, context.now);

/** Returns the share of the target's requests that it accepts, as far as it is known. */
const computeAcceptedShare = <Target extends RoutableTarget>(
    { refusedShare, refusedShareUpdatedAt }: TargetState<Target>,
    { now, loadReportLifetimeMs }: ScoreContext,
): number => {
    // Gates limit their queues by the objective, so all full targets report about the same load, however many requests
    // they receive. Only the refused share shows the difference. With the load as the only criterion, all local callers
    // would keep using the only target of a zone, however many requests it refuses.
    const freshness = Math.max(0, 1 - (now - refusedShareUpdatedAt) / loadReportLifetimeMs);
    return Math.max(MINIMUM_ACCEPTED_SHARE, 1 - refusedShare * freshness);
};

/** Returns the expected load per slot if the target received one more request. */
export const computeLoadPerSlot = <Target extends RoutableTarget>(
    state: TargetState<Target>,
    context: ScoreContext,
): number =>
    countExpectedRequests(state, context) * computeSlowness(state, context) / computeCapacity(state, context.now) /
        computeAcceptedShare(state, context);

/**
 * Returns the expected load per slot, or the expected completion time in milliseconds if the targets of the service
 * report their pace. Of two candidates, the one with the lower score is chosen.
 */
export const scoreTarget = <Target extends RoutableTarget>(
    state: TargetState<Target>,
    context: ScoreContext,
): number => {
    const { completion, now } = context;
    if (completion === undefined) {
        return computeLoadPerSlot(state, context);
    }
    const requests = countExpectedRequests(state, context);
    return estimateCompletion(state.pace, requests, computeCapacity(state, now), completion) *
        computeDelay(state, now) / computeAcceptedShare(state, context);
};
