/**
 * Bounds an answer by its silence. A long answer over a narrow link takes its time, the more so when the link carries
 * much besides. Given up after a fixed time in all it would be asked for anew, from its first byte, and the link would
 * be filled by answers that nobody reads; one would see nodes with narrow links stay behind. So only a silence ends it,
 * and a total far beyond the usual, for an answer that comes without an end.
 */
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";
import { afterReading } from "./lateTimer.js";

/** Bounds on one answer. */
export interface SilenceLimits {
    readonly clock: Clock;
    /** Longest silence: until the answer begins, and between two parts of it. */
    readonly timeoutMs: Milliseconds;
    /** Longest time in all. */
    readonly longestMs: Milliseconds;
}

/** Which bound was passed. */
export type PassedLimit = "silence" | "total";

/** A running watch. */
export interface SilenceWatch {
    /** Notes that a part of the answer has come. */
    readonly noteProgress: () => void;
    /** To be called when the answer has ended. */
    readonly cancel: () => void;
}

/** Calls `onPassed` once, unless the watch is cancelled before. */
export const watchSilence = (
    { clock, timeoutMs, longestMs }: SilenceLimits,
    onPassed: (limit: PassedLimit) => void,
): SilenceWatch => {
    let isOver = false;
    const end = (): void => {
        isOver = true;
        cancelSilence();
        cancelTotal();
    };
    const pass = (limit: PassedLimit): void => {
        end();
        onPassed(limit);
    };
    const startSilence = (): CancelTimer => afterReading(clock, timeoutMs, () => pass("silence"));
    let cancelSilence = startSilence();
    const cancelTotal = afterReading(clock, longestMs, () => pass("total"));
    return {
        noteProgress: () => {
            if (!isOver) {
                cancelSilence();
                cancelSilence = startSilence();
            }
        },
        cancel: end,
    };
};
