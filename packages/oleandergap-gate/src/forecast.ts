/** What a gate expects of its target: service time, waits, and when refused callers had better come back. */
import type { Milliseconds } from "oleandergap-types";
import type { ReleaseOutcome } from "./admission.js";
import type { GateOptions } from "./options.js";
import { createRetryAfterSchedule } from "./retryAfter.js";
import { createServiceTimeEstimator, type ServiceTimeEstimator } from "./serviceTimeEstimator.js";

/** A gate whose slots are all taken counts as stalled when none was freed for this many average service times. */
const STALL_FACTOR = 4;

/** Kinds of requests with an estimate of their own; the oldest gives way. */
const MAXIMUM_KINDS = 64;

/** The state of a gate that a forecast is made from. */
export interface GateState {
    readonly running: number;
    readonly capacity: number;
    readonly queued: number;
}

/** Estimates from what the target did lately; times are on the monotonic clock. */
export interface Forecast {
    /** Notes that a slot was taken or freed. */
    readonly markProgress: (now: Milliseconds) => void;
    /** Takes in how long a request of a kind held its slot. */
    readonly observe: (kind: string, outcome: ReleaseOutcome, duration: Milliseconds) => void;
    /** Typical service time of a kind; 0 while nothing is known, so that nobody is refused for it. */
    readonly serviceTime: (kind: string) => Milliseconds;
    /** Service time that nine in ten requests of a kind keep to; 0 while nothing is known. */
    readonly likelyServiceTime: (kind: string) => Milliseconds;
    /** Time for which a request of a kind holds a slot; an assumed one while nothing is known. */
    readonly holdingTime: (kind: string) => Milliseconds;
    /** Time in which the gate serves one request. */
    readonly interval: (state: GateState) => Milliseconds;
    /** Wait of a new request that has `ahead` others before it. */
    readonly wait: (state: GateState, ahead: number, now: Milliseconds) => Milliseconds;
    /** When a refused request had better come back: `earliest` is the time until there may be room. */
    readonly bookReturn: (state: GateState, earliest: Milliseconds, now: Milliseconds) => Milliseconds;
}

/** Knows nothing of the target at first, and then gives no reason to refuse anybody. */
export const createForecast = (options: GateOptions, startedAt: Milliseconds): Forecast => {
    /** Over all kinds, for the speed at which the queue moves. */
    const estimator = createServiceTimeEstimator();
    const estimators = new Map<string, ServiceTimeEstimator>();
    const retryAfter = createRetryAfterSchedule(options.maximumRetryAfterMs);
    /** When a slot was last taken or freed. */
    let progressAt = startedAt;

    const interval = ({ capacity }: GateState): Milliseconds =>
        (estimator.average() ?? options.assumedServiceTimeMs) / Math.max(1, capacity);

    const wait = ({ running, capacity }: GateState, ahead: number, now: Milliseconds): Milliseconds => {
        const average = estimator.average();
        if (running < capacity || average === undefined) {
            return 0;
        }
        const queueTime = ((ahead + 1) * average) / Math.max(1, capacity);
        // A target that hangs frees no slot, and the service times of the past say nothing about it. Queued requests
        // would all wait for their deadlines; the time without progress is then the better forecast.
        const stalledFor = now - progressAt;
        return stalledFor > STALL_FACTOR * average ? Math.max(queueTime, stalledFor) : queueTime;
    };

    /**
     * One estimate for all would refuse every short request with a short deadline at a target that also runs long ones;
     * one would see calls refused while slots are free.
     */
    const estimatorOf = (kind: string): ServiceTimeEstimator => {
        const known = estimators.get(kind);
        if (known !== undefined) {
            return known;
        }
        const [oldest] = estimators.keys();
        if (estimators.size >= MAXIMUM_KINDS && oldest !== undefined) {
            estimators.delete(oldest);
        }
        const created = createServiceTimeEstimator();
        estimators.set(kind, created);
        return created;
    };

    const add = (to: ServiceTimeEstimator, outcome: ReleaseOutcome, duration: Milliseconds): void => {
        if (outcome === "Answered") {
            to.addAnswered(duration);
        }
        else if (outcome !== "NotStarted") {
            to.addUnanswered(duration);
        }
    };

    return {
        markProgress: (now) => {
            progressAt = now;
        },
        observe: (kind, outcome, duration) => {
            add(estimator, outcome, duration);
            add(estimatorOf(kind), outcome, duration);
        },
        serviceTime: (kind) => estimators.get(kind)?.typical() ?? 0,
        likelyServiceTime: (kind) => estimators.get(kind)?.likely() ?? 0,
        holdingTime: (kind) =>
            estimators.get(kind)?.average() ?? estimator.average() ?? options.assumedServiceTimeMs,
        interval,
        wait,
        bookReturn: (state, earliest, now) => retryAfter.book(now, earliest, interval(state)),
    };
};
