/**
 * Stores the records of the members of the local availability zone, including this node, and tombstones of members that
 * died or left.
 */
import type { Clock, Member, Milliseconds, NodeId } from "oleandergap-types";
import { isDeadOrLeft } from "./memberRecord.js";
import type { MemberChange, Unsubscribe } from "./membershipTypes.js";
import { getBucket, createStateDigest, type StateDigest } from "./stateDigest.js";

/** Largest number of tombstones. The oldest ones are removed first, so that their memory is bounded. */
const MAX_TOMBSTONES = 4096;

/** Stores records without checking them; the rules for changes are implemented in `memberUpdates`. */
export interface MemberTable {
    readonly get: (id: NodeId) => Member | undefined;
    readonly put: (member: Member) => void;
    /**
     * Returns the alive and suspect members, including this node. The same array is returned until a member changes.
     */
    readonly listActive: () => readonly Member[];
    readonly listTombstones: () => readonly Member[];
    /** Removes all members except this node. */
    readonly removeOthers: () => void;
    readonly removeExpiredTombstones: () => void;
    readonly listInBuckets: (buckets: readonly number[]) => readonly Member[];
    readonly digest: Pick<StateDigest, "total" | "buckets">;
    readonly subscribe: (listener: (change: MemberChange) => void) => Unsubscribe;
}

export interface MemberTableDependencies {
    readonly self: Member;
    readonly clock: Clock;
    readonly tombstoneMs: Milliseconds;
}

/** Creates a table that contains the record of this node. */
export const createMemberTable = ({ self, clock, tombstoneMs }: MemberTableDependencies): MemberTable => {
    const members = new Map<NodeId, Member>();
    const departedAt = new Map<NodeId, Milliseconds>();
    const listeners = new Set<(change: MemberChange) => void>();
    const digest = createStateDigest();
    let activeMembers: readonly Member[] | undefined;

    const put = (member: Member): void => {
        const previous = members.get(member.id);
        members.set(member.id, member);
        digest.replace(previous, member);
        activeMembers = undefined;
        if (!isDeadOrLeft(member)) {
            departedAt.delete(member.id);
        }
        else if (previous === undefined || !isDeadOrLeft(previous)) {
            departedAt.set(member.id, clock.monotonic());
        }
        for (const listener of listeners) {
            listener({ kind: "MemberChanged", member, previous });
        }
    };

    const remove = (id: NodeId): void => {
        digest.replace(members.get(id), undefined);
        members.delete(id);
        departedAt.delete(id);
        activeMembers = undefined;
    };

    const removeExpiredTombstones = (): void => {
        const oldestAllowed = clock.monotonic() - tombstoneMs;
        let excess = departedAt.size - MAX_TOMBSTONES;
        // The map is ordered by the time of departure, so the first tombstone that is kept ends the iteration.
        for (const [id, since] of departedAt) {
            if (since >= oldestAllowed && excess <= 0) {
                return;
            }
            remove(id);
            excess -= 1;
        }
    };

    put(self);
    return {
        get: (id) => members.get(id),
        put,
        listActive: () => activeMembers ??= [...members.values()].filter((member) => !isDeadOrLeft(member)),
        listTombstones: () => [...members.values()].filter(isDeadOrLeft),
        removeOthers: () => {
            [...members.keys()].filter((id) => id !== self.id).forEach(remove);
        },
        removeExpiredTombstones,
        listInBuckets: (buckets) => [...members.values()].filter((member) => buckets.includes(getBucket(member.id))),
        digest,
        subscribe: (listener) => {
            listeners.add(listener);
            return () => {
                listeners.delete(listener);
            };
        },
    };
};
