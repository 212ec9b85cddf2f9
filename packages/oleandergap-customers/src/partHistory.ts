/**
 * History of the fraction of all quotas that was lent to a pool owner. The token bucket of a customer is computed from
 * it when the customer is asked for, so that nothing has to be kept for other customers.
 */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from "oleandergap-types";

/** Maximum number of changes that are kept. A bucket that was last used before the oldest one counts as empty then. */
const MAX_CHANGES = 256;

/** Rate and capacity of the bucket of a customer for the fraction 1. */
export interface BucketSize {
    readonly ratePerSecond: number;
    readonly capacity: number;
}

/** Level of a bucket at a time. */
export interface BucketLevel {
    readonly tokens: number;
    readonly at: Milliseconds;
    /** Number of changes of the fraction that are part of the level. */
    readonly changes: number;
}

/** A part that was used by nobody before it was lent. Tokens have accrued in the meantime. */
export interface IdlePart {
    readonly fraction: number;
    readonly idleMs: Milliseconds;
}

export interface PartHistory {
    readonly current: () => number;
    /** Sets the fraction from `at` on, which includes the newly lent parts `idle`. Times must not decrease. */
    readonly set: (at: Milliseconds, fraction: number, idle?: readonly IdlePart[]) => void;
    /** Returns the level at `now`. A bucket that was never used was empty at the beginning of the history. */
    readonly fill: (
        last: BucketLevel | undefined,
        size: BucketSize,
        now: Milliseconds,
        /** Added to the fraction since `last`; may be negative. */
        additional?: number,
    ) => BucketLevel;
}

interface Change {
    readonly at: Milliseconds;
    readonly fraction: number;
    readonly idle: readonly IdlePart[];
}

const computeAccrued = (idle: readonly IdlePart[], { ratePerSecond, capacity }: BucketSize): number =>
    idle.reduce((sum, { fraction, idleMs }) =>
        sum + fraction * Math.min(capacity, ratePerSecond * idleMs / MILLISECONDS_PER_SECOND), 0);

const NO_CHANGE: Change = { at: 0, fraction: 0, idle: [] };

export const createPartHistory = (): PartHistory => {
    const changes: Change[] = [];
    /** Number of changes that were forgotten. */
    let firstChange = 0;

    const fill: PartHistory["fill"] = (last, size, now, additional = 0) => {
        const { ratePerSecond, capacity } = size;
        const isRemembered = last !== undefined && last.changes > firstChange;
        let tokens = isRemembered ? last.tokens : 0;
        let from = isRemembered ? last.at : changes[0]?.at ?? now;
        const start = isRemembered ? last.changes - firstChange - 1 : 0;
        for (let index = start; index < changes.length; index++) {
            const { fraction: lent, idle } = changes[index] ?? NO_CHANGE;
            const fraction = Math.max(0, lent + additional);
            const accrued = isRemembered && index === start ? 0 : computeAccrued(idle, size);
            const until = changes[index + 1]?.at ?? now;
            const gained = fraction * ratePerSecond * Math.max(0, until - from) / MILLISECONDS_PER_SECOND;
            tokens = Math.min(fraction * capacity, Math.min(fraction * capacity, tokens + accrued) + gained);
            from = until;
        }
        return { tokens, at: now, changes: firstChange + changes.length };
    };

    return {
        current: () => changes.at(-1)?.fraction ?? 0,
        set: (at, fraction, idle = []) => {
            if (idle.length === 0 && fraction === (changes.at(-1)?.fraction ?? 0)) {
                return;
            }
            changes.push({ at, fraction, idle });
            if (changes.length > MAX_CHANGES) {
                changes.shift();
                firstChange += 1;
            }
        },
        fill,
    };
};
