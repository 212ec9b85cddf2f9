/**
 * Number of members among which the quotas of an availability zone are divided. A node that is cut off sees fewer
 * members than there are, and so does a node that has just started. The largest number of the last minute is therefore
 * used, and numbers that other nodes state count as well.
 */
import type { Clock, Milliseconds } from "oleandergap-types";
import { LOAN_MS } from "./loanRegistry.js";
import type { QuotaNetwork } from "./quotaNetwork.js";

/** Time for which a larger number counts. In a cut that lasts longer, the part of a node grows. */
const MEMORY_MS: Milliseconds = 60_000;
/** Resolution of the memory, so that it holds few numbers. */
const STEP_MS: Milliseconds = 5000;
/** Interval at which the members are counted while the number is asked for. */
const RECOUNT_MS: Milliseconds = 100;
/** Interval at which the number is observed after the start. */
const OBSERVE_MS: Milliseconds = 250;
/** Time without a new maximum after which the number counts as known. Longer than a loan of an earlier process. */
const SETTLE_MS: Milliseconds = LOAN_MS + 200;

export interface ZoneSize {
    /** Returns the largest number of members in the last minute. */
    readonly count: () => number;
    /**
     * Returns the largest number that this node itself has counted in the last minute, which it states to others.
     * Numbers that it received are not passed on, because members that are gone would then count for ever.
     */
    readonly observed: () => number;
    /** Takes in a number that another node stated. */
    readonly learn: (members: number) => void;
    /**
     * Returns whether the number is known: it has not grown for a moment once. Loans of an earlier process on this VM
     * have ended by then.
     */
    readonly isSettled: () => boolean;
}

interface Maximum {
    readonly startedAt: Milliseconds;
    count: number;
}

/** Largest of the numbers that were recorded recently. */
interface RecentMaximum {
    readonly record: (count: number) => void;
    readonly find: () => number;
}

const createRecentMaximum = (clock: Pick<Clock, "monotonic">): RecentMaximum => {
    const maxima: Maximum[] = [];
    const forget = (now: Milliseconds): void => {
        while (maxima[0] !== undefined && now - maxima[0].startedAt > MEMORY_MS + STEP_MS) {
            maxima.shift();
        }
    };
    return {
        record: (count) => {
            const now = clock.monotonic();
            const latest = maxima.at(-1);
            if (latest !== undefined && now - latest.startedAt < STEP_MS) {
                latest.count = Math.max(latest.count, count);
            }
            else {
                maxima.push({ startedAt: now, count });
            }
        },
        find: () => {
            forget(clock.monotonic());
            return maxima.reduce((maximum, { count: other }) => Math.max(maximum, other), 1);
        },
    };
};

/** Creates the count of one node. It is observed from now on until it is settled, and when it is asked for. */
export const createZoneSize = (
    clock: Pick<Clock, "monotonic" | "after">,
    { members, isInformed }: Pick<QuotaNetwork, "members" | "isInformed">,
    signal: AbortSignal,
): ZoneSize => {
    const observed = createRecentMaximum(clock);
    const learned = createRecentMaximum(clock);
    let known = 0;
    let grewAt = clock.monotonic();
    let isSettled = false;

    const record = (maximum: RecentMaximum, count: number): void => {
        maximum.record(count);
        const largest = Math.max(observed.find(), learned.find());
        if (largest > known) {
            grewAt = clock.monotonic();
        }
        known = largest;
    };

    let countedAt = Number.NEGATIVE_INFINITY;
    const recount = (): void => {
        const now = clock.monotonic();
        if (now - countedAt >= RECOUNT_MS) {
            countedAt = now;
            record(observed, members().length);
        }
    };

    const checkSettled = (): boolean => {
        recount();
        isSettled ||= isInformed() && clock.monotonic() - grewAt >= SETTLE_MS;
        return isSettled;
    };

    const observe = (): void => {
        if (!signal.aborted && !checkSettled()) {
            clock.after(OBSERVE_MS, observe);
        }
    };
    clock.after(OBSERVE_MS, observe);

    return {
        count: () => {
            recount();
            return known;
        },
        observed: () => {
            recount();
            return observed.find();
        },
        learn: (stated) => record(learned, stated),
        isSettled: checkSettled,
    };
};
