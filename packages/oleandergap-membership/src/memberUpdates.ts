/** Applies what this node hears of members: merges, suspects, refutes, and queues what others should hear. */
import type { Member, NodeId } from "oleandergap-types";
import type { Logger } from "oleandergap-logger";
import { isDeadOrLeft, mergeRecords } from "./memberRecord.js";
import type { MemberTable } from "./memberTable.js";
import { MAX_INCARNATION } from "./recordCodec.js";
import type { Statistics } from "./statistics.js";
import type { Suspicions } from "./suspicions.js";
import type { UpdateQueue } from "./updateQueue.js";

/** How a record arrived: told as news, or found in another node's whole state. */
export type RecordSource = "Gossip" | "Sync";

/** What a record led to. */
export type ApplyOutcome =
    | "Unchanged"
    | "Changed"
    /** The record called a member dead that this node holds alive; the member itself should hear of it. */
    | "Contested"
    /** The record was about this node and wrong, so this node raised its incarnation. */
    | "Refuted";

/** The only way by which records change. */
export interface MemberUpdates {
    readonly apply: (record: Member, source: RecordSource) => ApplyOutcome;
    /** Starts to suspect a member whose probe failed. */
    readonly suspect: (member: Member) => void;
    /** Declares a suspect dead. */
    readonly declareDead: (id: NodeId) => void;
    /** Changes this node's own record. */
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
 * Weakens a claim of death about a member that this node holds alive.
 *
 * Two halves of a zone that were cut apart call each other dead. If the claims were believed when the halves meet
 * again, every node would take the whole zone for dead until each refutation came round; one would see all targets
 * vanish for seconds. News of a death comes with a suspicion period of its own, and whole-state exchanges, which carry
 * old claims by the hundred, change nothing before the member had the chance to refute.
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
            throw new Error("The member table lost this node's own record");
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

    /** Makes sure that this node's incarnation is above `incarnation`. */
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
        const isWrong = record.incarnation > self.incarnation ||
            record.incarnation === self.incarnation && mergeRecords(self, record) !== self;
        if (!isWrong || self.state === "left") {
            return "Unchanged";
        }
        if (!haveSameEndpoint(self, record)) {
            logger.warn("another process uses this node's id", { address: record.address, port: record.controlPort });
        }
        raiseIncarnationAbove(record.incarnation);
        return "Refuted";
    };

    /** Of several members at one endpoint, only the one with the highest incarnation can still be there. */
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
        const accepted = stored === undefined ? record : mergeRecords(stored, downgradeDeathClaim(stored, record, source));
        const isContested = stored !== undefined && !isDeadOrLeft(accepted) && record.state === "dead" &&
            record.incarnation >= accepted.incarnation;
        if (accepted !== stored) {
            // What a joiner learns from a whole state is news to nobody else; passing it on would cost megabytes.
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
