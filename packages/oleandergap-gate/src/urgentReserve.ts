/**
 * Keeps slots back for short urgent requests that are about to arrive.
 *
 * Requests that run long and fill all slots leave a short one with an early objective no slot in time, although it is
 * first in the queue. A long request therefore starts only if enough slots are free, or expected to be released soon
 * enough, for the urgent work that usually arrives. In most cases this delays its start by a few milliseconds, so that
 * long runs end one after another instead of together.
 */
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";
import { DEFAULT_KIND, type AdmissionRequest } from "./admission.js";
import type { Forecast } from "./forecast.js";
import type { SlotRun } from "./slots.js";

/** Time constant of the arrival rates: some arrivals of a kind that matters, and soon over when it ends. */
const ARRIVAL_DECAY_MS: Milliseconds = 2000;
/** A request counts as short beside one that runs at least this many times as long. */
const MINIMUM_LENGTH_RATIO = 2;
/** Part of the slots that may be kept back at most, so that long requests always get most of them. */
const MAXIMUM_KEPT_PART = 1 / 3;
/** Expected releases that replace a free slot. With two, none happens in one of seven cases (e^-2). */
const RELEASES_PER_SLOT = 2;
/** Weight of a new request in the mean time that requests of its kind can wait. */
const SLACK_WEIGHT = 0.1;
/** Maximum number of pairs of kind and priority. The one without arrivals for longest is removed. */
const MAXIMUM_ARRIVALS = 64;
/** Time between two checks whether a kept slot may be used. */
const CHECK_INTERVAL_MS: Milliseconds = 10;

/** The properties of a request that decide whether it may start. */
export type ReservedRequest = Pick<AdmissionRequest, "kind" | "priority">;

export interface UrgentReserveDependencies {
    readonly clock: Clock;
    readonly forecast: Pick<Forecast, "serviceTime" | "serviceTimePercentile90" | "endProbability">;
    readonly capacity: () => number;
    readonly running: () => number;
    readonly listRuns: () => Iterable<SlotRun>;
}

export interface UrgentReserve {
    /** Records a request that arrives, whether or not it is admitted. */
    readonly recordArrival: (request: AdmissionRequest) => void;
    /** Returns whether a request may take one of the free slots. */
    readonly mayStart: (request: ReservedRequest) => boolean;
    /** Calls `callback` once, soon, when a request that may not start now might. */
    readonly callWhenAllowed: (callback: () => void) => void;
}

/** Arrivals of one kind and priority. */
interface Arrivals {
    readonly kind: string;
    readonly priority: number;
    /** Decaying number of arrivals. */
    count: number;
    updatedAt: Milliseconds;
    /** Mean time that the requests can wait and still meet their objective. */
    slack: Milliseconds;
}

/** What the urgent work that is about to arrive needs. */
interface UrgentNeed {
    /**
     * Slots in use by it at the same time on average, or its arrivals within the time that they can wait, up to one. A
     * rare arrival is not worth a slot that is kept free for it all the time. May be a fraction.
     */
    readonly slots: number;
    /** Time that its requests can wait. */
    readonly slack: Milliseconds;
}

/** Creates a reserve without arrivals, which keeps nothing back. */
export const createUrgentReserve = (dependencies: UrgentReserveDependencies): UrgentReserve => {
    const { clock, forecast, capacity, running, listRuns } = dependencies;
    const arrivalsByKey = new Map<string, Arrivals>();
    let cancelTimer: CancelTimer | undefined;

    const computeSlack = (kind: string, objective: Milliseconds): Milliseconds => {
        const usual = forecast.serviceTime(kind);
        const slack = objective - clock.monotonic() - usual;
        return slack - Math.min(Math.max(0, forecast.serviceTimePercentile90(kind) - usual), slack / 2);
    };

    const getDecayFactor = ({ updatedAt }: Arrivals): number =>
        Math.exp((updatedAt - clock.monotonic()) / ARRIVAL_DECAY_MS);

    const recordArrival: UrgentReserve["recordArrival"] = ({ kind = DEFAULT_KIND, priority = 0, objective }) => {
        if (objective === undefined) {
            return;
        }
        const key = `${priority} ${kind}`;
        const slack = computeSlack(kind, objective);
        const now = clock.monotonic();
        const arrivals = arrivalsByKey.get(key) ?? { kind, priority, count: 0, updatedAt: now, slack };
        arrivals.count = arrivals.count * getDecayFactor(arrivals) + 1;
        arrivals.updatedAt = now;
        arrivals.slack += SLACK_WEIGHT * (slack - arrivals.slack);
        arrivalsByKey.delete(key);
        arrivalsByKey.set(key, arrivals);
        const [oldest] = arrivalsByKey.keys();
        if (arrivalsByKey.size > MAXIMUM_ARRIVALS && oldest !== undefined) {
            arrivalsByKey.delete(oldest);
        }
    };

    /** Returns the need of short and more urgent requests during a run of this request. */
    const computeNeed = ({ kind = DEFAULT_KIND, priority = 0 }: ReservedRequest): UrgentNeed => {
        const runTime = forecast.serviceTime(kind);
        let [rate, work, slack] = [0, 0, 0];
        for (const arrivals of arrivalsByKey.values()) {
            const serviceTime = forecast.serviceTime(arrivals.kind);
            const isShort = serviceTime > 0 && MINIMUM_LENGTH_RATIO * serviceTime <= runTime;
            if (arrivals.priority < priority && isShort && arrivals.slack > 0) {
                const kindRate = arrivals.count * getDecayFactor(arrivals) / ARRIVAL_DECAY_MS;
                rate += kindRate;
                work += kindRate * serviceTime;
                slack += kindRate * arrivals.slack;
            }
        }
        if (rate === 0) {
            return { slots: 0, slack: 0 };
        }
        const meanSlack = slack / rate;
        const needed = Math.max(work, Math.min(1, rate * meanSlack));
        return { slots: Math.min(needed, Math.floor(MAXIMUM_KEPT_PART * capacity())), slack: meanSlack };
    };

    /** Returns the number of slots that are expected to be released within a period. */
    const countReleases = (period: Milliseconds): number => {
        const now = clock.monotonic();
        let expected = 0;
        for (const { kind, startedAt } of listRuns()) {
            expected += forecast.endProbability(kind, now - startedAt, period);
        }
        return expected;
    };

    const mayStart: UrgentReserve["mayStart"] = (request) => {
        const need = computeNeed(request);
        if (need.slots === 0) {
            return true;
        }
        const freeAfterStart = capacity() - running() - 1;
        return freeAfterStart + countReleases(need.slack) / RELEASES_PER_SLOT >= need.slots;
    };

    return {
        recordArrival,
        mayStart,
        callWhenAllowed: (callback) => {
            if (cancelTimer !== undefined) {
                return;
            }
            cancelTimer = clock.after(CHECK_INTERVAL_MS, () => {
                cancelTimer = undefined;
                callback();
            });
        },
    };
};
