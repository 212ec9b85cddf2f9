/** How much work arrives at a gate, compared with what its target can do. */
import type { Milliseconds } from "oleandergap-types";

/**
 * Memory of the estimate: some dozens of arrivals at a target of a dozen slots, so that chance counts for little, and
 * short enough that the start of an overload shows within the usual objectives of a few hundred milliseconds.
 */
const MEMORY_MS: Milliseconds = 300;

/** A running estimate of the arrivals. */
export interface OfferedLoad {
    /** A request arrived, whatever becomes of it. */
    readonly note: (now: Milliseconds) => void;
    /**
     * Work that arrives as a part of what the target can do; above 1, a queue grows without end.
     *
     * @param interval time in which the target serves one request
     */
    readonly utilisation: (now: Milliseconds, interval: Milliseconds) => number;
}

/** Starts without arrivals. */
export const createOfferedLoad = (): OfferedLoad => {
    let weight = 0;
    let notedAt = Number.NEGATIVE_INFINITY;

    const decay = (now: Milliseconds): number =>
        weight === 0 ? 0 : weight * Math.exp(-Math.max(0, now - notedAt) / MEMORY_MS);

    return {
        note: (now) => {
            weight = decay(now) + 1;
            notedAt = now;
        },
        utilisation: (now, interval) => (decay(now) / MEMORY_MS) * interval,
    };
};
