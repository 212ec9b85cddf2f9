/** Remembers which versions the peers have shown, so that nobody is sent what it already holds. */
import type { Head, NodeId, PartnerName, Sequence } from "oleandergap-types";

/** The highest version of each partner that each peer has shown. */
export interface PeerHeads {
    /** Notes that a peer showed a head. */
    readonly note: (peer: NodeId, head: Pick<Head, "partner" | "sequence">) => void;
    /** Whether a peer has shown this version or a higher one. */
    readonly holds: (peer: NodeId, head: Pick<Head, "partner" | "sequence">) => boolean;
    /** Forgets all peers but these. */
    readonly retain: (peers: ReadonlySet<NodeId>) => void;
}

/** Creates an empty record. */
export const createPeerHeads = (): PeerHeads => {
    const sequences = new Map<NodeId, Map<PartnerName, Sequence>>();
    const getSequence = (peer: NodeId, partner: PartnerName): Sequence => sequences.get(peer)?.get(partner) ?? -1;

    return {
        note: (peer, { partner, sequence }) => {
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
