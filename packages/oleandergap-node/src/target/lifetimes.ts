/** Tells the announcements of a target's present lifetime from late ones. */
import type { Announcement } from "oleandergap-types";

/** Lifetimes that are remembered; a VM sees a few of them a day. */
const MAX_REMEMBERED = 64;

interface Lifetime {
    lastSequence: number;
    isEnded: boolean;
}

/** What was heard of the lifetimes of a VM's targets. */
export interface Lifetimes {
    /** False for an announcement of a lifetime that has ended, and for one that a later one has overtaken. */
    readonly accept: (announcement: Announcement) => boolean;
    /** The lifetime said goodbye; whatever still arrives of it is late. */
    readonly end: (instanceId: string) => void;
}

/**
 * An announcement can be held up on its way and arrive after its target has left, or after another one has taken its
 * address. Believed, it would revive a target that is gone, or put a former one in the place of the present one; one
 * would see requests refused by the target for as long as the next announcement takes.
 */
export const createLifetimes = (): Lifetimes => {
    const known = new Map<string, Lifetime>();

    const lifetimeOf = (instanceId: string): Lifetime => {
        const lifetime = known.get(instanceId) ?? { lastSequence: -1, isEnded: false };
        known.delete(instanceId);
        known.set(instanceId, lifetime);
        const [oldest] = known.keys();
        if (known.size > MAX_REMEMBERED && oldest !== undefined) {
            known.delete(oldest);
        }
        return lifetime;
    };

    return {
        accept: ({ instanceId, sequence }) => {
            if (instanceId === undefined) {
                return true;
            }
            const lifetime = lifetimeOf(instanceId);
            if (lifetime.isEnded || (sequence !== undefined && sequence <= lifetime.lastSequence)) {
                return false;
            }
            lifetime.lastSequence = sequence ?? lifetime.lastSequence;
            return true;
        },
        end: (instanceId) => {
            lifetimeOf(instanceId).isEnded = true;
        },
    };
};
