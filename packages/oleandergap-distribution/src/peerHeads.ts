/** Tracks which versions the peers hold, so that no peer is sent a version that it already holds. */
import type { Head, NodeId, PartnerName, Sequence } from "oleandergap-types";

/** The highest version of each partner that each peer is known to hold. */
export interface PeerHeads {
    /** Records that a peer holds a version. */
    readonly record: (peer: NodeId, head: Pick<Head, "partner" | "sequence">) => void;
    /** Returns whether a peer is known to hold this version or a higher one. */
    readonly holds: (peer: NodeId, head: Pick<Head, "partner" | "sequence">) => boolean;
    /** Removes all peers except these. */
    readonly retain: (peers: ReadonlySet<NodeId>) => void;
}

/** Creates an empty record. */
export const createPeerHeads = (): PeerHeads => {
    const sequences = new Map<NodeId, Map<PartnerName, Sequence>>();
    const getSequence = (peer: NodeId, partner: PartnerName): Sequence => sequences.get(peer)?.get(partner) ?? -1;

    return {
        record: (peer, { partner, sequence }) => {
            if (sequence <= getSequence(peer, partner)) {
                return;
            }
            const peerSequences = sequences.get(peer) ?? new Map<PartnerName, Sequence>();
            peerSequences.set(partner, sequence);
            sequences.set(peer, peerSequences);
        },
        holds: (peer, { partner, sequence }) => getSequence(peer, partner) >= sequence,
        retain: (peers) => {
            for (const peer of sequences.keys()) {
                if (!peers.has(peer)) {
                    sequences.delete(peer);
                }
            }
        },
    };
};
