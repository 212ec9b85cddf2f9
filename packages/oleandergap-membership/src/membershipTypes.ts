/** Interface of the membership for the other components of a node. */
import type { Clock, Head, Member, MemberTarget, NodeId, ObjectStore, ZoneName } from "oleandergap-types";
import type { Logger } from "oleandergap-logger";
import type { Random } from "oleandergap-utils";
import type { MembershipOptions } from "./options.js";
import type { MembershipStats } from "./statistics.js";
import type { DatagramTransport, Endpoint } from "./transport.js";
import type { ReceiveZoneDigest } from "./zoneDigests.js";

/** Reachable node in this or a remote availability zone. */
export interface Contact {
    readonly id: NodeId;
    readonly zone: ZoneName;
    readonly address: string;
    readonly controlPort: number;
}

/** Properties of the node that are known before it starts. */
export type SelfDescription = Pick<Member, "id" | "zone" | "address" | "controlPort" | "gatePort" | "linkClass">;

/**
 * Requests contacts in remote zones from a member of the local zone. Returns an empty list if the member does not
 * respond. Never rejects.
 */
export type FetchContacts = (member: Member, signal: AbortSignal) => Promise<readonly Contact[]>;

/** Message of another component that is sent over the transport of the membership. */
export interface PushMessage {
    readonly kind: "Heads";
    /** Heads to send; only the first 8 are sent. */
    readonly heads: readonly Head[];
}

/** Receives heads. `from` is the node that sent them, in this or a remote availability zone. */
export type ReceiveHeads = (from: Contact, heads: readonly Head[]) => void;

/** Piggybacks configuration heads on the datagrams of the membership. */
export interface HeadPiggyback {
    /** Returns the heads that are active on this node. It is called for each datagram, so it must be cheap. */
    readonly heads: () => readonly Head[];
    /**
     * Receives piggybacked and pushed heads. Further listeners can be registered with `subscribeHeads`. Must not throw.
     */
    readonly receiveHeads?: ReceiveHeads;
}

/** A member of the local availability zone joined, changed, died or left. */
export interface MemberChange {
    readonly kind: "MemberChanged";
    readonly member: Member;
    readonly previous: Member | undefined;
}

/** Ends a subscription. Further calls have no effect. */
export type Unsubscribe = () => void;

/** Ports and options of the membership of one node. */
export interface MembershipDependencies {
    readonly self: SelfDescription;
    readonly clock: Clock;
    readonly random: Random;
    readonly transport: DatagramTransport;
    readonly logger: Logger;
    readonly options: MembershipOptions;
    readonly piggyback: HeadPiggyback;
    /**
     * Object store that contains the rosters. Without it, only seeds and contacts received from other nodes are used.
     */
    readonly objectStore?: ObjectStore;
    /**
     * Requests contacts from another member of the local zone, so that only a few members have to read the rosters.
     * Without it, each node reads the rosters.
     */
    readonly fetchContacts?: FetchContacts;
    /**
     * Returns the digest of the targets of the local zone, which is sent to nodes of remote zones, or undefined while
     * the member list of this node is not yet complete enough. It is called for each contact probe, so it must be
     * cheap. Without it, no digest is sent.
     */
    readonly targetsDigest?: () => number | undefined;
}

/** View of one node on the members of its availability zone, and its contacts in the remote zones. */
export interface Membership {
    /**
     * Binds the transport, joins the zone and runs until `signal` aborts. Resolves when another member has responded or
     * after the join timeout, whichever is earlier. Rejects if the control port cannot be bound.
     */
    readonly start: (signal: AbortSignal) => Promise<void>;
    /** Returns the alive and suspect members of the local availability zone, including this node. */
    readonly members: () => readonly Member[];
    /** Returns the latest record of a member of the local zone, even if the member has died or left. */
    readonly member: (id: NodeId) => Member | undefined;
    readonly self: () => Member;
    /** Announces the target of this node, or, if `target` is undefined, that the node has no target. */
    readonly setTarget: (target: MemberTarget | undefined) => void;
    /**
     * Announces to the zone that this node is leaving. Resolves when the announcement has been sent to enough members.
     */
    readonly leave: () => Promise<void>;
    readonly subscribe: (listener: (change: MemberChange) => void) => Unsubscribe;
    readonly subscribeHeads: (listener: ReceiveHeads) => Unsubscribe;
    /** Sends a message to a node identified by its address and control port. Datagrams may be lost. */
    readonly send: (address: string, controlPort: number, message: PushMessage) => void;
    readonly sendTo: (member: Pick<Contact, "address" | "controlPort">, message: PushMessage) => void;
    /** Adds endpoints of the local availability zone at which members may be found. */
    readonly join: (contacts: readonly Endpoint[]) => void;
    /**
     * Returns contacts in a remote availability zone, the most responsive ones first. The list is empty if none are
     * known.
     */
    readonly contactsOf: (zone: ZoneName) => readonly Contact[];
    /**
     * Reports that a contact did not respond to another component. The contact is listed last until its next datagram
     * arrives.
     */
    readonly reportUnresponsive: (contact: Contact) => void;
    /** Adds availability zones, for example those of the routing table, so that contacts in them are searched for. */
    readonly addZones: (zones: readonly ZoneName[]) => void;
    /**
     * Probes a contact of a remote availability zone immediately, in addition to the periodic probes. Returns the
     * sequence number of the expected reply, or undefined if no contact of that zone is known.
     */
    readonly probeZone: (zone: ZoneName) => number | undefined;
    /**
     * Subscribes to the target digests that nodes of remote availability zones send. Digests may arrive in any order.
     */
    readonly subscribeZoneDigests: (listener: ReceiveZoneDigest) => Unsubscribe;
    /** Returns the remote availability zones that are known from seeds, rosters and messages. */
    readonly zones: () => readonly ZoneName[];
    readonly stats: () => MembershipStats;
}
