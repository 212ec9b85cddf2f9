/** What the membership offers to the other parts of a node. */
import type { Clock, Head, Member, MemberTarget, NodeId, ObjectStore, ZoneName } from "oleandergap-types";
import type { Logger } from "oleandergap-logger";
import type { Random } from "oleandergap-utils";
import type { MembershipOptions } from "./options.js";
import type { MembershipStats } from "./statistics.js";
import type { DatagramTransport, Endpoint } from "./transport.js";
import type { ReceiveZoneDigest } from "./zoneDigests.js";

/** A node that can be reached, in this or another availability zone. */
export interface Contact {
    readonly id: NodeId;
    readonly zone: ZoneName;
    readonly address: string;
    readonly controlPort: number;
}

/** What the node knows of itself at its start. */
export type SelfDescription = Pick<Member, "id" | "zone" | "address" | "controlPort" | "gatePort" | "linkClass">;

/** Asks a member of the own zone for contacts in other zones; none when it does not answer. Never rejects. */
export type FetchContacts = (member: Member, signal: AbortSignal) => Promise<readonly Contact[]>;

/** A message of another part that is sent over the membership's transport. */
export interface PushMessage {
    readonly kind: "Heads";
    /** At most the first 8 are sent. */
    readonly heads: readonly Head[];
}

/** `from` is the node that sent the heads, in this or another availability zone. */
export type ReceiveHeads = (from: Contact, heads: readonly Head[]) => void;

/** Lets configuration heads ride on the datagrams. */
export interface HeadPiggyback {
    /** The heads in force at this node. Called for each datagram, so it must be cheap. */
    readonly heads: () => readonly Head[];
    /** Receives piggybacked and pushed heads; more can be registered with `subscribeHeads`. Must not throw. */
    readonly receiveHeads?: ReceiveHeads;
}

/** A member of the own availability zone joined, changed, or is gone. */
export interface MemberChange {
    readonly kind: "MemberChanged";
    readonly member: Member;
    readonly previous: Member | undefined;
}

/** Ends a subscription; calling it again does nothing. */
export type Unsubscribe = () => void;

/** Ports and settings of one node's membership. */
export interface MembershipDependencies {
    readonly self: SelfDescription;
    readonly clock: Clock;
    readonly random: Random;
    readonly transport: DatagramTransport;
    readonly logger: Logger;
    readonly options: MembershipOptions;
    readonly piggyback: HeadPiggyback;
    /** Holds the rosters; without it, only seeds and learnt contacts are used. */
    readonly objectStore?: ObjectStore;
    /** Lets members pass on the contacts that one of them found; without it, each node reads the rosters. */
    readonly fetchContacts?: FetchContacts;
    /**
     * Digest of the own zone's targets, told to nodes of other zones; undefined while this node knows too little of its
     * zone to vouch for it. Called for each contact probe, so it must be cheap. Without it, nothing is told.
     */
    readonly targetsDigest?: () => number | undefined;
}

/** One node's view of its availability zone, and its contacts in the others. */
export interface Membership {
    /**
     * Binds the transport, joins the zone and runs until `signal` aborts. Resolves once another member answered, or
     * after the join timeout, whichever comes first. Rejects when the control port cannot be bound.
     */
    readonly start: (signal: AbortSignal) => Promise<void>;
    /** The own availability zone's members that are alive or suspect, this node included. */
    readonly members: () => readonly Member[];
    /** Any member of the own zone as last heard of, gone ones included. */
    readonly member: (id: NodeId) => Member | undefined;
    readonly self: () => Member;
    /** Announces this node's target, a change of it, or, with undefined, that there is none. */
    readonly setTarget: (target: MemberTarget | undefined) => void;
    /** Tells the zone that this node leaves. Resolves when enough members were told. */
    readonly leave: () => Promise<void>;
    readonly subscribe: (listener: (change: MemberChange) => void) => Unsubscribe;
    readonly subscribeHeads: (listener: ReceiveHeads) => Unsubscribe;
    /** Sends a message to a node by its address and control port. Datagrams may be lost. */
    readonly send: (address: string, controlPort: number, message: PushMessage) => void;
    readonly sendTo: (member: Pick<Contact, "address" | "controlPort">, message: PushMessage) => void;
    /** Adds endpoints of the own availability zone at which members may be found. */
    readonly join: (contacts: readonly Endpoint[]) => void;
    /** Nodes of another availability zone, those that answer first. Empty when none is known. */
    readonly contactsOf: (zone: ZoneName) => readonly Contact[];
    /** Tells that a contact did not answer another part; it is named last until it is heard again. */
    readonly reportSilent: (contact: Contact) => void;
    /** Adds availability zones, for example those of the table, so that contacts are looked for in them. */
    readonly addZones: (zones: readonly ZoneName[]) => void;
    /**
     * Probes a contact of another availability zone at once, besides the periodic probes. Returns the sequence that its
     * answer will carry, or undefined when nobody of that zone is known.
     */
    readonly probeZone: (zone: ZoneName) => number | undefined;
    /** Hears the digests that other availability zones' nodes tell of their targets, in any order. */
    readonly subscribeZoneDigests: (listener: ReceiveZoneDigest) => Unsubscribe;
    /** The other availability zones known from seeds, rosters and messages. */
    readonly zones: () => readonly ZoneName[];
    readonly stats: () => MembershipStats;
}
