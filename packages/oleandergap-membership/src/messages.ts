/** The messages that nodes exchange in datagrams. */
import type { Head, Member, NodeId, ZoneName } from "oleandergap-types";

/** What a datagram asks or tells, apart from the records and heads that ride along. */
export type MessageBody =
    /** Asks the target for an `Ack`. Names whom the sender expects, so that a successor at the address can tell. */
    | { readonly kind: "Ping"; readonly sequence: number; readonly targetId: NodeId }
    /** Answers a `Ping`, or passes the target's answer on to whoever sent a `PingRequest`. */
    | { readonly kind: "Ack"; readonly sequence: number }
    /** Asks a third member to ping the target. */
    | {
        readonly kind: "PingRequest";
        readonly sequence: number;
        readonly targetId: NodeId;
        readonly address: string;
        readonly port: number;
    }
    /** Answers a `PingRequest` whose target stayed silent: the helper itself can be reached. */
    | { readonly kind: "Nack"; readonly sequence: number }
    /** Carries member records only. */
    | { readonly kind: "Gossip" }
    /** Opens a comparison of the whole state. Answered only when the digests differ. */
    | { readonly kind: "SyncStart"; readonly digest: number }
    /** The digests of all buckets of member records. */
    | { readonly kind: "SyncBuckets"; readonly digests: readonly number[] }
    /** Carries records of buckets that differ, and names the buckets that the sender wants in return. */
    | { readonly kind: "SyncRecords"; readonly requestedBuckets: readonly number[] }
    /** Asks a node of another availability zone for a `ContactReply`; `wanted` asks for more contacts. */
    | { readonly kind: "ContactProbe"; readonly sequence: number; readonly needsContacts: boolean }
    /**
     * Answers a `ContactProbe`; its records are members of the sender's availability zone. The digest is that of the
     * zone's targets, absent while the sender cannot vouch for it.
     */
    | { readonly kind: "ContactReply"; readonly sequence: number; readonly targetsDigest?: number }
    /** Carries configuration heads only. */
    | { readonly kind: "Heads" };

export type MessageKind = MessageBody["kind"];

/** A datagram as sent and received. */
export interface Datagram {
    readonly zone: ZoneName;
    readonly id: NodeId;
    readonly incarnation: number;
    /** Hash of the sender's configuration heads; equal hashes mean that nothing has to be exchanged. */
    readonly headsHash: number;
    readonly body: MessageBody;
    /** Records of members of the sender's availability zone. */
    readonly records: readonly Member[];
    readonly heads?: readonly Head[];
}
