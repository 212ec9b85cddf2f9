/** Iterates over the other members in round-robin order. The order is shuffled again for each round. */
import type { Member, NodeId } from "oleandergap-types";
import { pickSeveral, type Random } from "oleandergap-utils";
import { isDeadOrLeft } from "./memberRecord.js";
import type { MemberTable } from "./memberTable.js";

export interface MemberRound {
    /** Returns the next alive or suspect member, or undefined if this node is the only member. */
    readonly next: () => Member | undefined;
}

/**
 * Returns all alive and suspect members except the given one. They are the candidates for probes, gossip and state
 * comparisons.
 */
export const listOtherMembers = (table: MemberTable, selfId: NodeId): readonly Member[] =>
    table.listActive().filter((member) => member.id !== selfId);

export const createMemberRound = (table: MemberTable, selfId: NodeId, random: Random): MemberRound => {
    let shuffledIds: NodeId[] = [];

    const takeNextActiveMember = (): Member | undefined => {
        for (let id = shuffledIds.pop(); id !== undefined; id = shuffledIds.pop()) {
            const member = table.get(id);
            if (member !== undefined && !isDeadOrLeft(member)) {
                return member;
            }
        }
        return undefined;
    };

    return {
        next: () => {
            const member = takeNextActiveMember();
            if (member !== undefined) {
                return member;
            }
            const ids = listOtherMembers(table, selfId).map((other) => other.id);
            shuffledIds = [...pickSeveral(random, ids, ids.length)];
            return takeNextActiveMember();
        },
    };
};
