/** The nodes that a component exchanges messages with by gossip. */

/** The nodes that can be reached. */
export interface GossipPeers<Peer> {
    /** Members of this node's availability zone, without this node. */
    readonly members: () => readonly Peer[];
    /** Some nodes of each other availability zone. */
    readonly contacts: () => readonly Peer[];
    /** Returns whether this node is the first of its zone, in an order that all members of the zone share. */
    readonly isFirstInZone: () => boolean;
}

/** The nodes that can be reached, and how to send to them. */
export interface GossipNetwork<Peer, Message> extends GossipPeers<Peer> {
    /** Sends a message without guaranteed delivery. */
    readonly send: (to: Peer, message: Message) => void;
}
