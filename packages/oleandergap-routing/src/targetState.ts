/** What one node knows of one target: load, latency, failures, age. */
import type { Clock, GateLoad, Milliseconds } from "oleandergap-types";
import { createCircuit, type Circuit } from "./circuit.js";
import type { RoutableTarget } from "./target.js";

/** Weight of the newest latency in the running average. */
const LATENCY_WEIGHT = 0.2;
/** A fresh failure since the last success counts as this many requests in flight. */
const FAILURE_PENALTY = 2;
/** A silent target counts as this many requests more, which leaves it to be chosen only among its like. */
const SILENCE_PENALTY = 1_000_000;
/** Latencies up to this multiple of the zone's usual one are taken for chance. */
const USUAL_VARIATION = 2;
/** A single long request, such as an upload, must not keep a target idle while the others are full. */
const MAXIMUM_SLOWNESS = 8;
/** A latency that was seen so long ago says nothing of the target any more. */
const LATENCY_LIFETIME_MS = 10_000;
/** Weight of the newest request in the part that is refused: about the last twenty count. */
const REFUSED_PART_WEIGHT = 0.05;
/** However much a target refuses, its load counts for at most ten times as much. */
const MINIMUM_ACCEPTED_PART = 0.1;
/** Share of a target that has just started. */
const MINIMUM_SLOW_START_SHARE = 0.1;

/** Changes with every request; times are on the monotonic clock. */
export interface TargetState<Target extends RoutableTarget> {
    target: Target;
    readonly circuit: Circuit;
    /** Place among its zone's candidates; -1 while it is ejected. */
    index: number;
    /** Requests of this node that are out at the target. */
    inFlight: number;
    /** Sum of the times at which these were sent, for their mean age. */
    sentAtSum: Milliseconds;
    /** Sum of the times that these usually take. */
    usualSum: Milliseconds;
    /** Whether its gate gives signs of life while it works on a request. */
    givesSigns: boolean;
    /** Ejected because its gate gave no sign within the limit; the next sign or answer ends it. */
    isSilent: boolean;
    /** Requests of others at the target when its gate last reported. */
    othersInFlight: number;
    reportedAt: Milliseconds;
    /** Requests that the target runs at once, as announced or last reported. */
    capacity: number;
    /** Running average; 0 while nothing is known. */
    latencyMs: Milliseconds;
    answers: number;
    answeredAt: Milliseconds;
    /** Answers in a row that were far slower than usual in the zone. */
    slowInARow: number;
    /** Answers in a row that broke off after their heads. */
    cutsInARow: number;
    failedAt: Milliseconds;
    /** Part of this node's requests that the gate lately refused for want of capacity. */
    refusedPart: number;
    refusedPartAt: Milliseconds;
    /** Since when the target owes answers and has given none. */
    waitingSince: Milliseconds;
    /** Start of its slow start, on the monotonic clock. */
    startedAt: Milliseconds;
}

/**
 * The announced start is another VM's wall clock. A clock that runs ahead would keep a target young for ever, so the
 * start is never taken to lie after the moment at which this node first saw the target.
 */
const estimateStart = (since: Milliseconds, clock: Clock): Milliseconds =>
    clock.monotonic() - Math.max(0, clock.now() - since);

/** A target that nothing is known of yet. */
export const createTargetState = <Target extends RoutableTarget>(
    target: Target,
    clock: Clock,
): TargetState<Target> => ({
    target,
    circuit: createCircuit(),
    index: -1,
    inFlight: 0,
    sentAtSum: 0,
    usualSum: 0,
    givesSigns: false,
    isSilent: false,
    othersInFlight: 0,
    reportedAt: Number.NEGATIVE_INFINITY,
    capacity: target.slots,
    latencyMs: 0,
    answers: 0,
    answeredAt: Number.NEGATIVE_INFINITY,
    slowInARow: 0,
    cutsInARow: 0,
    failedAt: Number.NEGATIVE_INFINITY,
    refusedPart: 0,
    refusedPartAt: Number.NEGATIVE_INFINITY,
    waitingSince: clock.monotonic(),
    startedAt: estimateStart(target.since, clock),
});

/** Takes in a new record of the same node's target; another start time means another target. */
export const updateTarget = <Target extends RoutableTarget>(
    state: TargetState<Target>,
    target: Target,
    clock: Clock,
): void => {
    if (target.since !== state.target.since) {
        state.startedAt = estimateStart(target.since, clock);
        state.latencyMs = 0;
        state.answers = 0;
    }
    if (target.slots !== state.target.slots) {
        state.capacity = target.slots;
    }
    state.target = target;
};

/** A request goes out to the target. */
export const markSent = <Target extends RoutableTarget>(
    state: TargetState<Target>,
    now: Milliseconds,
    usualMs: Milliseconds,
): void => {
    if (state.inFlight === 0) {
        state.waitingSince = now;
    }
    state.inFlight += 1;
    state.sentAtSum += now;
    state.usualSum += usualMs;
};

/** A request that is out at a target. */
export interface SentRequest {
    readonly sentAt: Milliseconds;
    /** What its kind usually took when it was sent. */
    readonly usualMs: Milliseconds;
}

