/** Processes received datagrams: applies their records and heads, and replies to their message. */
import type { Head, Member } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import type { ByteBudget } from "./byteBudget.js";
import type { ContactBook } from "./contactBook.js";
import { createContactMessages } from "./contactMessages.js";
import type { HeadExchange } from "./headExchange.js";
import type { MemberTable } from "./memberTable.js";
import type { MemberUpdates } from "./memberUpdates.js";
import type { Datagram, MessageBody, MessageKind } from "./messages.js";
import type { Contact } from "./membershipTypes.js";
import type { PiggybackedData, Messenger } from "./messenger.js";
import type { Prober } from "./prober.js";
import type { Statistics } from "./statistics.js";
import type { Synchronizer } from "./synchronizer.js";
import type { Endpoint } from "./transport.js";
import type { ZoneDigests } from "./zoneDigests.js";

/**
 * Estimated size, in bytes, of a ping that informs a member of a claim about it. The size is counted against the byte
 * budget.
 */
const NOTIFICATION_PING_BYTES = 200;

/** Message kinds that are accepted from remote availability zones. */
const crossZoneKinds: ReadonlySet<MessageKind> = new Set(["ContactProbe", "ContactReply", "Heads"]);

/** Processes one datagram. `from` is the source endpoint reported by the transport; replies are sent to it. */
export type HandleDatagram = (datagram: Datagram, from: Endpoint) => void;

export interface DatagramHandlerDependencies {
    readonly self: () => Member;
    readonly random: Random;
    readonly table: MemberTable;
    readonly updates: MemberUpdates;
    readonly messenger: Messenger;
    readonly prober: Prober;
    readonly synchronizer: Synchronizer;
    readonly contacts: ContactBook;
    readonly heads: HeadExchange;
    readonly zoneDigests: ZoneDigests;
    readonly budget: ByteBudget;
    readonly statistics: Statistics;
}

const hasNewerHeads = (localHeads: readonly Head[], remoteHeads: readonly Head[]): boolean =>
    localHeads.some((head) => {
        const other = remoteHeads.find((candidate) => candidate.partner === head.partner);
        return other === undefined || other.sequence < head.sequence;
    });

