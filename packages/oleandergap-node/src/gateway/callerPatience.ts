/**
 * Estimates how long a caller has waited already when its request arrives.
 *
 * Callers that were refused come back with what is left of their deadline. An objective counted from their return would
 * put them level with callers who have just come, although their answer would be late in any case; under overload, one
 * would see targets busy with answers that come too late, while those who could be in time are refused and come back
 * late in their turn.
 */
import type { Milliseconds } from "oleandergap-types";

/** Kinds of requests that are remembered; the oldest gives way. */
const MAXIMUM_KINDS = 512;
/** Deadlines of one kind that differ by less are taken for the same: clients round, and connections take time. */
const TOLERANCE_MS: Milliseconds = 20;
/**
 * The longest deadline counts as what callers start with if at least this part of the requests carries it: even when
 * every caller is refused twice and returns, a third of the requests are first ones. Where callers differ in patience,
 * no deadline stands out so, and nobody is taken to have waited.
 */
const MINIMUM_SHARE = 0.2;
/** With a smaller part, callers do not start with that deadline any more. */
const FORGOTTEN_SHARE = 0.03;
/** Requests after which older ones count half. */
const MEMORY_REQUESTS = 64;
/** Requests of a kind before anything is said of it. */
const MINIMUM_REQUESTS = 32;

interface KindState {
    longestMs: Milliseconds;
    /** Requests with about that deadline, and all of them. */
    withLongest: number;
    total: number;
}

/** Time that the caller has waited, from the kind of its request and the time that it will still wait. */
export type EstimateWaited = (kind: string, remainingMs: Milliseconds) => Milliseconds;

/** Knows nothing at first, and then takes nobody to have waited. */
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
