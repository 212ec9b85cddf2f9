/** What a node does with the heads and versions that reach it in datagrams. */
import * as either from "fp-ts/lib/Either.js";
import type { Clock, Head, NodeId, PartnerName } from "oleandergap-types";
import { createTokenBucket } from "oleandergap-utils";
import type { ArrivalLog } from "./arrivals.js";
import type { Claim } from "./claimBook.js";
import { expandDelta, type CompactDelta } from "./compactDelta.js";
import type { SpreadOptions } from "./options.js";
import type { PeerHeads } from "./peerHeads.js";
import type { ConfigurationStorePort, PeerAddress, SpreadOutlet } from "./ports.js";
import { readHead, type HandoverMessage, type SpreadMessage } from "./spreadMessage.js";
import type { SpreadCounters } from "./statistics.js";
import type { VersionPusher } from "./versionPusher.js";

/** What a head receiver works with. */
export interface HeadReceiverDependencies {
    readonly partners: readonly PartnerName[];
    readonly store: Pick<ConfigurationStorePort, "heads" | "document" | "offerDeltas">;
    readonly outlet: Pick<SpreadOutlet, "sendHeads">;
    readonly peerHeads: PeerHeads;
    readonly pusher: Pick<VersionPusher, "accept" | "acknowledge">;
    readonly reportClaim: (claim: Claim) => void;
    readonly arrivalLog: Pick<ArrivalLog, "offerFrom">;
    readonly clock: Clock;
    readonly options: Pick<SpreadOptions, "repliesPerSecond" | "replySpacingMs">;
    readonly counters: SpreadCounters;
}

/** The entry points for all that arrives in datagrams. */
export interface HeadReceiver {
    /** Takes heads that rode on a datagram of the membership, or that a peer showed. */
    readonly receiveHeads: (from: PeerAddress, heads: readonly Head[]) => void;
    /** Takes a message that a node sent by `SpreadOutlet.send`. */
    readonly receive: (from: PeerAddress, message: SpreadMessage) => void;
}

/** Peers whose last answer is remembered; beyond it the oldest are forgotten. */
const MAX_REMEMBERED_REPLIES = 256;

/**
 * Limits the answers to peers that are behind. Without a limit, a peer that cannot take the newer version, or that
 * sends in a burst, would be answered datagram by datagram; one would see two nodes fill the link between them.
 */
const createReplyLimiter = (
    clock: Clock,
    { repliesPerSecond, replySpacingMs }: HeadReceiverDependencies["options"],
): ((peer: NodeId) => boolean) => {
    const bucket = createTokenBucket({ clock, ratePerSecond: () => repliesPerSecond, burst: repliesPerSecond });
    const lastRepliedAt = new Map<NodeId, number>();

    return (peer) => {
        const last = lastRepliedAt.get(peer);
        const isTooSoon = last !== undefined && clock.monotonic() - last < replySpacingMs;
        if (isTooSoon || !bucket.tryTake()) {
            return false;
        }
        lastRepliedAt.delete(peer);
        lastRepliedAt.set(peer, clock.monotonic());
        for (const oldest of [...lastRepliedAt.keys()].slice(0, -MAX_REMEMBERED_REPLIES)) {
            lastRepliedAt.delete(oldest);
        }
        return true;
    };
};

/** Creates the receiver of one node. What it receives is never trusted: the store checks every version. */
export const createHeadReceiver = ({
    partners,
    store,
    outlet,
    peerHeads,
    pusher,
    reportClaim,
    arrivalLog,
    clock,
    options,
    counters,
}: HeadReceiverDependencies): HeadReceiver => {
    const tryTakeReply = createReplyLimiter(clock, options);

    /** Whether we hold something that the sender's heads do not show. */
    const isPeerBehind = (heads: readonly Head[]): boolean =>
        store.heads().some((localHead) => {
            const peerHead = heads.find((head) => head.partner === localHead.partner);
            return localHead.sequence > (peerHead?.sequence ?? 0);
        });

    const recordPeerHead = (from: PeerAddress, head: Head): void => {
        peerHeads.note(from.id, head);
        reportClaim({ head, source: { kind: "Peer", peer: from } });
    };

    /** Puts the step in force if it extends what is in force here. */
    const applyDelta = (from: PeerAddress, compact: CompactDelta): void => {
        const delta = expandDelta(compact, store.document(compact.partner));
        if (delta === undefined) {
            return;
        }
        const offered = arrivalLog.offerFrom({ way: "datagram", peer: from.id }, () =>
            store.offerDeltas(compact.partner, [delta]));
        const isApplied = either.isRight(offered);
        counters.inlineApplied += isApplied ? 1 : 0;
        counters.inlineRefused += isApplied ? 0 : 1;
    };

    const receiveHandover = (from: PeerAddress, message: HandoverMessage): void => {
        const head = readHead(message);
        peerHeads.note(from.id, head);
        pusher.accept({ from, head, range: message.range });
        if (message.kind === "Step") {
            applyDelta(from, message.delta);
        }
        if (message.kind === "Offer" && message.holder !== undefined) {
            reportClaim({ head, source: { kind: "Peer", peer: message.holder } });
        }
        // Does nothing once the step is in force. A step that does not fit, or that was damaged on its way, is
        // refused by
        // the store, and its sender is then asked by a pull.
        reportClaim({ head, source: { kind: "Peer", peer: from } });
    };

    const receiveAcknowledgement = (from: PeerAddress, { partner, sequence }: Pick<Head, "partner" | "sequence">): void => {
        pusher.acknowledge(from, { partner, sequence });
        // The peer is ahead. An acknowledgement names no digest; shown our heads, the peer answers with its own.
        if (sequence > store.document(partner).sequence) {
            outlet.sendHeads(from, store.heads());
        }
    };

    return {
        receiveHeads: (from, heads) => {
            for (const head of heads.filter((candidate) => partners.includes(candidate.partner))) {
                recordPeerHead(from, head);
            }
            if (isPeerBehind(heads) && tryTakeReply(from.id)) {
                counters.repliesSent += 1;
                outlet.sendHeads(from, store.heads());
            }
        },
        receive: (from, message) => {
            const { partner } = message.kind === "Holding" ? message : readHead(message);
            if (!partners.includes(partner)) {
                return;
            }
            if (message.kind === "Holding") {
                receiveAcknowledgement(from, message);
                return;
            }
            receiveHandover(from, message);
        },
    };
};
