/** Scores a target by what this node knows of it: its load, its speed and the share of requests that it refuses. */
import type { Milliseconds } from "oleandergap-types";
import { estimateCompletion, type CompletionContext } from "./expectedCompletion.js";
import type { RoutableTarget } from "./target.js";
import type { TargetState } from "./targetState.js";

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
/** Lower bound of the accepted share. However many requests a target refuses, its load is multiplied by ten at most. */
const MINIMUM_ACCEPTED_SHARE = 0.1;
/** Traffic share of a target that has just started. */
const MINIMUM_SLOW_START_SHARE = 0.1;

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
