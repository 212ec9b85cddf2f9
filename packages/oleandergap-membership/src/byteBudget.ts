/**
 * Limits the average number of bytes per second that one activity sends. A single datagram may overdraw the budget;
 * later ones are held back until the balance is positive again.
 */
import type { Clock } from "oleandergap-types";

const MILLISECONDS_PER_SECOND = 1000;

export interface ByteBudget {
    readonly canSpend: () => boolean;
    readonly spend: (bytes: number) => void;
}

export interface ByteBudgetOptions {
    readonly clock: Clock;
    readonly bytesPerSecond: number;
    /** Largest number of unused bytes that can accumulate for a burst. */
    readonly burstBytes: number;
}

/** Creates a budget that starts full. Refilling is based on the monotonic clock. */
export const createByteBudget = ({ clock, bytesPerSecond, burstBytes }: ByteBudgetOptions): ByteBudget => {
    let balance = burstBytes;
    let refilledAt = clock.monotonic();

    const refill = (): void => {
        const now = clock.monotonic();
        balance = Math.min(burstBytes, balance + (now - refilledAt) / MILLISECONDS_PER_SECOND * bytesPerSecond);
        refilledAt = now;
    };

    return {
        canSpend: () => {
            refill();
            return balance > 0;
        },
        spend: (bytes) => {
            balance -= bytes;
        },
    };
};
