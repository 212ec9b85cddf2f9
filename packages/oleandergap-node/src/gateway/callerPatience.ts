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
const FORGOTTEN_SHARE = 0.03;
/** Number of requests after which the weight of older requests is halved. */
const MEMORY_REQUESTS = 64;
/** Minimum number of requests of a kind before any estimate is made for it. */
const MINIMUM_REQUESTS = 32;

interface KindState {
    longestMs: Milliseconds;
    /** Number of requests with about the longest deadline, and of all requests. */
    withLongest: number;
    total: number;
}

/** Returns the time that the caller has already waited, given the kind of its request and its remaining timeout. */
export type EstimateWaited = (kind: string, remainingMs: Milliseconds) => Milliseconds;

/** Creates an estimator. It returns 0 until it has seen enough requests of a kind. */
export const createCallerPatience = (): EstimateWaited => {
    const kinds = new Map<string, KindState>();

    const stateOf = (kind: string): KindState => {
        const known = kinds.get(kind);
        if (known !== undefined) {
            return known;
        }
        const [oldest] = kinds.keys();
        if (kinds.size >= MAXIMUM_KINDS && oldest !== undefined) {
            kinds.delete(oldest);
        }
        const created = { longestMs: 0, withLongest: 0, total: 0 };
        kinds.set(kind, created);
        return created;
    };

    const startAnew = (state: KindState, longestMs: Milliseconds): void => {
        state.longestMs = longestMs;
        state.withLongest = 0;
        state.total = 0;
    };

    const note = (state: KindState, remainingMs: Milliseconds): void => {
        const isForgotten = state.total >= MEMORY_REQUESTS && state.withLongest < FORGOTTEN_SHARE * state.total;
        if (isForgotten || remainingMs > state.longestMs + TOLERANCE_MS) {
            startAnew(state, remainingMs);
        }
        if (state.total >= MEMORY_REQUESTS) {
            state.total /= 2;
            state.withLongest /= 2;
        }
        state.longestMs = Math.max(state.longestMs, remainingMs);
        state.total += 1;
        state.withLongest += remainingMs >= state.longestMs - TOLERANCE_MS ? 1 : 0;
    };

    return (kind, remainingMs) => {
        const state = stateOf(kind);
        note(state, remainingMs);
        const isKnown = state.total >= MINIMUM_REQUESTS && state.withLongest >= MINIMUM_SHARE * state.total;
        const waitedMs = state.longestMs - remainingMs;
        return isKnown && waitedMs > TOLERANCE_MS ? waitedMs : 0;
    };
};