/** A request has ended, with the load if the gate told it. */
export const markBack = <Target extends RoutableTarget>(
    state: TargetState<Target>,
    load: GateLoad | undefined,
    { sentAt, usualMs }: SentRequest,
    now: Milliseconds,
): void => {
    state.inFlight = Math.max(0, state.inFlight - 1);
    state.sentAtSum -= sentAt;
    state.usualSum = Math.max(0, state.usualSum - usualMs);
    if (load !== undefined) {
        state.waitingSince = now;
        state.othersInFlight = Math.max(0, load.inFlight + load.queued - state.inFlight);
        state.reportedAt = now;
        state.capacity = load.capacity > 0 ? load.capacity : state.capacity;
    }
};

/** Takes in the latency of an answer. */
export const addLatency = <Target extends RoutableTarget>(
    state: TargetState<Target>,
    latencyMs: Milliseconds,
    now: Milliseconds,
): void => {
    state.answeredAt = now;
    state.answers += 1;
    state.latencyMs += (latencyMs - state.latencyMs) * (state.answers === 1 ? 1 : LATENCY_WEIGHT);
};

/** Takes in whether the gate had capacity for a request. */
export const noteCapacity = <Target extends RoutableTarget>(
    state: TargetState<Target>,
    isRefused: boolean,
    now: Milliseconds,
): void => {
    state.refusedPart += REFUSED_PART_WEIGHT * ((isRefused ? 1 : 0) - state.refusedPart);
    state.refusedPartAt = now;
};

/** Takes in a failure to connect or a lost answer. */
export const markFailed = <Target extends RoutableTarget>(state: TargetState<Target>, now: Milliseconds): void => {
    state.circuit.failures += 1;
    state.failedAt = now;
};

/** Share of its full load that the target gets by its age, from 0.1 to 1. */
export const slowStartShare = (startedAt: Milliseconds, now: Milliseconds, slowStartMs: Milliseconds): number =>
    slowStartMs === 0 ? 1 : Math.min(1, Math.max(MINIMUM_SLOW_START_SHARE, (now - startedAt) / slowStartMs));

/** What a score depends on besides the target. */
export interface ScoreContext {
    readonly now: Milliseconds;
    readonly loadReportLifetimeMs: Milliseconds;
    /** Time without any answer from which on a target that owes some is avoided. */
    readonly silenceMs: Milliseconds;
    /** The same for a target that gives signs of life. */
    readonly missedSignsMs: Milliseconds;
    /** Usual latency in the zone; 0 while nothing is known. */
    readonly typicalLatencyMs: Milliseconds;
}

/**
 * How many times slower than usual the target is, from 1: by its last answers, and by the age of the requests that it
 * has not answered yet. Without the age a target that turns slow would draw its full share until its first slow
 * answers arrive; one would see requests pile up there for several times the usual latency.
 */
const slownessOf = <Target extends RoutableTarget>(
    state: TargetState<Target>,
    { now, typicalLatencyMs }: ScoreContext,
): number => {
    if (typicalLatencyMs === 0) {
        return 1;
    }
    // Measured by what the requests usually take: a target that runs long ones is not slow for that.
    const ageSum = now * state.inFlight - state.sentAtSum;
    const relativeAge = state.usualSum > 0 ? ageSum / state.usualSum : 0;
    // What was seen long ago must not keep a target from the requests that would show it to be well again.
    const freshness = Math.max(0, 1 - (now - state.answeredAt) / LATENCY_LIFETIME_MS);
    const relativeLatency = (state.latencyMs * freshness) / typicalLatencyMs;
    const expected = Math.max(relativeAge, relativeLatency);
    return Math.min(MAXIMUM_SLOWNESS, Math.max(1, expected / USUAL_VARIATION));
};

/**
 * Expected load per slot if the target got one request more; the lower one of two is chosen. What the gate reported of
 * others' requests fades with age, because a report says nothing of now once it is older than a few requests; the own
 * requests in flight are exact.
 */
export const scoreTarget = <Target extends RoutableTarget>(
    state: TargetState<Target>,
    context: ScoreContext,
): number => {
    const { now, loadReportLifetimeMs, silenceMs, missedSignsMs } = context;
    const freshnessOf = (time: Milliseconds): number => Math.max(0, 1 - (now - time) / loadReportLifetimeMs);
    // A frozen process keeps its connections open and answers nothing. Its requests fail only at their deadlines, and
    // until then no failure is counted; one would see calls hang one after the other. Silence shows it much sooner.
    const isSilent = state.inFlight > 0 && now - state.waitingSince > (state.givesSigns ? missedSignsMs : silenceMs);
    // The penalty fades as well. If it did not, a target that failed once would lose every comparison from then on, and
    // never get the request that clears it: one would see an idle target among busy ones.
    const failures = FAILURE_PENALTY * state.circuit.failures * freshnessOf(state.failedAt);
    const others = state.othersInFlight * freshnessOf(state.reportedAt);
    const load = state.inFlight + others + failures + 1 + (isSilent ? SILENCE_PENALTY : 0);
    // Gates bound their queues by the objective, so that all full targets report about the same load, whatever is asked
    // of them. Only what they refuse tells how much that is; by load alone, a zone with one target would be left to it.
    const acceptedPart = Math.max(MINIMUM_ACCEPTED_PART, 1 - state.refusedPart * freshnessOf(state.refusedPartAt));
    return load * slownessOf(state, context) / Math.max(1, state.capacity) / acceptedPart;
};
