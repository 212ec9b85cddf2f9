/**
 * Measures work at a target whose VM changes its pace. A pace of 2 means that work takes twice its usual time. The
 * meter counts usual time: the time that work takes at pace 1. Without reports, usual time is elapsed time.
 */
import { PACE_PERSISTENCE_MS, type Milliseconds } from "oleandergap-types";

/** Time without a report after which the pace counts as unknown. */
const PACE_LIFETIME_MS: Milliseconds = 2000;
/** Elapsed time over which the mean pace is averaged. */
const MEAN_WINDOW_MS: Milliseconds = 10_000;

/** The pace of one target. All points in time are on the monotonic clock. */
export interface PaceMeter {
    /** Records a reported pace. A report without a pace has no effect. */
    readonly record: (pace: number | undefined, now: Milliseconds) => void;
    /** Returns the reported pace, or undefined if the target has reported none lately. */
    readonly current: (now: Milliseconds) => number | undefined;
    /** Returns the usual time that passed until `now`. The difference of two values is the work done between them. */
    readonly usualTimeAt: (now: Milliseconds) => Milliseconds;
    /** Returns how long work of `usualMs` that starts now takes: first at the reported pace, then at the mean pace. */
    readonly predict: (usualMs: Milliseconds, now: Milliseconds) => Milliseconds;
}

/** Creates a meter without reports. */
export const createPaceMeter = (): PaceMeter => {
    let pace = 1;
    let meanPace = 1;
    let reportedAt = Number.NEGATIVE_INFINITY;
    /** Usual time up to `countedUntil`. */
    let usualTime = 0;
    let countedUntil = 0;

    /** Returns the usual time of the interval from the last report to `now`. */
    const countSince = (now: Milliseconds): Milliseconds => {
        const elapsed = now - countedUntil;
        const known = Math.min(elapsed, PACE_LIFETIME_MS);
        return known / pace + (elapsed - known) / meanPace;
    };

    const usualTimeAt = (now: Milliseconds): Milliseconds =>
        reportedAt === Number.NEGATIVE_INFINITY ? now : usualTime + countSince(now);

    const current = (now: Milliseconds): number | undefined => now - reportedAt > PACE_LIFETIME_MS ? undefined : pace;

    return {
        record: (nextPace, now) => {
            if (nextPace === undefined) {
                return;
            }
            usualTime = usualTimeAt(now);
            if (reportedAt !== Number.NEGATIVE_INFINITY) {
                const weight = Math.min(1, (now - countedUntil) / MEAN_WINDOW_MS);
                meanPace += (pace - meanPace) * weight;
            }
            countedUntil = now;
            reportedAt = now;
            pace = nextPace;
        },
        current,
        usualTimeAt,
        predict: (usualMs, now) => {
            if (reportedAt === Number.NEGATIVE_INFINITY) {
                return usualMs;
            }
            const presentPace = current(now) ?? meanPace;
            const soonDone = PACE_PERSISTENCE_MS / presentPace;
            return usualMs <= soonDone ? usualMs * presentPace : PACE_PERSISTENCE_MS + (usualMs - soonDone) * meanPace;
        },
    };
};
