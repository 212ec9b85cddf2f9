/** The longest recent duration of the requests of each kind. */
import type { Milliseconds } from "oleandergap-types";

/** Number of latest requests of a kind among which the longest is determined. */
const WINDOW_SIZE = 64;
/** Minimum number of requests of a kind. The longest of fewer requests says little about the next one. */
const MINIMUM_SAMPLES = 5;
/** Maximum number of kinds. The kind that was seen first is evicted. */
const MAXIMUM_KINDS = 64;

export interface LongestDurations {
    readonly record: (kind: string, duration: Milliseconds) => void;
    /** Returns the longest of the latest durations of a kind; undefined with too few samples. */
    readonly find: (kind: string) => Milliseconds | undefined;
}

interface Window {
    readonly durations: Float64Array;
    count: number;
}

const createWindow = (): Window => ({ durations: new Float64Array(WINDOW_SIZE), count: 0 });

/** Creates a record without samples. */
export const createLongestDurations = (): LongestDurations => {
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
        const created = createWindow();
        windows.set(kind, created);
        return created;
    };

    return {
        record: (kind, duration) => {
            const window = getOrCreateWindow(kind);
            window.durations[window.count % WINDOW_SIZE] = duration;
            window.count += 1;
        },
        find: (kind) => {
            const window = windows.get(kind);
            return window === undefined || window.count < MINIMUM_SAMPLES ? undefined : Math.max(...window.durations);
        },
    };
};
