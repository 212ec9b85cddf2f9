/**
 * Interfaces through which this package uses the store, the membership, the network and the platform. The daemon
 * passes the real implementations; tests pass fakes.
 */
import type { Either } from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import type {
    Delta,
    Head,
    Member,
    PartnerDocument,
    PartnerName,
    Sequence,
} from "oleandergap-types";
import type { ConfigurationSource } from "oleandergap-configuration";
import type { ZoneTargetsResponse, ZoneTargetsRequest } from "oleandergap-membership";
import type { PeerError } from "./peerError.js";
import type { ContactsResponse, HeadsResponse, PingResponse, VersionResponse } from "./peerSchemas.js";
import type { SpreadMessage } from "./spreadMessage.js";

/** Identity and network address of a peer. */
export type PeerAddress = Pick<Member, "id" | "zone" | "address" | "controlPort">;

/** A member of the local availability zone. */
export type FleetMember = PeerAddress & Pick<Member, "linkClass">;

/** Reason why the store did not apply a version. Only `kind` is used, for the log. */
export interface VersionRefusal {
    readonly kind: string;
}

/**
 * The store of the versions that this node holds. It applies a version completely or not at all, and it never applies
 * a version whose sequence is lower than or equal to the one in force.
 */
export interface ConfigurationStorePort {
    readonly heads: () => readonly Head[];
    readonly document: (partner: PartnerName) => PartnerDocument;
    /** Returns the deltas that follow `sequence`, or undefined if the store no longer holds them. */
    readonly deltasSince: (partner: PartnerName, sequence: Sequence) => readonly Delta[] | undefined;
    /** Returns the delta that led to version `sequence`, or undefined if the store does not hold it. */
    readonly deltaTo: (partner: PartnerName, sequence: Sequence) => Delta | undefined;
    /** Returns whether `head` is above the version in force and was not found invalid before. */
    readonly needsVersion: (head: Head) => boolean;
    readonly offerDocument: (document: PartnerDocument) => Either<VersionRefusal, unknown>;
    readonly offerDeltas: (partner: PartnerName, deltas: readonly Delta[]) => Either<VersionRefusal, unknown>;
    /** Calls `listener` after each applied version. Returns a function that ends the subscription. */
    readonly subscribe: (listener: (head: Head) => void) => () => void;
}

/** The nodes in this node's membership view. */
export interface FleetPort {
    readonly self: () => PeerAddress;
    /** Returns the members of the local availability zone that are not marked as dead, including this node. */
    readonly members: () => readonly FleetMember[];
    /** Returns some nodes of the other availability zones. */
    readonly contacts: () => readonly PeerAddress[];
}

/** Sends datagrams without waiting and without a delivery guarantee. */
export interface SpreadSender {
    /** Sends heads. The receiver treats them as unverified claims and pulls the version itself if a head is higher. */
    readonly sendHeads: (to: PeerAddress, heads: readonly Head[]) => void;
    readonly send: (to: PeerAddress, message: SpreadMessage) => void;
}

/** Requests the deltas after a version. */
export interface DeltasQuery {
    readonly partner: PartnerName;
    /** Highest version that the requesting node holds. */
    readonly sequence: Sequence;
}

/** Requests the whole document of the version in force. */
export interface DocumentQuery {
    readonly partner: PartnerName;
}

/**
 * Called each time a part of a response arrives, with the share of the whole response that has arrived so far, from 0
 * to 1. The share is undefined if the length of the response is unknown.
 */
export type ProgressListener = (arrivedShare?: number) => void;

/** Calls to another node. Each call ends when `signal` aborts, and at the latest after the client's own timeout. */
export interface PeerPort {
    readonly ping: (peer: PeerAddress, signal: AbortSignal) => TaskEither<PeerError, PingResponse>;
    readonly heads: (peer: PeerAddress, signal: AbortSignal) => TaskEither<PeerError, HeadsResponse>;
    readonly deltasSince: (
        peer: PeerAddress,
        query: DeltasQuery,
        signal: AbortSignal,
        onProgress?: ProgressListener,
    ) => TaskEither<PeerError, VersionResponse>;
    readonly document: (
        peer: PeerAddress,
        query: DocumentQuery,
        signal: AbortSignal,
        onProgress?: ProgressListener,
    ) => TaskEither<PeerError, PartnerDocument>;
}

/** Calls to another node that the membership uses. */
export interface PeerDirectoryPort {
    readonly zoneTargets: (
        peer: PeerAddress,
        request: ZoneTargetsRequest,
        signal: AbortSignal,
    ) => TaskEither<PeerError, ZoneTargetsResponse>;
    readonly contacts: (peer: PeerAddress, signal: AbortSignal) => TaskEither<PeerError, ContactsResponse>;
}

/** Reads accepted versions from the platform. `ConfigurationSource` documents the cost of each call. */
export type ConfigurationSourcePort = Pick<ConfigurationSource, "readHeads" | "readDeltas" | "readDocument" | "holdsDocuments">;
