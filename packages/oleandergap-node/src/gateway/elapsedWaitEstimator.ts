/**
 * Estimates how long a caller has already waited when its request arrives.
 *
 * Callers that were refused retry with the remainder of their deadline. A latency objective counted from the retry
 * would treat them like new callers, although their response would be late in any case. Under overload, targets would
 * then be busy with responses that are late, while requests that could be in time are refused and become late in turn.
 *
 * Callers of one kind may differ in the deadline that they begin with. A shorter deadline alone is therefore no sign of
 * a retry: the estimator learns the range of initial deadlines, and only a deadline below that range counts.
 */
import type { Milliseconds } from "oleandergap-types";

/** Maximum number of request kinds for which state is stored; the oldest one is evicted. */
const MAXIMUM_KINDS = 512;
/** Number of initial deadlines of a kind that are kept; the oldest is replaced. */
const MAXIMUM_SAMPLES = 64;
/** Minimum number of initial deadlines of a kind before any estimate is made for it. */
const MINIMUM_SAMPLES = 32;
/** Number of new initial deadlines after which their range is computed again. */
const SAMPLES_PER_UPDATE = 16;
/** The part of the samples that may be deadlines of retries after all, without an effect on the range. */
const OUTLIER_PART = 0.1;
/**
 * Maximum distance between the outliers and the median, as a part of the median. Callers that differ by more use
 * different timeouts, and none of them is assumed to have waited.
 */
const MAXIMUM_SPREAD_PART = 0.25;
/** Part of a deadline by which it may fall short of the range, because clients round and connections take time. */
const TOLERANCE_PART = 0.01;
/** Part of recent requests that may have failed while all deadlines still count as initial ones. */
const CALM_FAILED_PART = 0.05;
/** Number of requests after which the weight of older requests is halved in the recent failed part. */
const HALVING_REQUESTS = 64;

/** A request by which the wait of its caller is estimated. */
export interface ArrivedDeadline {
    /** Time that the caller still waits. */
    readonly remainingMs: Milliseconds;
    /** Whether it is the first request on its connection. Callers usually retry over a new connection. */
    readonly isFirst: boolean;
}

/** Estimates by kind of request. */
export interface ElapsedWaitEstimator {
    /** Returns the time that the caller has already waited, or 0 if it does not seem to have been refused before. */
    readonly estimate: (kind: string, deadline: ArrivedDeadline) => Milliseconds;
    /** Records that a request of a kind was refused or failed, so that its caller may retry. */
    readonly recordFailure: (kind: string) => void;
}

/** Initial deadlines of one kind. */
interface InitialRange {
    readonly lowestMs: Milliseconds;
    readonly medianMs: Milliseconds;
}

interface KindState {
    readonly samples: Milliseconds[];
    /** Number of samples since the start. */
    sampled: number;
    range: InitialRange | undefined;
    /** Recent requests, of which older ones have less weight. */
    requests: number;
    failures: number;
}

const createKindState = (): KindState => ({ samples: [], sampled: 0, range: undefined, requests: 0, failures: 0 });

/**
 * Computes the range of initial deadlines, or undefined if none stands out. Its lower end lies as far below the
 * outliers as evenly spread deadlines would reach.
 */
const computeRange = (samples: readonly Milliseconds[]): InitialRange | undefined => {
    const sorted = [...samples].sort((left, right) => left - right);
    const outlierMs = sorted[Math.floor(OUTLIER_PART * sorted.length)] ?? 0;
    const medianMs = sorted[Math.floor(sorted.length / 2)] ?? 0;
    if (medianMs - outlierMs > MAXIMUM_SPREAD_PART * medianMs) {
        return undefined;
    }
    const spreadBelow = ((medianMs - outlierMs) * OUTLIER_PART) / (0.5 - OUTLIER_PART);
    return { lowestMs: (outlierMs - spreadBelow) * (1 - TOLERANCE_PART), medianMs };
};

const addSample = (state: KindState, remainingMs: Milliseconds): void => {
    state.samples[state.sampled % MAXIMUM_SAMPLES] = remainingMs;
    state.sampled += 1;
    if (state.samples.length >= MINIMUM_SAMPLES && state.sampled % SAMPLES_PER_UPDATE === 0) {
        state.range = computeRange(state.samples);
    }
};

const countRequest = (state: KindState): void => {
    if (state.requests >= HALVING_REQUESTS) {
        state.requests /= 2;
        state.failures /= 2;
    }
    state.requests += 1;
};

/** Creates an estimator. It returns 0 until it has recorded enough requests of a kind. */
export const createElapsedWaitEstimator = (): ElapsedWaitEstimator => {
    const kinds = new Map<string, KindState>();

    const getState = (kind: string): KindState => {
        const existing = kinds.get(kind);
        if (existing !== undefined) {
            return existing;
        }
        const [oldest] = kinds.keys();
        if (kinds.size >= MAXIMUM_KINDS && oldest !== undefined) {
            kinds.delete(oldest);
        }
        const created = createKindState();
        kinds.set(kind, created);
        return created;
    };

    return {
        estimate: (kind, { remainingMs, isFirst }) => {
            const state = getState(kind);
            countRequest(state);
            if (!isFirst || state.failures <= CALM_FAILED_PART * state.requests) {
                addSample(state, remainingMs);
            }
            return state.range === undefined || remainingMs >= state.range.lowestMs ?
                0 :
                state.range.medianMs - remainingMs;
        },
        recordFailure: (kind) => {
            getState(kind).failures += 1;
        },
    };
};
