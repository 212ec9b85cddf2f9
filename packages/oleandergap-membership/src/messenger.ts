/** Sends messages: adds piggybacked records and heads to the datagrams and counts what is sent. */
import type { Head, Member } from "oleandergap-types";
import type { ByteBudget } from "./byteBudget.js";
import type { DatagramCodec, DatagramBuilder } from "./datagramCodec.js";
import type { HeadExchange } from "./headExchange.js";
import type { MessageBody, MessageKind } from "./messages.js";
import type { Statistics } from "./statistics.js";
import type { DatagramTransport, Endpoint } from "./transport.js";
import type { UpdateQueue } from "./updateQueue.js";

/** Data that is sent in a datagram in addition to its message. */
export interface PiggybackedData {
    /** Records that are added before any queued updates. */
    readonly records?: readonly Member[];
    readonly heads?: readonly Head[];
}

/** Records that may require more than one datagram. */
export interface RecordBundle {
    readonly first: MessageBody;
    /** Message of the second and all further datagrams. */
    readonly next: MessageBody;
    readonly records: readonly Member[];
}

export interface Messenger {
    /** Sends one datagram and returns its size in bytes. */
    readonly send: (to: Endpoint, body: MessageBody, piggybacked?: PiggybackedData) => number;
    /** Sends the records in as many datagrams as necessary, at least one. Stops when the budget is exhausted. */
    readonly sendRecords: (to: Endpoint, bundle: RecordBundle, budget: ByteBudget) => void;
}

export interface MessengerDependencies {
    readonly transport: DatagramTransport;
    readonly codec: DatagramCodec;
    readonly self: () => Member;
    readonly queue: UpdateQueue;
    readonly heads: HeadExchange;
    readonly statistics: Statistics;
}

/** Message kinds that contain queued updates. They are sent only within the local availability zone. */
const gossipKinds: ReadonlySet<MessageKind> = new Set(["Ping", "Ack", "PingRequest", "Nack", "Gossip"]);

export const createMessenger = (dependencies: MessengerDependencies): Messenger => {
    const { transport, codec, self, queue, heads, statistics } = dependencies;

    const open = (body: MessageBody, piggybacked: PiggybackedData): DatagramBuilder => {
        const { zone, id, incarnation } = self();
        const envelope = { zone, id, incarnation, headsHash: heads.hash(), body };
        return codec.open(piggybacked.heads === undefined ? envelope : { ...envelope, heads: piggybacked.heads });
    };

    const transmit = (to: Endpoint, kind: MessageKind, datagram: DatagramBuilder): number => {
        const payload = datagram.finish();
        statistics.countSent(kind, payload.length);
        transport.send(to, payload);
        return payload.length;
    };

    const send = (to: Endpoint, body: MessageBody, piggybacked: PiggybackedData = {}): number => {
        const datagram = open(body, piggybacked);
        for (const record of piggybacked.records ?? []) {
            datagram.tryAddRecord(record);
        }
        if (gossipKinds.has(body.kind)) {
            queue.take(datagram.remainingBytes()).forEach(datagram.tryAddRecord);
        }
        return transmit(to, body.kind, datagram);
    };

    const sendRecords: Messenger["sendRecords"] = (to, { first, next, records }, budget) => {
        let body = first;
        let remaining = records;
        do {
            if (!budget.canSpend()) {
                statistics.countDropped("OverBudget");
                return;
            }
            const datagram = open(body, {});
            const firstUnsentIndex = remaining.findIndex((record) => !datagram.tryAddRecord(record));
            remaining = firstUnsentIndex < 0 ? [] : remaining.slice(firstUnsentIndex);
            budget.spend(transmit(to, body.kind, datagram));
            body = next;
        } while (remaining.length > 0);
    };

    return { send, sendRecords };
};
