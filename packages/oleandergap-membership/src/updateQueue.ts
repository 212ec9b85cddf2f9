/**
 * Queue of member records that still have to be sent to other members. Each record is sent a limited number of times,
 * those sent least often first, so that the traffic of one change is limited and a large number of changes does not
 * delay a new one.
 */
import type { Member, NodeId } from "oleandergap-types";
import { measureRecordBytes } from "./datagramCodec.js";

/** Number of transmissions of one update, as a multiple of the natural logarithm of the zone size. */
const TRANSMISSIONS_PER_LOGARITHM = 3;

interface QueuedUpdate {
    readonly member: Member;
    transmissions: number;
}

export interface UpdateQueue {
    /** Adds an update and replaces an older update of the same member. */
    readonly add: (member: Member) => void;
    /**
     * Returns at most `maxRecords` updates that fit into `maxBytes` bytes, and counts one transmission for each of
     * them.
     */
    readonly take: (maxBytes: number, maxRecords?: number) => readonly Member[];
    readonly size: () => number;
    readonly clear: () => void;
}

/**
 * Returns the number of transmissions of one update. If each of n nodes sends 3 ln n copies, a node receives the same
 * number on average, and the probability that any node is missed stays below 1 in n squared, even with a datagram loss
 * of one third.
 */
export const computeTransmissionLimit = (zoneSize: number): number =>
    Math.ceil(TRANSMISSIONS_PER_LOGARITHM * Math.log(zoneSize + 1));

/** Creates a queue. `zoneSize` is called at each use, so that the transmission limit follows the size of the zone. */
export const createUpdateQueue = (zoneSize: () => number): UpdateQueue => {
    const updates = new Map<NodeId, QueuedUpdate>();

    const take = (maxBytes: number, maxRecords = Number.POSITIVE_INFINITY): readonly Member[] => {
        if (updates.size === 0) {
            return [];
        }
        const limit = computeTransmissionLimit(zoneSize());
        const candidates = [...updates.values()].sort((left, right) => left.transmissions - right.transmissions);
        const taken: Member[] = [];
        let remainingBytes = maxBytes;
        for (const update of candidates) {
            const size = measureRecordBytes(update.member);
            if (size > remainingBytes || taken.length >= maxRecords) {
                break;
            }
            remainingBytes -= size;
            taken.push(update.member);
            update.transmissions += 1;
            if (update.transmissions >= limit) {
                updates.delete(update.member.id);
            }
        }
        return taken;
    };

    return {
        add: (member) => {
            // The existing entry is deleted first, so that the renewed update is inserted after others with the same
            // transmission count.
            updates.delete(member.id);
            updates.set(member.id, { member, transmissions: 0 });
        },
        take,
        size: () => updates.size,
        clear: () => {
            updates.clear();
        },
    };
};
