/** Records the requests that a target ran, so that an experiment can count the runs of each request. */

/** Maximum number of request ids that are stored per key. More ids would add no information. */
const MAX_REQUEST_IDS_PER_KEY = 8;

/** Runs of one key. */
export interface KeyRuns {
    readonly key: string;
    readonly runs: number;
    /** Ids of the attempts that ran and carried an id, at most eight. */
    readonly requestIds: readonly string[];
}

/** Counts runs by key. The log grows with the number of keys, so each run of an experiment uses a new target. */
export interface RunLog {
    readonly record: (key: string | undefined, requestId: string | undefined) => void;
    /** Number of all runs, with and without a key. */
    readonly total: () => number;
    readonly countRuns: (key: string) => number;
    readonly entries: () => readonly KeyRuns[];
}

interface MutableKeyRuns {
    readonly key: string;
    runs: number;
    readonly requestIds: string[];
}

/** Creates an empty log. */
export const createRunLog = (): RunLog => {
    const byKey = new Map<string, MutableKeyRuns>();
    let total = 0;

    const findOrCreateEntry = (key: string): MutableKeyRuns => {
        const existing = byKey.get(key);
        if (existing !== undefined) {
            return existing;
        }
        const created = { key, runs: 0, requestIds: [] };
        byKey.set(key, created);
        return created;
    };

    const record = (key: string | undefined, requestId: string | undefined): void => {
        total += 1;
        if (key === undefined) {
            return;
        }
        const entry = findOrCreateEntry(key);
        entry.runs += 1;
        if (requestId !== undefined && entry.requestIds.length < MAX_REQUEST_IDS_PER_KEY) {
            entry.requestIds.push(requestId);
        }
    };

    return {
        record,
        total: () => total,
        countRuns: (key) => byKey.get(key)?.runs ?? 0,
        entries: () => [...byKey.values()].map((entry) => ({ ...entry, requestIds: [...entry.requestIds] })),
    };
};

/** Merges the logs of several targets. A request that ran once at each of two targets counts as two runs. */
export const mergeRuns = (logs: readonly (readonly KeyRuns[])[]): readonly KeyRuns[] => {
    const merged = new Map<string, KeyRuns>();
    for (const entry of logs.flat()) {
        const existing = merged.get(entry.key);
        merged.set(entry.key, existing === undefined ? entry : {
            key: entry.key,
            runs: existing.runs + entry.runs,
            requestIds: [...existing.requestIds, ...entry.requestIds].slice(0, MAX_REQUEST_IDS_PER_KEY),
        });
    }
    return [...merged.values()];
};
