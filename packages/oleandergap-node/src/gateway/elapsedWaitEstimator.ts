/**
 * Estimates how long a caller has already waited when its request arrives.
 *
 * Callers that were refused retry with the remainder of their deadline. A latency objective counted from the retry
 * would treat them like new callers, although their response would be late in any case. Under overload, targets would
 * then be busy with responses that are late, while requests that could be in time are refused and become late in turn.
 */
import type { Milliseconds } from "oleandergap-types";

/** Maximum number of request kinds for which state is stored; the oldest one is evicted. */
const MAXIMUM_KINDS = 512;
/**
 * Deadlines of one kind that differ by less than this are treated as equal, because clients round and connections take
 * time to set up.
 */
const TOLERANCE_MS: Milliseconds = 20;
/**
 * Minimum share of the requests that must have the longest deadline for it to count as the initial deadline of callers.
 * Even when every caller is refused twice and retries, a third of the requests are first attempts. If callers use
 * different timeouts, no deadline reaches this share, and no caller is assumed to have waited.
 */
const MINIMUM_SHARE = 0.2;
/** If a smaller share of the requests has the longest deadline, callers no longer start with it. */
const OUTDATED_SHARE = 0.03;
/** Number of requests after which the weight of older requests is halved. */
const HALVING_REQUESTS = 64;
/** Minimum number of requests of a kind before any estimate is made for it. */
const MINIMUM_REQUESTS = 32;

interface KindState {
    longestMs: Milliseconds;
    /** Number of requests with about the longest deadline; `total` counts all requests. */
    longestCount: number;
    total: number;
}

/** Returns the time that the caller has already waited, given the kind of its request and its remaining timeout. */
export type EstimateElapsedWait = (kind: string, remainingMs: Milliseconds) => Milliseconds;

/** Creates an estimator. It returns 0 until it has recorded enough requests of a kind. */
export const createElapsedWaitEstimator = (): EstimateElapsedWait => {
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
        const created = { longestMs: 0, longestCount: 0, total: 0 };
        kinds.set(kind, created);
        return created;
    };

    const resetState = (state: KindState, longestMs: Milliseconds): void => {
        state.longestMs = longestMs;
        state.longestCount = 0;
        state.total = 0;
    };

    const recordRequest = (state: KindState, remainingMs: Milliseconds): void => {
        const isOutdated = state.total >= HALVING_REQUESTS && state.longestCount < OUTDATED_SHARE * state.total;
        if (isOutdated || remainingMs > state.longestMs + TOLERANCE_MS) {
            resetState(state, remainingMs);
        }
        if (state.total >= HALVING_REQUESTS) {
            state.total /= 2;
            state.longestCount /= 2;
        }
        state.longestMs = Math.max(state.longestMs, remainingMs);
        state.total += 1;
        state.longestCount += remainingMs >= state.longestMs - TOLERANCE_MS ? 1 : 0;
    };

    return (kind, remainingMs) => {
        const state = getState(kind);
        recordRequest(state, remainingMs);
        const isReliable = state.total >= MINIMUM_REQUESTS && state.longestCount >= MINIMUM_SHARE * state.total;
        const elapsedMs = state.longestMs - remainingMs;
        return isReliable && elapsedMs > TOLERANCE_MS ? elapsedMs : 0;
    };
};
