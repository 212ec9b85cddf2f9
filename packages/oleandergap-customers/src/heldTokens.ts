/** Tokens of one customer at one node: some that it keeps, and some that are lost if they are not used soon. */
import type { Milliseconds } from "oleandergap-types";

/** Tokens that are lost at the same time. */
interface Lot {
    readonly endsAt: Milliseconds;
    count: number;
}

export interface HeldTokens {
    /** Adds tokens that are lost at `endsAt`. */
    readonly add: (count: number, endsAt: Milliseconds) => void;
    /** Takes the token that is lost first, and returns its end; undefined if there is none. */
    readonly take: (now: Milliseconds) => Milliseconds | undefined;
    /** Returns a token that was taken and not used. */
    readonly putBack: (endsAt: Milliseconds) => void;
    /** Sets the number of tokens that may be kept without an end. */
    readonly keep: (limit: number) => void;
    readonly count: (now: Milliseconds) => number;
    readonly clear: () => void;
}

export const createHeldTokens = (): HeldTokens => {
    let lots: Lot[] = [];
    let kept = 0;
    let keptLimit = 0;

    const removeEnded = (now: Milliseconds): void => {
        if (lots.some(({ endsAt, count }) => endsAt <= now || count <= 0)) {
            lots = lots.filter(({ endsAt, count }) => endsAt > now && count > 0);
        }
    };

    const addKept = (count: number): number => {
        const added = Math.min(count, Math.max(0, keptLimit - kept));
        kept += added;
        return added;
    };

    const add = (count: number, endsAt: Milliseconds): void => {
        const added = addKept(count);
        if (count > added) {
            lots.push({ endsAt, count: count - added });
            lots.sort((left, right) => left.endsAt - right.endsAt);
        }
    };

    return {
        add,
        putBack: (endsAt) => {
            if (Number.isFinite(endsAt)) {
                add(1, endsAt);
            }
            else {
                addKept(1);
            }
        },
        take: (now) => {
            removeEnded(now);
            const first = lots[0];
            if (first !== undefined) {
                first.count -= 1;
                return first.endsAt;
            }
            if (kept === 0) {
                return undefined;
            }
            kept -= 1;
            return Number.POSITIVE_INFINITY;
        },
        keep: (limit) => {
            keptLimit = limit;
            kept = Math.min(kept, limit);
        },
        count: (now) => {
            removeEnded(now);
            return lots.reduce((sum, lot) => sum + lot.count, kept);
        },
        clear: () => {
            lots = [];
            kept = 0;
        },
    };
};
