/**
 * Tells when an object that this node could write has to be looked at again because the store was restored from a copy.
 * Without it, the object would be missing until its writers look by themselves, many seconds later; one would see new
 * nodes that find nobody.
 */
import type { Milliseconds, StoreEra } from "oleandergap-types";
import type { Random } from "oleandergap-utils";

/** Within this time the nodes that know of a restore look, one after the other, so that most find the object whole. */
const CHECK_SPREAD_MS: Milliseconds = 300;
/** Shortest wait after a look that failed; as much again is drawn. */
const MIN_RETRY_DELAY_MS: Milliseconds = 400;

export interface RestoreCheck {
    readonly isDue: (now: Milliseconds) => boolean;
    /** The object is as it should be, according to an answer of this era. */
    readonly markComplete: (era: StoreEra | undefined) => void;
    /** The look failed: if it was due to a restore, another one is due later. */
    readonly postpone: (now: Milliseconds) => void;
}

export interface RestoreCheckDependencies {
    /** The newest era seen in the store's answers. */
    readonly readEra: () => StoreEra | undefined;
    readonly random: Random;
}

/** Never due in the era that it was created or first answered in. */
export const createRestoreCheck = ({ readEra, random }: RestoreCheckDependencies): RestoreCheck => {
    let checkedEra = readEra();
    let dueAt: Milliseconds | undefined;
    return {
        isDue: (now) => {
            const era = readEra();
            checkedEra ??= era;
            if (era === checkedEra) {
                return false;
            }
            dueAt ??= now + CHECK_SPREAD_MS * random();
            return now >= dueAt;
        },
        markComplete: (era) => {
            checkedEra = era;
            dueAt = undefined;
        },
        postpone: (now) => {
            dueAt = dueAt === undefined ? undefined : now + MIN_RETRY_DELAY_MS * (1 + random());
        },
    };
};
