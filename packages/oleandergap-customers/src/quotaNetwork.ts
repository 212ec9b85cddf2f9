/** Port of the quotas to the other nodes. */
import type { LinkClass, NodeId, ZoneName } from "oleandergap-types";
import type { QuotaMessage } from "./quotaMessage.js";

/** A node that quota messages are exchanged with. */
export interface QuotaPeer {
    readonly id: NodeId;
    readonly zone: ZoneName;
    readonly address: string;
    readonly controlPort: number;
    readonly linkClass?: LinkClass | undefined;
}

/** Some nodes of another availability zone. */
export interface OtherZone {
    readonly zone: ZoneName;
    readonly contacts: readonly QuotaPeer[];
}

export interface QuotaNetwork {
    readonly self: QuotaPeer;
    /** Returns the reachable members of this node's availability zone, including this node. */
    readonly members: () => readonly QuotaPeer[];
    /** Returns the other availability zones that can be reached. */
    readonly otherZones: () => readonly OtherZone[];
    /** Returns the number of availability zones that divide the quotas, including this node's. */
    readonly countZones: () => number;
    /** Returns whether this node has its tables, which name the zones, and has met others that divide the quotas. */
    readonly isInformed: () => boolean;
    /** Sends a message without a delivery guarantee. */
    readonly send: (to: QuotaPeer, message: QuotaMessage) => void;
}
