/** Estimate of the offered load of a gate, by priority, relative to the capacity of its target. */
import type { Milliseconds } from "oleandergap-types";

/**
 * Time constant of the exponential decay. It covers some dozens of arrivals at a target with a dozen slots, which
 * limits the influence of random variation, and is short enough to detect an overload within common objectives of a few
 * hundred milliseconds.
 */
const DECAY_TIME_MS: Milliseconds = 300;

/** Rank of a request among those that arrive. */
export interface OfferedRank {
    /** Requests with a lower number start first. */
    readonly priority: number;
    /** Whether the customer of the request is over its share; such requests start after the others of a priority. */
    readonly isOverShare: boolean;
}

/** A request that arrived at the gate, whether or not it is admitted. */
export interface OfferedRequest extends OfferedRank {
    /** Time for which the request would occupy a slot. */
    readonly serviceTime: Milliseconds;
}

/** A decaying estimate of the arriving work. */
export interface OfferedLoad {
    readonly recordArrival: (request: OfferedRequest, now: Milliseconds) => void;
    /**
     * Returns the arriving work of this and more urgent ranks as a share of the target's capacity, a number of slots
     * that may be a fraction; above 1, their queue grows without bound. Less urgent requests are excluded: they start
     * later and do not delay these requests.
     */
    readonly utilisation: (rank: OfferedRank, capacity: number, now: Milliseconds) => number;
}

interface OfferedWork {
    amountMs: Milliseconds;
    updatedAt: Milliseconds;
}

/** Work below this amount is treated as zero, and its rank is deleted. */
const NEGLIGIBLE_WORK_MS: Milliseconds = 0.01;

const RANKS_PER_PRIORITY = 2;

const toRankNumber = ({ priority, isOverShare }: OfferedRank): number =>
    RANKS_PER_PRIORITY * priority + (isOverShare ? 1 : 0);

const computeDecayedWork = ({ amountMs, updatedAt }: OfferedWork, now: Milliseconds): Milliseconds =>
    amountMs * Math.exp(-Math.max(0, now - updatedAt) / DECAY_TIME_MS);

/** Creates an estimate without arrivals. */
export const createOfferedLoad = (): OfferedLoad => {
    const workByRank = new Map<number, OfferedWork>();

    return {
        recordArrival: ({ serviceTime, ...rank }, now) => {
            const rankNumber = toRankNumber(rank);
            const work = workByRank.get(rankNumber);
            if (work === undefined) {
                workByRank.set(rankNumber, { amountMs: serviceTime, updatedAt: now });
                return;
            }
            work.amountMs = computeDecayedWork(work, now) + serviceTime;
            work.updatedAt = now;
        },
        utilisation: (rank, capacity, now) => {
            const rankNumber = toRankNumber(rank);
            let amountMs = 0;
            for (const [otherRank, work] of workByRank) {
                const remainingMs = computeDecayedWork(work, now);
                if (remainingMs < NEGLIGIBLE_WORK_MS) {
                    workByRank.delete(otherRank);
                }
                else if (otherRank <= rankNumber) {
                    amountMs += remainingMs;
                }
            }
            return amountMs / (DECAY_TIME_MS * (capacity > 0 ? capacity : 1));
        },
    };
};
