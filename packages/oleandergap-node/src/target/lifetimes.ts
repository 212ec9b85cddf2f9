/** Tells the announcements of a target's present lifetime from late ones. */
import type { Announcement, Milliseconds } from "oleandergap-types";

/** Lifetimes that are remembered; a VM sees a few of them a day. */
const MAX_REMEMBERED = 64;

interface Lifetime {
    /** Unix time of its start; undefined while it has not said. */
    bornAt: Milliseconds | undefined;
    lastSequence: number;
    isEnded: boolean;
}

const startLifetime = (bornAt: Milliseconds | undefined): Lifetime => ({ bornAt, lastSequence: -1, isEnded: false });

/** What was heard of the lifetimes of a VM's targets. */
export interface Lifetimes {
    /** False for an announcement of a lifetime that has ended, and for one that a later one has overtaken. */
    readonly accept: (announcement: Announcement) => boolean;
    /**
     * The lifetime said goodbye; whatever still arrives of it is late. False for the goodbye of a former lifetime.
     *
     * @param bornAt Unix time of its start; undefined when it does not say
     */
    readonly end: (instanceId: string, bornAt?: Milliseconds) => boolean;
}

/**
 * An announcement can be held up on its way and arrive after its target has left, or after another one has taken its
 * address. Believed, it would revive a target that is gone, or put a former one in the place of the present one; one
 * would see requests refused by the target for as long as the next announcement takes. A target that starts again under
 * its name counts from the beginning; without the time of its start, all that it says would be taken for late, and one
 * would see no request reach it until its count has caught up.
 */
export const createLifetimes = (): Lifetimes => {
    const known = new Map<string, Lifetime>();

    /** The newest lifetime of this name; undefined when the one that speaks is a former one. */
    const findLifetime = (instanceId: string, bornAt: Milliseconds | undefined): Lifetime | undefined => {
        const last = known.get(instanceId);
        const lastBornAt = last?.bornAt;
        if (bornAt !== undefined && lastBornAt !== undefined && bornAt < lastBornAt) {
            return undefined;
        }
        const isNew = bornAt !== undefined && lastBornAt !== undefined && bornAt > lastBornAt;
        const lifetime = last === undefined || isNew ? startLifetime(bornAt) : last;
        lifetime.bornAt ??= bornAt;
        remember(instanceId, lifetime);
        return lifetime;
    };

    const remember = (instanceId: string, lifetime: Lifetime): void => {
        known.delete(instanceId);
        known.set(instanceId, lifetime);
        const [oldest] = known.keys();
        if (known.size > MAX_REMEMBERED && oldest !== undefined) {
            known.delete(oldest);
        }
    };

    return {
        accept: ({ instanceId, bornAt, sequence }) => {
            if (instanceId === undefined) {
                return true;
            }
            const lifetime = findLifetime(instanceId, bornAt);
            const isLate = lifetime === undefined || lifetime.isEnded ||
                (sequence !== undefined && sequence <= lifetime.lastSequence);
            if (isLate) {
                return false;
            }
            lifetime.lastSequence = sequence ?? lifetime.lastSequence;
            return true;
        },
        end: (instanceId, bornAt) => {
            const lifetime = findLifetime(instanceId, bornAt);
            if (lifetime === undefined) {
                return false;
            }
            lifetime.isEnded = true;
            return true;
        },
    };
};
