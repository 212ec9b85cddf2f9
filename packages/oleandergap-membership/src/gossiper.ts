/**
 * Pushes queued updates to a few members at short intervals until the queue is empty. Nothing is sent while the queue
 * is empty.
 */
import type { Clock, Member, NodeId } from "oleandergap-types";
import { pickSeveral, type Random } from "oleandergap-utils";
import type { ByteBudget } from "./byteBudget.js";
import { createMemberRound, listOtherMembers } from "./memberRound.js";
import type { MemberTable } from "./memberTable.js";
import type { Messenger } from "./messenger.js";
import type { MembershipOptions } from "./options.js";
import { getControlEndpoint } from "./prober.js";
import type { UpdateQueue } from "./updateQueue.js";

/** Number of members that receive each leave announcement, as a multiple of the gossip fan-out. */
const LEAVE_FANOUT_FACTOR = 2;
const LEAVE_ROUNDS = 3;

/** Sends updates within a byte budget. Leave announcements are sent regardless of the budget. */
export interface Gossiper {
    readonly poll: () => void;
    /** Sends the record of this node directly to several members, several times. */
    readonly announceLeave: (self: Member) => Promise<void>;
}

export interface GossiperDependencies {
    readonly selfId: NodeId;
    readonly clock: Clock;
    readonly random: Random;
    readonly options: MembershipOptions;
    readonly table: MemberTable;
    readonly queue: UpdateQueue;
    readonly messenger: Messenger;
    readonly budget: ByteBudget;
}

export const createGossiper = (dependencies: GossiperDependencies): Gossiper => {
    const { selfId, clock, random, options, table, queue, messenger, budget } = dependencies;
    const round = createMemberRound(table, selfId, random);
    let nextPushAt = clock.monotonic();

    const poll = (): void => {
        const now = clock.monotonic();
        if (queue.size() === 0 || now < nextPushAt) {
            return;
        }
        nextPushAt = now + options.gossipPeriodMs;
        for (let copy = 0; copy < options.gossipFanout && queue.size() > 0 && budget.canSpend(); copy++) {
            const target = round.next();
            if (target === undefined) {
                return;
            }
            budget.spend(messenger.send(getControlEndpoint(target), { kind: "Gossip" }));
        }
    };

    const announceLeave = async (self: Member): Promise<void> => {
        const count = options.gossipFanout * LEAVE_FANOUT_FACTOR;
        for (let leaveRound = 0; leaveRound < LEAVE_ROUNDS; leaveRound++) {
            for (const target of pickSeveral(random, listOtherMembers(table, selfId), count)) {
                messenger.send(getControlEndpoint(target), { kind: "Gossip" }, { records: [self] });
            }
            await clock.sleep(options.gossipPeriodMs, new AbortController().signal);
        }
    };

    return { poll, announceLeave };
};
