/**
 * Stores the departures of a node at some other nodes. While the platform does not respond, a node that restarts gets
 * them back from there.
 */
import type { Contact, MessageTransport } from "oleandergap-membership";
import type { Clock, Milliseconds, NodeId } from "oleandergap-types";
import type { PeerNetwork } from "../control/peerExchange.js";
import type { Departure, DepartureStorage } from "./departure.js";
import type { DepartureMessage, DepartureRequest } from "./departureMessages.js";
import { createHeldDepartures } from "./heldDepartures.js";

/** Number of members of the local availability zone, and of contacts in other zones, that hold a departure. */
const HOLDING_MEMBERS = 4;
const HOLDING_CONTACTS = 2;
/** Factor on these numbers for reading, because nodes may have joined since. */
const READ_FACTOR = 3;
/** Interval at which a message that is not answered is sent again. */
const RESEND_MS: Milliseconds = 100;
/** Number of times that a message is sent. */
const MAX_SENDS = 3;

export interface DepartureReplicasDependencies {
    readonly nodeId: NodeId;
    readonly network: Pick<PeerNetwork, "members" | "contacts">;
    readonly transport: Pick<MessageTransport<DepartureMessage>, "send" | "onMessage">;
    readonly clock: Clock;
}

/** An exchange that waits for the answers of some nodes. */
interface OpenExchange {
    readonly receive: (from: NodeId, departures: readonly Departure[]) => void;
}

/** Returns the first `count` nodes after `nodeId` in the order of ids, which continues with the lowest id. */
const selectFollowing = <Node extends Pick<Contact, "id">>(
    nodes: readonly Node[],
    nodeId: NodeId,
    count: number,
): readonly Node[] => {
    const sorted = [...nodes].sort((left, right) => left.id < right.id ? -1 : 1);
    return [...sorted.filter(({ id }) => id > nodeId), ...sorted.filter(({ id }) => id < nodeId)].slice(0, count);
};

/** Creates the storage, and holds the departures of other nodes. */
export const createDepartureReplicas = (
    { nodeId, network, transport, clock }: DepartureReplicasDependencies,
): DepartureStorage => {
    const held = createHeldDepartures();
    const openExchanges = new Map<number, OpenExchange>();
    let exchangeCount = 0;

    transport.onMessage((from, message) => {
        if (message.kind === "Held") {
            openExchanges.get(message.id)?.receive(from.id, message.departures);
            return;
        }
        if (message.kind === "Hold") {
            held.hold(from.id, message.departure);
        }
        transport.send(from, { kind: "Held", id: message.id, departures: [...held.find(from.id)] });
    });

    const listHolders = (factor: number): readonly Pick<Contact, "id" | "address" | "controlPort">[] => [
        ...selectFollowing(network.members(), nodeId, HOLDING_MEMBERS * factor),
        ...selectFollowing(network.contacts(), nodeId, HOLDING_CONTACTS * factor),
    ];

    /** Sends a request to nodes until all have answered, and resolves with the answers that arrived in time. */
    const exchange = async (
        holders: ReturnType<typeof listHolders>,
        createRequest: (id: number) => DepartureRequest,
        signal: AbortSignal,
    ): Promise<readonly (readonly Departure[])[]> => {
        exchangeCount += 1;
        const id = exchangeCount;
        const answers = new Map<NodeId, readonly Departure[]>();
        const complete = new AbortController();
        const end = (): void => complete.abort();
        signal.addEventListener("abort", end, { once: true });
        openExchanges.set(id, {
            receive: (from, departures) => {
                answers.set(from, departures);
                if (answers.size >= holders.length) {
                    end();
                }
            },
        });
        for (let sends = 0; sends < MAX_SENDS && !signal.aborted && answers.size < holders.length; sends++) {
            holders.filter((holder) => !answers.has(holder.id))
                .forEach((holder) => transport.send(holder, createRequest(id)));
            await clock.sleep(RESEND_MS, complete.signal);
        }
        signal.removeEventListener("abort", end);
        openExchanges.delete(id);
        return [...answers.values()];
    };

    return {
        name: "nodes",
        write: async (departure, signal) => {
            const createRequest = (id: number): DepartureRequest => ({ kind: "Hold", id, departure });
            return (await exchange(listHolders(1), createRequest, signal)).length > 0;
        },
        read: async (signal) => {
            const createRequest = (id: number): DepartureRequest => ({ kind: "Ask", id });
            const answers = await exchange(listHolders(READ_FACTOR), createRequest, signal);
            return answers.length === 0 ? undefined : answers.flat();
        },
    };
};
