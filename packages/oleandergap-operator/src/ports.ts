/**
 * Interfaces that the operators' interface requires from the rest of a node. The module that wires a node provides
 * them.
 */
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import type { ChangeService } from "oleandergap-configuration";
import type { Rollouts } from "oleandergap-rollout";
import type {
    Head, Member, NodeId, PartnerDocument, PartnerName, PlatformError, ServiceName, ServiceReference, ZoneName,
} from "oleandergap-types";

/**
 * Accepts changes and reads accepted ones. Every call needs the platform. The node's wiring may announce the new head
 * to other nodes when `accept` succeeds.
 */
export type ChangePort = ChangeService;

/** Access to the versions of the table: those in force at this node and those accepted at the platform. */
export interface TablePort {
    /** False until this node has recovered its configuration. */
    readonly isReady: () => boolean;
    /** Returns the version that this node serves from. */
    readonly inForce: (partner: PartnerName) => PartnerDocument;
    /** Returns the services in the version that this node serves from. */
    readonly listServices: (partner: PartnerName) => readonly ServiceName[];
    /** Reads the newest accepted version from the platform. */
    readonly accepted: (partner: PartnerName, signal: AbortSignal) => TaskEither<PlatformError, PartnerDocument>;
    /** Reads the accepted heads of all partners from the platform in one read. */
    readonly acceptedHeads: (signal: AbortSignal) => TaskEither<PlatformError, readonly Head[]>;
}

/** Versions that a node has applied, or the reason why they could not be determined. */
export type AppliedHeads =
    | { readonly kind: "Known"; readonly heads: readonly Head[] }
    | { readonly kind: "Unknown"; readonly detail: string };

/** Node with the versions that it serves from. */
export interface FleetNode {
    readonly member: Member;
    readonly applied: AppliedHeads;
}

/** State of the fleet as seen from this node. */
export interface FleetReport {
    readonly nodes: readonly FleetNode[];
    /** Zones that could not be queried. Their nodes are missing from `nodes`. */
    readonly unknownZones: readonly { readonly zone: ZoneName; readonly detail: string }[];
}

/** Reason why a target was not drained. */
export type DrainError =
    /** The node no longer has a target of this service. */
    | { readonly kind: "NoSuchTarget" }
    | { readonly kind: "NodeUnreachable"; readonly detail: string };

/** Requests to the other nodes of the fleet. */
export interface FleetPort {
    /**
     * Reports the members of all zones and, with `withHeads`, the versions that each member has applied. It never
     * fails: the report lists what could not be determined.
     */
    readonly report: (query: { readonly withHeads: boolean }, signal: AbortSignal) => Promise<FleetReport>;
    /**
     * Sends a node the request to drain its target, provided that the target still belongs to `service`. Between the
     * ownership check and the drain, a target of another partner may have replaced it.
     */
    readonly drain: (
        request: { readonly nodeId: NodeId; readonly service: ServiceReference },
        signal: AbortSignal,
    ) => TaskEither<DrainError, void>;
}

/** Roll-outs as this node knows them. */
export type RolloutPort = Pick<Rollouts<never>, "submit" | "abort" | "list">;
