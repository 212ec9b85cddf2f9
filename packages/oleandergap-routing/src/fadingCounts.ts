/** Counters by kind that decay exponentially over time, for decisions based on recent requests. */
import type { Clock, Milliseconds } from "oleandergap-types";

/** Maximum number of kinds with counters. The oldest kind is evicted. */
const MAXIMUM_KINDS = 512;

/** Settings of the counters. */
export interface FadingCountsOptions<Counts> {
    readonly clock: Clock;
    /** Time constant of the decay, in milliseconds: a count falls to about a third (1/e) in this time. */
    readonly memoryMs: Milliseconds;
    /** Returns the initial counters of a kind. */
    readonly create: () => Counts;
    /** Multiplies each counter by a factor between 0 and 1. */
    readonly scale: (counts: Counts, factor: number) => void;
}

interface Entry<Counts> {
    readonly counts: Counts;
    countedAt: Milliseconds;
}

/** Returns the counters of a kind, decayed to the current time. Callers modify them in place. */
export type FadingCounts<Counts> = (kind: string) => Counts;

/** Creates counters without any kinds. */
export const createFadingCounts = <Counts>(
    { clock, memoryMs, create, scale }: FadingCountsOptions<Counts>,
): FadingCounts<Counts> => {
    const entries = new Map<string, Entry<Counts>>();

    const start = (kind: string, now: Milliseconds): Entry<Counts> => {
        const [oldest] = entries.keys();
        if (entries.size >= MAXIMUM_KINDS && oldest !== undefined) {
            entries.delete(oldest);
        }
        const entry = { counts: create(), countedAt: now };
        entries.set(kind, entry);
        return entry;
    };

    return (kind) => {
        const now = clock.monotonic();
        const entry = entries.get(kind) ?? start(kind, now);
        scale(entry.counts, Math.exp((entry.countedAt - now) / memoryMs));
        entry.countedAt = now;
        return entry.counts;
    };
};
