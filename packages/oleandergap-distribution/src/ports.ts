/**
 * What this package needs of the store, the membership, the network and the platform. The wiring of the daemon passes
 * the real ones; tests pass fakes.
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
import type { ZoneTargetsAnswer, ZoneTargetsRequest } from "oleandergap-membership";
import type { PeerError } from "./peerError.js";
import type { ContactsAnswer, HeadsAnswer, PingAnswer, VersionAnswer } from "./peerSchemas.js";
import type { SpreadMessage } from "./spreadMessage.js";

/** Where a peer is reached. */
export type PeerAddress = Pick<Member, "id" | "zone" | "address" | "controlPort">;

/** A member of the own availability zone. */
export type FleetMember = PeerAddress & Pick<Member, "linkClass">;

/** Why the store did not apply a version; only the kind is looked at, for the log. */
export interface VersionRefusal {
    readonly kind: string;
}

/** The versions that this node holds. It applies a version whole or not at all, and never a lower or equal one. */
export interface ConfigurationStorePort {
    readonly heads: () => readonly Head[];
    readonly document: (partner: PartnerName) => PartnerDocument;
    /** The steps that follow `sequence`; undefined when they are no longer held. */
    readonly deltasSince: (partner: PartnerName, sequence: Sequence) => readonly Delta[] | undefined;
    /** The step that led to version `sequence`; undefined when it is not held. */
    readonly deltaTo: (partner: PartnerName, sequence: Sequence) => Delta | undefined;
    /** Whether fetching `head` makes sense: it is above the version in force and was not found invalid before. */
    readonly isWanted: (head: Head) => boolean;
    readonly offerDocument: (document: PartnerDocument) => Either<VersionRefusal, unknown>;
    readonly offerDeltas: (partner: PartnerName, deltas: readonly Delta[]) => Either<VersionRefusal, unknown>;
    /** Calls `listener` after each version that was applied; the result ends it. */
    readonly subscribe: (listener: (head: Head) => void) => () => void;
}

/** The nodes that this node knows. */
export interface FleetPort {
    readonly self: () => PeerAddress;
    /** Members of the own availability zone that are not known to be dead, with this node. */
    readonly members: () => readonly FleetMember[];
    /** Some nodes of the other availability zones. */
    readonly contacts: () => readonly PeerAddress[];
}

/** Sends without waiting and without any promise that the message arrives. */
export interface SpreadOutlet {
    /** Heads are only claims: whoever hears a higher one pulls the version itself. */
    readonly sendHeads: (to: PeerAddress, heads: readonly Head[]) => void;
    readonly send: (to: PeerAddress, message: SpreadMessage) => void;
}

/** Asks for the steps after a version. */
export interface DeltasQuery {
    readonly partner: PartnerName;
    /** The highest version that the asking node holds. */
    readonly sequence: Sequence;
}

/** Asks for the whole version in force. */
export interface DocumentQuery {
    readonly partner: PartnerName;
}

/** Told each time that a part of an answer has arrived. */
export type ProgressListener = () => void;

/** Calls to another node. Each ends when `signal` aborts, and in any case after the client's own timeout. */
export interface PeerPort {
    readonly ping: (peer: PeerAddress, signal: AbortSignal) => TaskEither<PeerError, PingAnswer>;
    readonly heads: (peer: PeerAddress, signal: AbortSignal) => TaskEither<PeerError, HeadsAnswer>;
    readonly deltasSince: (
        peer: PeerAddress,
        query: DeltasQuery,
        signal: AbortSignal,
        onProgress?: ProgressListener,
    ) => TaskEither<PeerError, VersionAnswer>;
    readonly document: (
        peer: PeerAddress,
        query: DocumentQuery,
        signal: AbortSignal,
        onProgress?: ProgressListener,
    ) => TaskEither<PeerError, PartnerDocument>;
}

/** Calls to another node on behalf of the membership. */
export interface PeerDirectoryPort {
    readonly zoneTargets: (
        peer: PeerAddress,
        request: ZoneTargetsRequest,
        signal: AbortSignal,
    ) => TaskEither<PeerError, ZoneTargetsAnswer>;
    readonly contacts: (peer: PeerAddress, signal: AbortSignal) => TaskEither<PeerError, ContactsAnswer>;
}

/** Reads accepted versions from the platform; see `ConfigurationSource` for what each call costs. */
export type ConfigurationSourcePort = Pick<ConfigurationSource, "readHeads" | "readDeltas" | "readDocument" | "holdsDocuments">;
