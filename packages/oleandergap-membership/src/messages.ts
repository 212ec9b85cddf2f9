/** Messages that nodes exchange in datagrams. */
import type { Head, Member, NodeId, ZoneName } from "oleandergap-types";

/** Message of a datagram, without the records and heads that are piggybacked on it. */
export type MessageBody =
    /**
     * Requests an `Ack` from the target. `targetId` is the expected receiver, so that another node that took over the
     * address can detect the mismatch.
     */
    | { readonly kind: "Ping"; readonly sequence: number; readonly targetId: NodeId }
    /** Replies to a `Ping`, or forwards the reply of the target to the sender of a `PingRequest`. */
    | { readonly kind: "Ack"; readonly sequence: number }
    /** Requests another member to ping the target on behalf of the sender. */
    | {
        readonly kind: "PingRequest";
        readonly sequence: number;
        readonly targetId: NodeId;
        readonly address: string;
        readonly port: number;
    }
    /** Replies to a `PingRequest` if the target did not respond. It shows that the helper itself is reachable. */
    | { readonly kind: "Nack"; readonly sequence: number }
    /** Contains member records only. */
    | { readonly kind: "Gossip" }
    /** Starts an anti-entropy comparison of the complete state. The receiver responds only if the digests differ. */
    | { readonly kind: "SyncStart"; readonly digest: number }
    /** Contains the digests of all buckets of member records. */
    | { readonly kind: "SyncBuckets"; readonly digests: readonly number[] }
    /**
     * Contains the records of differing buckets, and the numbers of the buckets whose records the sender requests in
     * return.
     */
    | { readonly kind: "SyncRecords"; readonly requestedBuckets: readonly number[] }
    /**
     * Requests a `ContactReply` from a node of a remote availability zone. If `needsContacts` is set, the reply should
     * suggest more contacts.
     */
    | { readonly kind: "ContactProbe"; readonly sequence: number; readonly needsContacts: boolean }
    /**
     * Replies to a `ContactProbe`. The piggybacked records are members of the sender's availability zone.
     * `targetsDigest` is the digest of that zone's targets; it is absent while the member list of the sender is not yet
     * complete enough.
     */
    | { readonly kind: "ContactReply"; readonly sequence: number; readonly targetsDigest?: number }
    /** Contains configuration heads only. */
    | { readonly kind: "Heads" };

export type MessageKind = MessageBody["kind"];

/** Decoded datagram. */
export interface Datagram {
    readonly zone: ZoneName;
    readonly id: NodeId;
    readonly incarnation: number;
    /** Hash of the sender's configuration heads. Heads are exchanged only if the hashes differ. */
    readonly headsHash: number;
    readonly body: MessageBody;
    /** Records of members of the sender's availability zone. */
    readonly records: readonly Member[];
    readonly heads?: readonly Head[];
}
