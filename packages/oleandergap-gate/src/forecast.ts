/** Estimates for a target: service times, queueing times, and the retry times for refused requests. */
import type { Clock, Milliseconds } from "oleandergap-types";
import type { ReleaseOutcome } from "./admission.js";
import type { GateOptions } from "./options.js";
import type { PaceMeter } from "./paceMeter.js";
import { createRetryAfterSchedule } from "./retryAfter.js";
import { createServiceTimeEstimator, type ServiceTimeEstimator } from "./serviceTimeEstimator.js";

/** A gate with no free slot is stalled if no slot was released for this many mean service times. */
const STALL_FACTOR = 4;

/** Maximum number of request kinds with a separate estimate. The oldest kind is evicted. */
const MAXIMUM_KINDS = 64;

/** The state of a gate from which estimates are computed. */
export interface GateState {
    readonly running: number;
    readonly capacity: number;
    readonly queued: number;
    /** Mean interval between two requests that the target's request limit allows; 0 without a limit. */
    readonly startInterval: Milliseconds;
    /** Time until that limit allows the next request; 0 if it allows one now. */
    readonly startDelay: Milliseconds;
}

/** Estimates from the recent behaviour of the target. All points in time are on the monotonic clock. */
export interface Forecast {
    /** Records that a slot was acquired or released. */
    readonly recordProgress: (now: Milliseconds) => void;
    /** Records for how much usual time a request of a kind occupied its slot; see `PaceMeter`. */
    readonly recordDuration: (kind: string, outcome: ReleaseOutcome, duration: Milliseconds) => void;
    /**
     * Returns the median service time of a kind at the present pace. Returns 0 without enough samples, so that no
     * request is refused because of an unknown service time.
     */
    readonly serviceTime: (kind: string) => Milliseconds;
    /** Returns the 90th percentile of the service time of a kind, or 0 without enough samples. */
    readonly serviceTimePercentile90: (kind: string) => Milliseconds;
    /**
     * Returns the probability that a request of a kind that has been running for `elapsed` ends within `period`, or 0
     * without enough samples.
     */
    readonly endProbability: (kind: string, elapsed: Milliseconds, period: Milliseconds) => number;
    /**
     * Returns the mean time for which a request of a kind occupies a slot, or an assumed time without enough samples.
     */
    readonly holdingTime: (kind: string) => Milliseconds;
    /** Returns the mean usual time of a kind, or undefined without enough samples. */
    readonly usualTime: (kind: string) => Milliseconds | undefined;
    /** Returns the number of slots that can be in use on average, as far as a request limit allows. */
    readonly usableSlots: (state: GateState) => number;
    /** Returns the mean time between two requests that the slots complete. */
    readonly serviceInterval: (state: GateState) => Milliseconds;
    /** Returns the time in which the present queue is served. */
    readonly queueTime: (state: GateState) => Milliseconds;
    /** Returns the expected queueing time of a new request with `requestsAhead` requests before it. */
    readonly expectedWait: (state: GateState, requestsAhead: number, now: Milliseconds) => Milliseconds;
    /**
     * Returns the time after which a refused request should be retried. `minimumDelay` is the time until there may be
     * room.
     */
    readonly scheduleRetry: (state: GateState, minimumDelay: Milliseconds, now: Milliseconds) => Milliseconds;
}

/** Dependencies of a forecast. */
export interface ForecastDependencies {
    readonly clock: Pick<Clock, "monotonic">;
    readonly options: GateOptions;
    readonly paceMeter: Pick<PaceMeter, "predict">;
}

