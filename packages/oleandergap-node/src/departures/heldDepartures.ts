/** The departures that this node holds for other nodes. */
import type { NodeId } from "oleandergap-types";
import { formatLifetime, type Departure } from "./departure.js";
import { MAX_HELD } from "./departureMessages.js";

/** Maximum number of nodes whose departures are held. The one with the earliest latest departure is dropped first. */
const MAX_NODES = 1024;

/** Departures by node. */
export interface HeldDepartures {
    readonly hold: (nodeId: NodeId, departure: Departure) => void;
    readonly find: (nodeId: NodeId) => readonly Departure[];
}

/** Creates an empty collection. */
export const createHeldDepartures = (): HeldDepartures => {
    const departuresByNode = new Map<NodeId, readonly Departure[]>();

    const dropOldestNode = (): void => {
        const [oldest] = departuresByNode.keys();
        if (departuresByNode.size > MAX_NODES && oldest !== undefined) {
            departuresByNode.delete(oldest);
        }
    };

    return {
        hold: (nodeId, departure) => {
            const others = (departuresByNode.get(nodeId) ?? [])
                .filter((held) => formatLifetime(held) !== formatLifetime(departure));
            departuresByNode.delete(nodeId);
            departuresByNode.set(nodeId, [...others, departure].slice(-MAX_HELD));
            dropOldestNode();
        },
        find: (nodeId) => departuresByNode.get(nodeId) ?? [],
    };
};
