/**
 * Member records that still have to be told to others. Each is sent a bounded number of times, the least told first,
 * so that the traffic of one change is bounded and a mass of changes cannot hold back a new one.
 */
import type { Member, NodeId } from "oleandergap-types";
import { measureRecordBytes } from "./datagramCodec.js";

/** Transmissions of one update per natural logarithm of the zone's size. */
const TRANSMISSIONS_PER_LOGARITHM = 3;

interface QueuedUpdate {
    readonly member: Member;
    transmissions: number;
}

export interface UpdateQueue {
    /** Replaces an older update of the same member. */
    readonly add: (member: Member) => void;
    /** Takes updates that fit into `room` bytes, at most `maximum`, and counts them as told once more. */
    readonly take: (maxBytes: number, maxRecords?: number) => readonly Member[];
    readonly size: () => number;
    readonly clear: () => void;
}

/**
 * Times that one update is sent. With each of n nodes sending 3 ln n copies, a node receives as many on average, and
 * the chance that any node is missed stays below 1 in n squared, even when a third of the datagrams is lost.
 */
export const computeTransmissionLimit = (zoneSize: number): number =>
    Math.ceil(TRANSMISSIONS_PER_LOGARITHM * Math.log(zoneSize + 1));

/** `zoneSize` is read at each use, so that the limit follows the zone. */
export const createUpdateQueue = (zoneSize: () => number): UpdateQueue => {
    const updates = new Map<NodeId, QueuedUpdate>();

    const take = (maxBytes: number, maxRecords = Number.POSITIVE_INFINITY): readonly Member[] => {
        if (updates.size === 0) {
            return [];
        }
        const limit = computeTransmissionLimit(zoneSize());
        const candidates = [...updates.values()].sort((remainingBytes, right) => remainingBytes.transmissions - right.transmissions);
        const taken: Member[] = [];
        let left = maxBytes;
        for (const update of candidates) {
            const size = measureRecordBytes(update.member);
            if (size > left || taken.length >= maxRecords) {
                break;
            }
            left -= size;
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
            // Deleted first, so that a renewed update moves behind the others of equal count in the map's order.
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
