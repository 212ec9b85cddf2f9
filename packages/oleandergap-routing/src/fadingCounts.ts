/** Counts by kind that fade with time, for decisions that follow what became of requests lately. */
import type { Clock, Milliseconds } from "oleandergap-types";

/** Kinds that are remembered; the oldest gives way. */
const MAXIMUM_KINDS = 512;

/** What counts are kept with. */
export interface FadingCountsOptions<Counts> {
    readonly clock: Clock;
    /** Time in which a count falls to a third. */
    readonly memoryMs: Milliseconds;
    /** The counts of a kind that nothing is known of. */
    readonly create: () => Counts;
    /** Multiplies each count by a part of one. */
    readonly scale: (counts: Counts, factor: number) => void;
}

interface Entry<Counts> {
    readonly counts: Counts;
    countedAt: Milliseconds;
}

/** The counts of a kind as they are now; to be changed in place. */
export type FadingCounts<Counts> = (kind: string) => Counts;

/** Starts without any kind. */
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
