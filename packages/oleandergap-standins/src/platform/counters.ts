/** Counts the calls to the platform stand-in. */
import type { PlatformOperation } from "oleandergap-platform";

/** Optional request header with the name under which the calls of a caller are counted. */
export const CALLER_HEADER = "oleandergap-caller";
/** Name under which calls to the main address without a caller name are counted. */
const UNNAMED_CALLER = "unnamed";

/** Counts since the start or the last reset. */
export interface CallCounts {
    readonly reads: number;
    readonly writes: number;
    /** Calls that exceeded the rate limits. They had no effect. */
    readonly overLimit: number;
    /** Calls that failed because of a simulated outage. They had no effect. */
    readonly refused: number;
    /** Calls that took effect but whose response was lost. */
    readonly answersLost: number;
    readonly bytesReceived: number;
    readonly bytesSent: number;
}

/** Totals of all callers, and counts per caller. */
export interface PlatformStandInCounters extends CallCounts {
    /** Counts by caller name, or by the name of the entrance for calls without a caller name. */
    readonly byCaller: Readonly<Record<string, CallCounts>>;
}

type MutableCounts = { -readonly [Name in keyof CallCounts]: number };

/** Counters of one platform stand-in. */
export interface CounterStore {
    readonly add: (caller: string | undefined, name: keyof CallCounts, amount?: number) => void;
    readonly read: () => PlatformStandInCounters;
    readonly reset: () => void;
}

const createCounts = (): MutableCounts => ({
    reads: 0,
    writes: 0,
    overLimit: 0,
    refused: 0,
    answersLost: 0,
    bytesReceived: 0,
    bytesSent: 0,
});

/** Returns whether an operation counts towards the write limit. */
export const isWriteOperation = (operation: PlatformOperation): boolean =>
    operation === "Transact" || operation === "Put";

/** Creates counters at zero. */
export const createCounterStore = (): CounterStore => {
    let total = createCounts();
    let byCaller = new Map<string, MutableCounts>();

    const findOrCreateCounts = (caller: string): MutableCounts => {
        const counts = byCaller.get(caller) ?? createCounts();
        byCaller.set(caller, counts);
        return counts;
    };

    return {
        add: (caller, name, amount = 1) => {
            total[name] += amount;
            findOrCreateCounts(caller ?? UNNAMED_CALLER)[name] += amount;
        },
        read: () => ({ ...total, byCaller: Object.fromEntries(byCaller) }),
        reset: () => {
            total = createCounts();
            byCaller = new Map();
        },
    };
};