/** Creates a forecast without samples, which gives no reason to refuse a request. */
export const createForecast = ({ clock, options, paceMeter }: ForecastDependencies): Forecast => {
    /** Covers all kinds, to estimate how fast the queue moves. */
    const overallEstimator = createServiceTimeEstimator();
    const estimatorsByKind = new Map<string, ServiceTimeEstimator>();
    const retryAfterSchedule = createRetryAfterSchedule(options.maximumRetryAfterMs);
    /** Time at which a slot was last acquired or released. */
    let lastProgressAt = clock.monotonic();

    const predict = (usualMs: Milliseconds): Milliseconds => paceMeter.predict(usualMs, clock.monotonic());

    const getMeanServiceTime = (): Milliseconds => predict(overallEstimator.mean() ?? options.assumedServiceTimeMs);

    /** By Little's law, a limited rate and the mean service time determine the mean number of running requests. */
    const getUsableSlots = ({ capacity, startInterval }: GateState): number =>
        startInterval === 0 ? capacity : Math.min(capacity, getMeanServiceTime() / startInterval);

    const getServiceInterval = ({ capacity }: GateState): Milliseconds =>
        getMeanServiceTime() / Math.max(1, capacity);

    const getWaitForSlot = (
        { running, capacity }: GateState,
        requestsAhead: number,
        now: Milliseconds,
    ): Milliseconds => {
        if (running < capacity || overallEstimator.mean() === undefined) {
            return 0;
        }
        const meanServiceTime = getMeanServiceTime();
        const queueTime = ((requestsAhead + 1) * meanServiceTime) / Math.max(1, capacity);
        // A target that hangs releases no slot, and earlier service times do not predict when it will. All queued
        // requests would wait until their deadlines, so the time without progress is the better estimate.
        const stalledFor = now - lastProgressAt;
        return stalledFor > STALL_FACTOR * meanServiceTime ? Math.max(queueTime, stalledFor) : queueTime;
    };

    const getWaitForLimit = ({ startDelay, startInterval }: GateState, requestsAhead: number): Milliseconds =>
        startDelay === 0 ? 0 : startDelay + requestsAhead * startInterval;

    /**
     * Returns the estimator of a kind. With one estimate for all kinds, a target that also runs long requests would
     * refuse every short request with a short deadline, even while slots are free.
     */
    const getOrCreateEstimator = (kind: string): ServiceTimeEstimator => {
        const existing = estimatorsByKind.get(kind);
        if (existing !== undefined) {
            return existing;
        }
        const [oldest] = estimatorsByKind.keys();
        if (estimatorsByKind.size >= MAXIMUM_KINDS && oldest !== undefined) {
            estimatorsByKind.delete(oldest);
        }
        const created = createServiceTimeEstimator();
        estimatorsByKind.set(kind, created);
        return created;
    };

    const addDuration = (estimator: ServiceTimeEstimator, outcome: ReleaseOutcome, duration: Milliseconds): void => {
        if (outcome === "Answered") {
            estimator.addAnswered(duration);
        }
        else if (outcome !== "NotStarted") {
            estimator.addUnanswered(duration);
        }
    };

    return {
        recordProgress: (now) => {
            lastProgressAt = now;
        },
        recordDuration: (kind, outcome, duration) => {
            addDuration(overallEstimator, outcome, duration);
            addDuration(getOrCreateEstimator(kind), outcome, duration);
        },
        serviceTime: (kind) => predict(estimatorsByKind.get(kind)?.median() ?? 0),
        serviceTimePercentile90: (kind) => predict(estimatorsByKind.get(kind)?.percentile90() ?? 0),
        endProbability: (kind, elapsed, period) => {
            const presentPace = predict(1);
            return estimatorsByKind.get(kind)?.endProbability(elapsed / presentPace, period / presentPace) ?? 0;
        },
        holdingTime: (kind) =>
            predict(estimatorsByKind.get(kind)?.mean() ?? overallEstimator.mean() ?? options.assumedServiceTimeMs),
        usualTime: (kind) => estimatorsByKind.get(kind)?.mean(),
        usableSlots: getUsableSlots,
        serviceInterval: getServiceInterval,
        queueTime: (state) =>
            Math.max(state.queued * getServiceInterval(state), getWaitForLimit(state, state.queued)),
        expectedWait: (state, requestsAhead, now) =>
            Math.max(getWaitForSlot(state, requestsAhead, now), getWaitForLimit(state, requestsAhead)),
        scheduleRetry: (state, minimumDelay, now) =>
            retryAfterSchedule.schedule(now, minimumDelay, getServiceInterval(state)),
    };
};
