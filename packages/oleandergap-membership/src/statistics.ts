/** Counts datagrams, bytes and events for the metrics. */
import type { MessageKind } from "./messages.js";

/** Traffic of one message kind. Byte counts are UDP payloads without the IP and UDP headers (28 bytes per datagram). */
export interface KindTraffic {
    sentDatagrams: number;
    sentBytes: number;
    receivedDatagrams: number;
    receivedBytes: number;
}

/** Reason why an incoming or outgoing datagram was dropped. */
export type DropReason =
    | "Malformed"
    | "Oversized"
    | "OtherCluster"
    | "OtherZone"
    | "OwnEcho"
    | "OverBudget"
    | "HandlerFailed";

/** Events that are counted since the start. */
export type MembershipEvent =
    | "probeSucceeded"
    | "probeFailed"
    | "suspicionStarted"
    | "suspicionCleared"
    | "declaredDead"
    | "refuted"
    | "paused"
    | "rosterWritten"
    | "rosterRead"
    | "rosterFailed"
    | "syncDiffered";

/** Snapshot of the counters. */
export interface MembershipStats {
    readonly traffic: Readonly<Record<MessageKind, Readonly<KindTraffic>>>;
    readonly dropped: Readonly<Record<DropReason, number>>;
    readonly events: Readonly<Record<MembershipEvent, number>>;
    /** Local health score as defined by Lifeguard; 0 means healthy. */
    readonly healthScore: number;
}

export interface Statistics {
    readonly countSent: (kind: MessageKind, bytes: number) => void;
    readonly countReceived: (kind: MessageKind, bytes: number) => void;
    readonly countDropped: (reason: DropReason) => void;
    readonly countEvent: (event: MembershipEvent) => void;
    readonly read: () => Omit<MembershipStats, "healthScore">;
}

const createTraffic = (): KindTraffic => ({ sentDatagrams: 0, sentBytes: 0, receivedDatagrams: 0, receivedBytes: 0 });

const createKindTraffic = (): Record<MessageKind, KindTraffic> => ({
    Ping: createTraffic(),
    Ack: createTraffic(),
    PingRequest: createTraffic(),
    Nack: createTraffic(),
    Gossip: createTraffic(),
    SyncStart: createTraffic(),
    SyncBuckets: createTraffic(),
    SyncRecords: createTraffic(),
    ContactProbe: createTraffic(),
    ContactReply: createTraffic(),
    Heads: createTraffic(),
});

const createDropped = (): Record<DropReason, number> => ({
    Malformed: 0,
    Oversized: 0,
    OtherCluster: 0,
    OtherZone: 0,
    OwnEcho: 0,
    OverBudget: 0,
    HandlerFailed: 0,
});

const createEvents = (): Record<MembershipEvent, number> => ({
    probeSucceeded: 0,
    probeFailed: 0,
    suspicionStarted: 0,
    suspicionCleared: 0,
    declaredDead: 0,
    refuted: 0,
    paused: 0,
    rosterWritten: 0,
    rosterRead: 0,
    rosterFailed: 0,
    syncDiffered: 0,
});

export const createStatistics = (): Statistics => {
    const traffic = createKindTraffic();
    const dropped = createDropped();
    const events = createEvents();
    return {
        countSent: (kind, bytes) => {
            traffic[kind].sentDatagrams += 1;
            traffic[kind].sentBytes += bytes;
        },
        countReceived: (kind, bytes) => {
            traffic[kind].receivedDatagrams += 1;
            traffic[kind].receivedBytes += bytes;
        },
        countDropped: (reason) => {
            dropped[reason] += 1;
        },
        countEvent: (event) => {
            events[event] += 1;
        },
        read: () => structuredClone({ traffic, dropped, events }),
    };
};
