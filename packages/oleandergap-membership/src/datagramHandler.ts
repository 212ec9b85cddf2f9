/** Handles datagrams as they arrive: applies their records and heads, and answers their message. */
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

/** Bytes of a ping that tells a member what is said of it, for the budget. */
const NOTIFICATION_PING_BYTES = 200;

/** Kinds that may come from another availability zone. */
const crossZoneKinds: ReadonlySet<MessageKind> = new Set(["ContactProbe", "ContactReply", "Heads"]);

/** `from` is the endpoint that the transport saw; answers go there. */
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

const hasNewerHeads = (local: readonly Head[], remote: readonly Head[]): boolean =>
    local.some((head) => {
        const other = remote.find((candidate) => candidate.partner === head.partner);
        return other === undefined || other.sequence < head.sequence;
    });

/** The handler may throw what a listener threw; its caller counts that. */
export const createDatagramHandler = (dependencies: DatagramHandlerDependencies): HandleDatagram => {
    const { self, table, updates, messenger, prober, synchronizer, contacts, heads } = dependencies;
    const { budget, statistics } = dependencies;

    /**
     * Returns whether the sender is wrong about this node. It is told so even when this node refuted the same claim
     * before: the sender may have lost the refutation, and would go on to declare this node dead.
     */
    const applyRecords = (datagram: Datagram): boolean => {
        let isSenderOutdated = false;
        for (const record of datagram.records) {
            const isFirstHand = record.id === datagram.id;
            const source = datagram.body.kind === "SyncRecords" && !isFirstHand ? "Sync" : "Gossip";
            const outcome = updates.apply(record, source);
            isSenderOutdated ||= record.id === self().id && record.incarnation < self().incarnation;
            if (outcome === "Contested" && budget.canSpend()) {
                budget.spend(NOTIFICATION_PING_BYTES);
                prober.ping(record);
            }
        }
        return isSenderOutdated;
    };

    /** What the sender should hear: that it is thought gone or doubted, and that this node is alive after all. */
    const selectReplyRecords = (datagram: Datagram, isSenderOutdated: boolean): readonly Member[] => {
        const stored = table.get(datagram.id);
        const mustNotifySender = stored !== undefined && (stored.state !== "alive" || stored.incarnation > datagram.incarnation);
        return [...(mustNotifySender ? [stored] : []), ...(isSenderOutdated ? [self()] : [])];
    };

    const selectReplyHeads = (datagram: Datagram): Pick<PiggybackedData, "heads"> =>
        datagram.headsHash === heads.hash() ? {} : { heads: heads.current() };

    /** An answer shows that the asked node lacks heads that this one holds. */
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
        // The ping was meant for a former node at this address. Without an answer, the sender would suspect that node
        // for seconds before it learnt of this one.
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

    /** A member of which this node knows nothing, or only an earlier incarnation, is asked for what is missing. */
    const syncWithUnknownSender = (datagram: Datagram, from: Endpoint): void => {
        const stored = table.get(datagram.id);
        const isUnknownOrNewer = stored === undefined || stored.incarnation < datagram.incarnation;
        if (isUnknownOrNewer && !datagram.body.kind.startsWith("Sync")) {
            synchronizer.compareWith(from);
        }
    };

    return (datagram, from) => {
        const local = self();
        if (datagram.id === local.id && datagram.zone === local.zone) {
            statistics.countDropped("OwnEcho");
            return;
        }
        const isLocalZone = datagram.zone === local.zone;
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
