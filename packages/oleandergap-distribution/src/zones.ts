/** Groups nodes by availability zone. */
import type { ZoneName } from "oleandergap-types";
import type { PeerAddress } from "./ports.js";

/** Returns the nodes of each zone, in the order in which they were passed. */
export const groupByZone = (nodes: readonly PeerAddress[]): ReadonlyMap<ZoneName, readonly PeerAddress[]> => {
    const groups = new Map<ZoneName, PeerAddress[]>();
    for (const node of nodes) {
        const group = groups.get(node.zone) ?? [];
        group.push(node);
        groups.set(node.zone, group);
    }
    return groups;
};
