/**
 * Distinguishes announcements of a target's current lifetime from outdated ones. A lifetime is the time from the start
 * of a target's process to its end.
 */
import type { Announcement, Milliseconds } from "oleandergap-types";

/** Maximum number of lifetimes that are stored. A VM has a few of them a day. */
const MAX_LIFETIMES = 64;

interface Lifetime {
    /** Unix time of the start of the process; undefined while no announcement has contained it. */
    bornAt: Milliseconds | undefined;
    lastSequence: number;
    isEnded: boolean;
    isLeaving: boolean;
}

const startLifetime = (bornAt: Milliseconds | undefined): Lifetime =>
    ({ bornAt, lastSequence: -1, isEnded: false, isLeaving: false });

/** Identifies a lifetime. */
export type LifetimeReference = Pick<Announcement, "instanceId" | "bornAt">;

/** The known lifetimes of the targets on a VM. */
export interface Lifetimes {
    /**
     * Returns false if the announcement belongs to an ended or former lifetime, or if a later announcement of the same
     * lifetime has already arrived.
     */
    readonly accept: (announcement: Announcement) => boolean;
    /**
     * Ends a lifetime whose target has withdrawn. Later announcements of that lifetime are outdated. Returns false if
     * the withdrawal belongs to a former lifetime.
     *
     * @param bornAt Unix time of the start of the process; undefined if the withdrawal does not contain it
     */
    readonly end: (instanceId: string, bornAt?: Milliseconds) => boolean;
    /** Records that the target will stop soon. This cannot be undone within a lifetime. */
    readonly markLeaving: (reference: LifetimeReference) => void;
    /** Returns whether the lifetime was marked as leaving. Always false without an instance id. */
    readonly isLeaving: (reference: LifetimeReference) => boolean;
    /** Returns the lifetime with its start time as far as it is known; undefined if it was not marked as leaving. */
    readonly findLeaving: (reference: LifetimeReference) => LifetimeReference | undefined;
}

/**
 * Creates an empty record of lifetimes.
 *
 * An announcement can be delayed and arrive after its target has left, or after another target has taken over the
 * address. If it were accepted, it would restore a target that is gone or replace the current target by a former one,
 * and the target would refuse requests until the next announcement. A target that restarts with the same instance id
 * starts its sequence numbers from the beginning. Without the start time, all its announcements would be treated as
 * outdated, and no request would reach it until its sequence number has caught up.
 */
export const createLifetimes = (): Lifetimes => {
    const lifetimesById = new Map<string, Lifetime>();

    /** Returns the latest lifetime with this instance id; undefined if the message belongs to a former lifetime. */
    const findLifetime = (instanceId: string, bornAt: Milliseconds | undefined): Lifetime | undefined => {
        const latest = lifetimesById.get(instanceId);
        const latestBornAt = latest?.bornAt;
        if (bornAt !== undefined && latestBornAt !== undefined && bornAt < latestBornAt) {
            return undefined;
        }
        const isNew = bornAt !== undefined && latestBornAt !== undefined && bornAt > latestBornAt;
        const lifetime = latest === undefined || isNew ? startLifetime(bornAt) : latest;
        lifetime.bornAt ??= bornAt;
        storeLifetime(instanceId, lifetime);
        return lifetime;
    };

    const storeLifetime = (instanceId: string, lifetime: Lifetime): void => {
        lifetimesById.delete(instanceId);
        lifetimesById.set(instanceId, lifetime);
        const [oldest] = lifetimesById.keys();
        if (lifetimesById.size > MAX_LIFETIMES && oldest !== undefined) {
            lifetimesById.delete(oldest);
        }
    };

    const findLeaving: Lifetimes["findLeaving"] = ({ instanceId, bornAt }) => {
        const lifetime = instanceId === undefined ? undefined : findLifetime(instanceId, bornAt);
        return lifetime?.isLeaving === true ? { instanceId, bornAt: lifetime.bornAt } : undefined;
    };

    return {
        accept: ({ instanceId, bornAt, sequence }) => {
            if (instanceId === undefined) {
                return true;
            }
            const lifetime = findLifetime(instanceId, bornAt);
            const isOutdated = lifetime === undefined || lifetime.isEnded ||
                (sequence !== undefined && sequence <= lifetime.lastSequence);
            if (isOutdated) {
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
        markLeaving: ({ instanceId, bornAt }) => {
            const lifetime = instanceId === undefined ? undefined : findLifetime(instanceId, bornAt);
            if (lifetime !== undefined) {
                lifetime.isLeaving = true;
            }
        },
        isLeaving: (reference) => findLeaving(reference) !== undefined,
        findLeaving,
    };
};
