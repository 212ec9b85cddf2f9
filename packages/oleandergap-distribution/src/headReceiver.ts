/** Handles the heads and versions that a node receives in datagrams. */
import * as either from "fp-ts/lib/Either.js";
import type { Clock, Head, NodeId, PartnerName } from "oleandergap-types";
import { createTokenBucket } from "oleandergap-utils";
import type { ArrivalLog } from "./arrivalLog.js";
import type { Claim } from "./claimRegistry.js";
import { expandDelta, type CompactDelta } from "./compactDelta.js";
import type { SpreadOptions } from "./options.js";
import type { PeerHeads } from "./peerHeads.js";
import type { ConfigurationStorePort, PeerAddress, SpreadSender } from "./ports.js";
import { readHead, type HandoverMessage, type SpreadMessage } from "./spreadMessage.js";
import type { SpreadCounters } from "./statistics.js";
import type { VersionPusher } from "./versionPusher.js";

/** Dependencies of a head receiver. */
export interface HeadReceiverDependencies {
    readonly partners: readonly PartnerName[];
    readonly store: Pick<ConfigurationStorePort, "heads" | "document" | "offerDeltas">;
    readonly sender: Pick<SpreadSender, "sendHeads">;
    readonly peerHeads: PeerHeads;
    readonly pusher: Pick<VersionPusher, "accept" | "acknowledge">;
    readonly reportClaim: (claim: Claim) => void;
    readonly arrivalLog: Pick<ArrivalLog, "offerFrom">;
    readonly clock: Clock;
    readonly options: Pick<SpreadOptions, "repliesPerSecond" | "replySpacingMs">;
    readonly counters: SpreadCounters;
}

/** Entry points for the messages of the distribution that arrive in datagrams. */
export interface HeadReceiver {
    /** Handles heads that were piggybacked on a datagram of the membership or sent by a peer. */
    readonly receiveHeads: (from: PeerAddress, heads: readonly Head[]) => void;
    /** Handles a message that a node sent with `SpreadSender.send`. */
    readonly receive: (from: PeerAddress, message: SpreadMessage) => void;
}

/** Maximum number of peers whose last reply time is stored. If there are more, the oldest entries are removed. */
const MAX_REPLY_TIMES = 256;

/**
 * Creates the rate limiter of replies to peers that hold lower versions. Without a limit, a peer that cannot apply the
 * newer version, or that sends a burst of datagrams, would receive a reply to each datagram. The two nodes would then
 * saturate the link between them.
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
        for (const oldest of [...lastRepliedAt.keys()].slice(0, -MAX_REPLY_TIMES)) {
            lastRepliedAt.delete(oldest);
        }
        return true;
    };
};

/** Creates the receiver of one node. Received data is never trusted: the store validates every version. */
export const createHeadReceiver = ({
    partners,
    store,
    sender,
    peerHeads,
    pusher,
    reportClaim,
    arrivalLog,
    clock,
    options,
    counters,
}: HeadReceiverDependencies): HeadReceiver => {
    const tryTakeReply = createReplyLimiter(clock, options);

    /** Returns whether this node holds a version that is newer than the sender's head of the same partner. */
    const isPeerOutdated = (heads: readonly Head[]): boolean =>
        store.heads().some((localHead) => {
            const peerHead = heads.find((head) => head.partner === localHead.partner);
            return localHead.sequence > (peerHead?.sequence ?? 0);
        });

    const recordPeerHead = (from: PeerAddress, head: Head): void => {
        peerHeads.record(from.id, head);
        reportClaim({ head, source: { kind: "Peer", peer: from } });
    };

    /** Applies the delta if it extends the version in force at this node. */
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
        peerHeads.record(from.id, head);
        pusher.accept({ from, head, range: message.range });
        if (message.kind === "Step") {
            applyDelta(from, message.delta);
        }
        if (message.kind === "Offer" && message.holder !== undefined) {
            reportClaim({ head, source: { kind: "Peer", peer: message.holder } });
        }
        // Has no effect if the delta was applied. The store rejects a delta that does not extend the version in force
        // or that was corrupted in transit. The claim then starts a pull from the sender.
        reportClaim({ head, source: { kind: "Peer", peer: from } });
    };

    const receiveAcknowledgement = (
        from: PeerAddress,
        { partner, sequence }: Pick<Head, "partner" | "sequence">,
    ): void => {
        pusher.acknowledge(from, { partner, sequence });
        // The peer holds a higher version, but an acknowledgement contains no digest. The peer replies to the heads of
        // this node with its own heads.
        if (sequence > store.document(partner).sequence) {
            sender.sendHeads(from, store.heads());
        }
    };

    return {
        receiveHeads: (from, heads) => {
            for (const head of heads.filter((candidate) => partners.includes(candidate.partner))) {
                recordPeerHead(from, head);
            }
            if (isPeerOutdated(heads) && tryTakeReply(from.id)) {
                counters.repliesSent += 1;
                sender.sendHeads(from, store.heads());
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
