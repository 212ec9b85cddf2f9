/** Bounds the bytes that one activity sends per second on average; a datagram may overdraw it, the next ones wait. */
import type { Clock } from "oleandergap-types";

const MILLISECONDS_PER_SECOND = 1000;

export interface ByteBudget {
    readonly canSpend: () => boolean;
    readonly spend: (bytes: number) => void;
}

export interface ByteBudgetOptions {
    readonly clock: Clock;
    readonly bytesPerSecond: number;
    /** Bytes that can be spent at once after a quiet time. */
    readonly burstBytes: number;
}

/** The budget starts full. Time is the clock's monotonic one. */
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
