/** Counts the calls of a process to the platform, for metrics. */
import type { PlatformError } from "oleandergap-types";

/** Totals since the start of the process. */
export interface PlatformCounters {
    readonly reads: number;
    readonly writes: number;
    readonly unavailable: number;
    readonly outcomeUnknown: number;
    readonly overBudget: number;
    /** Bytes of request bodies; headers are not counted. */
    readonly bytesSent: number;
    /** Bytes of response bodies; headers are not counted. */
    readonly bytesReceived: number;
    /** Number of times that all connections were replaced because a call on one of them timed out. */
    readonly connectionsReplaced: number;
}

/** Records the counters of one process. */
export interface PlatformCounterRecorder {
    readonly add: (name: keyof PlatformCounters, amount?: number) => void;
    /** Counts `error` by its kind and returns it. */
    readonly addError: (error: PlatformError) => PlatformError;
    readonly read: () => PlatformCounters;
}

/** Name of the counter for each kind of error. */
const COUNTER_BY_ERROR_KIND = {
    Unavailable: "unavailable",
    OutcomeUnknown: "outcomeUnknown",
    OverBudget: "overBudget",
} as const;

/** Creates counters at zero. */
export const createPlatformCounters = (): PlatformCounterRecorder => {
    const counters: { -readonly [Name in keyof PlatformCounters]: number } = {
        reads: 0,
        writes: 0,
        unavailable: 0,
        outcomeUnknown: 0,
        overBudget: 0,
        bytesSent: 0,
        bytesReceived: 0,
        connectionsReplaced: 0,
    };

    const add: PlatformCounterRecorder["add"] = (name, amount = 1) => {
        counters[name] += amount;
    };

    return {
        add,
        addError: (error) => {
            add(COUNTER_BY_ERROR_KIND[error.kind]);
            return error;
        },
        read: () => ({ ...counters }),
    };
};
