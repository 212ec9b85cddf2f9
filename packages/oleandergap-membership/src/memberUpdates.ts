/**
 * Applies received member records: merges them, manages suspicions, refutes false claims about this node, and queues
 * the updates that other members should receive.
 */
import type { Member, NodeId } from "oleandergap-types";
import type { Logger } from "oleandergap-logger";
import { isDeadOrLeft, mergeRecords } from "./memberRecord.js";
import type { MemberTable } from "./memberTable.js";
import { MAX_INCARNATION } from "./recordCodec.js";
import type { Statistics } from "./statistics.js";
import type { Suspicions } from "./suspicions.js";
import type { UpdateQueue } from "./updateQueue.js";

/** How a record arrived: as a gossip update, or as part of an anti-entropy exchange of the complete state. */
export type RecordSource = "Gossip" | "Sync";

/** Result of applying a record. */
export type ApplyOutcome =
    | "Unchanged"
    | "Changed"
    /**
     * The record declares a member dead that this node considers alive. The member should be informed, so that it can
     * refute the claim.
     */
    | "Contested"
    /** The record contains a false claim about this node, which has raised its incarnation to refute it. */
    | "Refuted";

/** The only component that changes records in the member table. */
export interface MemberUpdates {
    readonly apply: (record: Member, source: RecordSource) => ApplyOutcome;
    /** Starts a suspicion of a member whose probe failed. */
    readonly suspect: (member: Member) => void;
    /** Declares a suspect member dead. */
    readonly declareDead: (id: NodeId) => void;
    /** Changes the record of this node. */
    readonly changeSelf: (change: (self: Member) => Member) => void;
}

export interface MemberUpdatesDependencies {
    readonly selfId: NodeId;
    readonly table: MemberTable;
    readonly queue: UpdateQueue;
    readonly suspicions: Suspicions;
    readonly statistics: Statistics;
    readonly logger: Logger;
}

const haveSameEndpoint = (left: Member, right: Member): boolean =>
    left.address === right.address && left.controlPort === right.controlPort;

/**
 * Downgrades a claim that a member is dead if this node considers the member alive.
 *
 * The two sides of a network partition declare each other dead. If these claims were accepted when the partition heals,
 * every node would consider the whole zone dead until all refutations arrived, and all targets would disappear for
 * seconds. A claim received by gossip therefore only starts a new suspicion. Claims in anti-entropy exchanges, which
 * can contain hundreds of old claims, change nothing before the member could refute them.
 */
const downgradeDeathClaim = (stored: Member, record: Member, source: RecordSource): Member => {
    if (record.state !== "dead" || isDeadOrLeft(stored)) {
        return record;
    }
    if (source === "Sync") {
        return { ...record, state: stored.state };
    }
    return stored.state === "suspect" ? record : { ...record, state: "suspect" };
};

export const createMemberUpdates = (dependencies: MemberUpdatesDependencies): MemberUpdates => {
    const { selfId, table, queue, suspicions, statistics, logger } = dependencies;

    const getSelf = (): Member => {
        const self = table.get(selfId);
        if (self === undefined) {
            throw new Error("The member table does not contain the record of this node");
        }
        return self;
    };

    const updateSuspicion = (previous: Member | undefined, next: Member): void => {
        if (next.state === "suspect") {
            if (previous?.state !== "suspect" || previous.incarnation !== next.incarnation) {
                suspicions.end(next.id);
            }
            suspicions.start(next.id, true);
        }
        else if (suspicions.end(next.id) && next.state === "alive") {
            statistics.countEvent("suspicionCleared");
        }
    };

    const store = (previous: Member | undefined, next: Member, shouldGossip: boolean): void => {
        table.put(next);
        if (shouldGossip) {
            queue.add(next);
        }
        updateSuspicion(previous, next);
    };

    const changeSelf: MemberUpdates["changeSelf"] = (change) => {
        store(getSelf(), change(getSelf()), true);
    };

    /** Raises the incarnation of this node above `incarnation` if necessary. */
    const raiseIncarnationAbove = (incarnation: number): void => {
        const self = getSelf();
        if (self.incarnation > incarnation || self.state === "left" || incarnation >= MAX_INCARNATION) {
            return;
        }
        changeSelf((current) => ({ ...current, incarnation: incarnation + 1 }));
        statistics.countEvent("refuted");
    };

    const applyToSelf = (record: Member): ApplyOutcome => {
        const self = getSelf();
        const isFalseClaim = record.incarnation > self.incarnation ||
            record.incarnation === self.incarnation && mergeRecords(self, record) !== self;
        if (!isFalseClaim || self.state === "left") {
            return "Unchanged";
        }
        if (!haveSameEndpoint(self, record)) {
            logger.warn("another process uses this node's id", { address: record.address, port: record.controlPort });
        }
        raiseIncarnationAbove(record.incarnation);
        return "Refuted";
    };

    /**
     * Resolves conflicts between members with the same endpoint: only the one with the highest incarnation can still be
     * running, so the others are declared dead.
     */
    const resolveEndpointConflict = (newMember: Member): void => {
        for (const other of [...table.listActive()]) {
            if (other.id === newMember.id || !haveSameEndpoint(other, newMember)) {
                continue;
            }
            if (other.id === selfId) {
                raiseIncarnationAbove(newMember.incarnation);
            }
            const isOtherLater = other.id === selfId || other.incarnation > newMember.incarnation;
            const superseded = isOtherLater ? newMember : other;
            store(superseded, { ...superseded, state: "dead" }, true);
        }
    };

    const apply = (record: Member, source: RecordSource): ApplyOutcome => {
        if (record.id === selfId) {
            return applyToSelf(record);
        }
        const stored = table.get(record.id);
        const accepted = stored === undefined ?
            record :
            mergeRecords(stored, downgradeDeathClaim(stored, record, source));
        const isContested = stored !== undefined && !isDeadOrLeft(accepted) && record.state === "dead" &&
            record.incarnation >= accepted.incarnation;
        if (accepted !== stored) {
            // The records that a joining node receives in an anti-entropy exchange are already known to the other
            // members. Gossiping them would cost megabytes.
            store(stored, accepted, source === "Gossip");
            const isNewMember = stored === undefined || isDeadOrLeft(stored) || !haveSameEndpoint(stored, accepted);
            if (isNewMember && !isDeadOrLeft(accepted)) {
                resolveEndpointConflict(accepted);
            }
        }
        if (isContested) {
            return "Contested";
        }
        return accepted === stored ? "Unchanged" : "Changed";
    };

    const suspect = (member: Member): void => {
        const stored = table.get(member.id);
        if (stored === undefined || isDeadOrLeft(stored) || stored.incarnation !== member.incarnation) {
            return;
        }
        if (stored.state === "alive") {
            statistics.countEvent("suspicionStarted");
            store(stored, { ...stored, state: "suspect" }, true);
        }
        suspicions.start(member.id, false);
    };

    const declareDead = (id: NodeId): void => {
        const stored = table.get(id);
        if (stored?.state === "suspect") {
            statistics.countEvent("declaredDead");
            logger.info("member declared dead", { id, address: stored.address });
            store(stored, { ...stored, state: "dead" }, true);
        }
    };

    return { apply, suspect, declareDead, changeSelf };
};
