/**
 * Determines when this node has to check an object that it may write, after the object store was restored from a
 * backup. Without this check, the object would be missing until its regular writers check it many seconds later, and
 * new nodes would find no other nodes.
 */
import type { Milliseconds, StoreEra } from "oleandergap-types";
import type { Random } from "oleandergap-utils";

/**
 * Time span over which the checks of different nodes are spread after a restore, so that most nodes find the object
 * already complete.
 */
const CHECK_SPREAD_MS: Milliseconds = 300;
/** Minimum delay after a failed check; a random delay of up to the same length is added. */
const MIN_RETRY_DELAY_MS: Milliseconds = 400;

export interface RestoreCheck {
    readonly isDue: (now: Milliseconds) => boolean;
    /** Records that the object was found or written correctly in this era of the store. */
    readonly markComplete: (era: StoreEra | undefined) => void;
    /** Postpones the check after a failed attempt, if the attempt was caused by a restore. */
    readonly postpone: (now: Milliseconds) => void;
}

export interface RestoreCheckDependencies {
    /** Returns the newest era seen in the responses of the store. */
    readonly readEra: () => StoreEra | undefined;
    readonly random: Random;
}

/** Creates the check. No check is due in the era at creation or, if that is unknown, in the first era seen. */
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
