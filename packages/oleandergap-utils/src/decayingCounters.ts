/** Counters by kind that decay exponentially over time, for decisions based on recent requests. */
import type { Clock, Milliseconds } from "oleandergap-types";

/** Maximum number of kinds with counters. The oldest kind is evicted. */
const MAXIMUM_KINDS = 512;

/** Settings of the counters. */
export interface DecayingCountersOptions<Counts> {
    readonly clock: Clock;
    /** Time constant of the decay, in milliseconds: a count falls to about a third (1/e) in this time. */
    readonly timeConstantMs: Milliseconds;
    /** Returns the initial counters of a kind. */
    readonly create: () => Counts;
    /** Multiplies each counter by a factor between 0 and 1. */
    readonly scale: (counts: Counts, factor: number) => void;
}

interface Entry<Counts> {
    readonly counts: Counts;
    updatedAt: Milliseconds;
}

/** Returns the counters of a kind, decayed to the current time. Callers modify them in place. */
export type DecayingCounters<Counts> = (kind: string) => Counts;

/** Creates counters without any kinds. */
export const createDecayingCounters = <Counts>(
    { clock, timeConstantMs, create, scale }: DecayingCountersOptions<Counts>,
): DecayingCounters<Counts> => {
    const entries = new Map<string, Entry<Counts>>();

    const createEntry = (kind: string, now: Milliseconds): Entry<Counts> => {
        const [oldest] = entries.keys();
        if (entries.size >= MAXIMUM_KINDS && oldest !== undefined) {
            entries.delete(oldest);
        }
        const entry = { counts: create(), updatedAt: now };
        entries.set(kind, entry);
        return entry;
    };

    return (kind) => {
        const now = clock.monotonic();
        const entry = entries.get(kind) ?? createEntry(kind, now);
        scale(entry.counts, Math.exp((entry.updatedAt - now) / timeConstantMs));
        entry.updatedAt = now;
        return entry.counts;
    };
};
