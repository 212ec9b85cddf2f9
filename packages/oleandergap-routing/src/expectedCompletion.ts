/** Estimates when a target would complete a request, from what its gate reports of its load, its speed and its pace. */
import type { GateLoad, Milliseconds } from "oleandergap-types";
import { predictDuration, setByKind, type ReportedPace } from "./reportedPace.js";

/** Time after which a service whose targets no longer report their pace is placed by load per slot again. */
const REPORT_LIFETIME_MS: Milliseconds = 10_000;
/** Step of the running median of usual times, as a factor. */
const MEDIAN_STEP = 1.05;
/** Weight of the newest usual time in the moving mean. */
const MEAN_WEIGHT = 0.02;
/**
 * Weight of the time that a request waits. Above 1, because a request that waits also holds up those that come after
 * it: a free slot at a slower target is better for all than a place in the queue of a faster one.
 */
const WAIT_WEIGHT = 3;
/** Spread of the true number of requests at a target around its estimate, as a share of its slots. */
const LOAD_SPREAD = 0.15;

/** Times of a service's requests at its targets together, as far as the targets report their pace. */
export interface UsualTimes {
    /** Time of the latest report of a pace; negative infinity if there was none. */
    reportedAt: Milliseconds;
    /** Running median by kind. */
    readonly byKind: Map<string, Milliseconds>;
    /** Moving mean over all requests; 0 while none is known. */
    meanMs: Milliseconds;
}

/** Creates the times of a service whose targets have reported nothing. */
export const createUsualTimes = (): UsualTimes => ({
    reportedAt: Number.NEGATIVE_INFINITY,
    byKind: new Map(),
    meanMs: 0,
});

/** Adds the load that a gate reported with the response to a request of `kind`. */
export const recordUsualTime = (
    times: UsualTimes,
    { pace, usualTimeMs }: GateLoad,
    kind: string,
    now: Milliseconds,
): void => {
    if (pace === undefined) {
        return;
    }
    times.reportedAt = now;
    if (usualTimeMs === undefined || usualTimeMs === 0) {
        return;
    }
    const median = times.byKind.get(kind) ?? usualTimeMs;
    setByKind(times.byKind, kind, median * (usualTimeMs > median ? MEDIAN_STEP : 1 / MEDIAN_STEP));
    times.meanMs += (usualTimeMs - times.meanMs) * (times.meanMs === 0 ? 1 : MEAN_WEIGHT);
};

/** Returns whether targets have reported their pace lately, so that requests are placed by expected completion. */
export const isPaceReported = ({ reportedAt }: UsualTimes, now: Milliseconds): boolean =>
    now - reportedAt <= REPORT_LIFETIME_MS;

/** The request and the service's times that an estimate depends on. */
export interface CompletionContext {
    readonly kind: string;
    readonly times: UsualTimes;
    readonly now: Milliseconds;
    /** Time left until the latency objective; undefined if there is none. */
    readonly timeLeftMs: Milliseconds | undefined;
}

/** Returns the time that requests take at a target as a multiple of the typical time; 1 if it is unknown. */
export const computeRelativeTime = (reported: ReportedPace | undefined, { byKind }: UsualTimes): number => {
    for (const [kind, usualMs] of reported?.usualTimeByKind ?? []) {
        const typicalMs = byKind.get(kind);
        if (typicalMs !== undefined && typicalMs > 0) {
            return usualMs / typicalMs;
        }
    }
    return 1;
};

/** Returns how long a run of the request's kind that starts now is expected to take at a target. */
export const estimateRun = (
    reported: ReportedPace | undefined,
    { kind, times, now }: Omit<CompletionContext, "timeLeftMs">,
): Milliseconds => {
    const usualMs = reported?.usualTimeByKind.get(kind) ??
        (times.byKind.get(kind) ?? times.meanMs) * computeRelativeTime(reported, times);
    return predictDuration(reported, usualMs, now);
};

/** Returns how many times longer than typical a run at the target is expected to take now, at least 1. */
export const computeSlowdown = (
    reported: ReportedPace | undefined,
    context: Omit<CompletionContext, "timeLeftMs">,
): number => {
    const typicalMs = context.times.byKind.get(context.kind);
    return reported === undefined || typicalMs === undefined ?
        1 :
        Math.max(1, estimateRun(reported, context) / typicalMs);
};

/**
 * Returns the expected number of requests that wait ahead, per slot. The number of requests at a target is an estimate,
 * so a target that seems to have just one free slot may have none.
 */
const estimateQueue = (requests: number, capacity: number): number => {
    const excess = (requests - capacity) / capacity;
    return (excess + Math.sqrt(excess * excess + LOAD_SPREAD * LOAD_SPREAD)) / 2;
};

/** Returns the expected time until a target completes a request that is the last of `requests` there. */
export const estimateCompletion = (
    reported: ReportedPace | undefined,
    requests: number,
    capacity: number,
    context: CompletionContext,
): Milliseconds => {
    const { times, now } = context;
    const meanMs = predictDuration(reported, times.meanMs * computeRelativeTime(reported, times), now);
    return estimateRun(reported, context) + WAIT_WEIGHT * meanMs * estimateQueue(requests, capacity);
};
