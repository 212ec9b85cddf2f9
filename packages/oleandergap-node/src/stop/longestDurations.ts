/** The longest recent duration of the requests of each kind. */
import type { Clock, Milliseconds } from "oleandergap-types";

/** Number of latest requests of a kind among which the longest is determined. */
const WINDOW_SIZE = 64;
/** Minimum number of requests of a kind. The longest of fewer requests says little about the next one. */
const MINIMUM_SAMPLES = 5;
/** A long request that is rare among hundreds of short ones is remembered for one to two such periods. */
const PERIOD_MS: Milliseconds = 30_000;
/** Maximum number of kinds. The kind that was seen first is evicted. */
const MAXIMUM_KINDS = 64;

export interface LongestDurations {
    readonly record: (kind: string, duration: Milliseconds) => void;
    /** Returns the longest of the latest durations of a kind; undefined with too few samples. */
    readonly find: (kind: string) => Milliseconds | undefined;
    /** Like `find`, but also takes the durations of the last 30 to 60 s into account. */
    readonly findLongTerm: (kind: string) => Milliseconds | undefined;
}

/** The longest durations of two successive periods. */
interface Periods {
    startedAt: Milliseconds;
    current: Milliseconds;
    previous: Milliseconds;
}

interface Window {
    readonly durations: Float64Array;
    readonly periods: Periods;
    count: number;
}

const createWindow = (now: Milliseconds): Window => ({
    durations: new Float64Array(WINDOW_SIZE),
    periods: { startedAt: now, current: 0, previous: 0 },
    count: 0,
});

const startDuePeriod = (periods: Periods, now: Milliseconds): void => {
    const elapsed = now - periods.startedAt;
    if (elapsed >= PERIOD_MS) {
        periods.previous = elapsed < 2 * PERIOD_MS ? periods.current : 0;
        periods.current = 0;
        periods.startedAt = now;
    }
};

/** Creates a record without samples. */
export const createLongestDurations = (clock: Pick<Clock, "monotonic">): LongestDurations => {
    const windows = new Map<string, Window>();

    const getOrCreateWindow = (kind: string): Window => {
        const existing = windows.get(kind);
        if (existing !== undefined) {
            return existing;
        }
        const [first] = windows.keys();
        if (windows.size >= MAXIMUM_KINDS && first !== undefined) {
            windows.delete(first);
        }
        const created = createWindow(clock.monotonic());
        windows.set(kind, created);
        return created;
    };

    const find: LongestDurations["find"] = (kind) => {
        const window = windows.get(kind);
        return window === undefined || window.count < MINIMUM_SAMPLES ? undefined : Math.max(...window.durations);
    };

    return {
        record: (kind, duration) => {
            const window = getOrCreateWindow(kind);
            window.durations[window.count % WINDOW_SIZE] = duration;
            window.count += 1;
            startDuePeriod(window.periods, clock.monotonic());
            window.periods.current = Math.max(window.periods.current, duration);
        },
        find,
        findLongTerm: (kind) => {
            const latest = find(kind);
            const periods = windows.get(kind)?.periods;
            if (latest === undefined || periods === undefined) {
                return undefined;
            }
            startDuePeriod(periods, clock.monotonic());
            return Math.max(latest, periods.current, periods.previous);
        },
    };
};
