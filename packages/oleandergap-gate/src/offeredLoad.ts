/** How much work arrives at a gate, compared with what its target can do, by how urgent it is. */
import type { Milliseconds } from "oleandergap-types";

/**
 * Memory of the estimate: some dozens of arrivals at a target of a dozen slots, so that chance counts for little, and
 * short enough that the start of an overload shows within the usual objectives of a few hundred milliseconds.
 */
const MEMORY_MS: Milliseconds = 300;

/** A request that arrived, whatever becomes of it. */
export interface OfferedRequest {
    /** Requests of a lower number start first. */
    readonly priority: number;
    /** Time for which it would hold a slot. */
    readonly serviceTime: Milliseconds;
}

/** A running estimate of the arrivals. */
export interface OfferedLoad {
    readonly note: (request: OfferedRequest, now: Milliseconds) => void;
    /**
     * Work of this and more urgent priorities that arrives, as a part of what the target can do; above 1, their queue
     * grows without end. What is less urgent starts after them, and takes nothing from them.
     */
    readonly utilisation: (priority: number, capacity: number, now: Milliseconds) => number;
}

interface Work {
    amountMs: Milliseconds;
    notedAt: Milliseconds;
}

/** Work that counts for nothing; its priority is forgotten. */
const NEGLIGIBLE_MS: Milliseconds = 0.01;

const decay = ({ amountMs, notedAt }: Work, now: Milliseconds): Milliseconds =>
    amountMs * Math.exp(-Math.max(0, now - notedAt) / MEMORY_MS);

/** Starts without arrivals. */
export const createOfferedLoad = (): OfferedLoad => {
    const byPriority = new Map<number, Work>();

    return {
        note: ({ priority, serviceTime }, now) => {
            const work = byPriority.get(priority);
            if (work === undefined) {
                byPriority.set(priority, { amountMs: serviceTime, notedAt: now });
                return;
            }
            work.amountMs = decay(work, now) + serviceTime;
            work.notedAt = now;
        },
        utilisation: (priority, capacity, now) => {
            let amountMs = 0;
            for (const [other, work] of byPriority) {
                const left = decay(work, now);
                if (left < NEGLIGIBLE_MS) {
                    byPriority.delete(other);
                }
                else if (other <= priority) {
                    amountMs += left;
                }
            }
            return amountMs / (MEMORY_MS * Math.max(1, capacity));
        },
    };
};
