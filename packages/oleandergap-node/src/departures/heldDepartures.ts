/** The departures that this node holds for other nodes. */
import type { NodeId } from "oleandergap-types";
import { formatSubject, selectLatest, type Departure } from "./departure.js";
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
            const held = departuresByNode.get(nodeId) ?? [];
            const isSameSubject = (other: Departure): boolean => formatSubject(other) === formatSubject(departure);
            const [latest = departure] = selectLatest([...held.filter(isSameSubject), departure]);
            departuresByNode.delete(nodeId);
            departuresByNode.set(nodeId, [...held.filter((other) => !isSameSubject(other)), latest].slice(-MAX_HELD));
            dropOldestNode();
        },
        find: (nodeId) => departuresByNode.get(nodeId) ?? [],
    };
};