/** Creates the handler. The handler rethrows errors of listeners; the caller counts them. */
export const createDatagramHandler = (dependencies: DatagramHandlerDependencies): HandleDatagram => {
    const { self, table, updates, messenger, prober, synchronizer, contacts, heads } = dependencies;
    const { budget, statistics } = dependencies;

    /**
     * Applies the records of a datagram. Returns whether the sender holds an outdated record of this node. The sender
     * is then informed even if this node has already refuted the same claim, because the earlier refutation may have
     * been lost and the sender would go on to declare this node dead.
     */
    const applyRecords = (datagram: Datagram): boolean => {
        let isSenderOutdated = false;
        for (const record of datagram.records) {
            const isRecordOfSender = record.id === datagram.id;
            const source = datagram.body.kind === "SyncRecords" && !isRecordOfSender ? "Sync" : "Gossip";
            const outcome = updates.apply(record, source);
            isSenderOutdated ||= record.id === self().id && record.incarnation < self().incarnation;
            if (outcome === "Contested" && budget.canSpend()) {
                budget.spend(NOTIFICATION_PING_BYTES);
                prober.ping(record);
            }
        }
        return isSenderOutdated;
    };

    /**
     * Selects the records for a reply: the stored record of the sender if it is not alive or has a higher incarnation
     * than the sender, and the record of this node if the sender holds an outdated one.
     */
    const selectReplyRecords = (datagram: Datagram, isSenderOutdated: boolean): readonly Member[] => {
        const stored = table.get(datagram.id);
        const mustNotifySender =
            stored !== undefined && (stored.state !== "alive" || stored.incarnation > datagram.incarnation);
        return [...(mustNotifySender ? [stored] : []), ...(isSenderOutdated ? [self()] : [])];
    };

    const selectReplyHeads = (datagram: Datagram): Pick<PiggybackedData, "heads"> =>
        datagram.headsHash === heads.hash() ? {} : { heads: heads.current() };

    /** Sends the configuration heads of this node if the received reply shows that its sender lacks some of them. */
    const sendNewerHeads = (datagram: Datagram, from: Endpoint): void => {
        if (datagram.headsHash !== heads.hash() && hasNewerHeads(heads.current(), datagram.heads ?? [])) {
            messenger.send(from, { kind: "Heads" }, { heads: heads.current() });
        }
    };

    const replyToPing = (
        ping: Extract<MessageBody, { kind: "Ping" }>,
        datagram: Datagram,
        from: Endpoint,
        isSenderOutdated: boolean,
    ): void => {
        const records = selectReplyRecords(datagram, isSenderOutdated);
        const piggybacked = { records, ...selectReplyHeads(datagram) };
        if (ping.targetId === self().id) {
            messenger.send(from, { kind: "Ack", sequence: ping.sequence }, piggybacked);
            return;
        }
        // The ping was addressed to a previous node at this endpoint. Without a reply, the sender would suspect that
        // node for several seconds before it discovered this one.
        messenger.send(from, { kind: "Gossip" }, { ...piggybacked, records: [self(), ...records] });
    };

    const contactMessages = createContactMessages({ ...dependencies, selectReplyHeads, sendNewerHeads });

    const handleBody = (datagram: Datagram, from: Endpoint, isSenderOutdated: boolean): void => {
        const { body } = datagram;
        switch (body.kind) {
            case "Ping":
                replyToPing(body, datagram, from, isSenderOutdated);
                return;
            case "Ack":
                prober.receiveAck(body.sequence);
                sendNewerHeads(datagram, from);
                return;
            case "PingRequest":
                prober.relay(body, from);
                return;
            case "Nack":
                prober.receiveNack(body.sequence);
                return;
            case "SyncStart":
                synchronizer.receiveStart(from, body.digest);
                return;
            case "SyncBuckets":
                synchronizer.receiveBuckets(from, body.digests);
                return;
            case "SyncRecords":
                synchronizer.receiveRecords(from, body.requestedBuckets, datagram.records);
                return;
            case "ContactProbe":
                contactMessages.replyToProbe(body, datagram, from);
                return;
            case "ContactReply":
                contactMessages.receiveReply(body, datagram, from);
                return;
            case "Gossip":
            case "Heads":
                return;
        }
    };

    /**
     * Starts a comparison of the complete state with a sender that is unknown to this node, or known only with a lower
     * incarnation.
     */
    const syncWithUnknownSender = (datagram: Datagram, from: Endpoint): void => {
        const stored = table.get(datagram.id);
        const isUnknownOrNewer = stored === undefined || stored.incarnation < datagram.incarnation;
        if (isUnknownOrNewer && !datagram.body.kind.startsWith("Sync")) {
            synchronizer.compareWith(from);
        }
    };

    return (datagram, from) => {
        const localMember = self();
        if (datagram.id === localMember.id && datagram.zone === localMember.zone) {
            statistics.countDropped("OwnEcho");
            return;
        }
        const isLocalZone = datagram.zone === localMember.zone;
        if (!isLocalZone && !crossZoneKinds.has(datagram.body.kind)) {
            statistics.countDropped("OtherZone");
            return;
        }
        const sender: Contact = { id: datagram.id, zone: datagram.zone, address: from.address, controlPort: from.port };
        const isSenderOutdated = isLocalZone && applyRecords(datagram);
        if (!isLocalZone) {
            contacts.markLive(sender);
        }
        if (datagram.heads !== undefined) {
            heads.receive(sender, datagram.heads);
        }
        handleBody(datagram, from, isSenderOutdated);
        if (isLocalZone) {
            syncWithUnknownSender(datagram, from);
        }
    };
};
