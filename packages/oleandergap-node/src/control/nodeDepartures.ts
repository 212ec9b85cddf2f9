/** Wires the departures of a node: the platform's table, the nodes that hold them, and their datagrams. */
import type { MessageTransport } from "oleandergap-membership";
import type { ControlPlaneDependencies } from "../createControlPlane.js";
import { createDepartureLog, type DepartureLog } from "../departures/departureLog.js";
import type { DepartureMessage } from "../departures/departureMessages.js";
import { createDepartureReplicas } from "../departures/departureReplicas.js";
import { createDepartureTable } from "../departures/departureTable.js";
import type { PeerNetwork } from "./peerExchange.js";

const MILLISECONDS_PER_SECOND = 1000;

/** Creates the departures of a node and connects them to their datagrams. */
export const createNodeDepartures = (
    { options, clock, random, createPartLogger, tableService, signal }: ControlPlaneDependencies,
    network: PeerNetwork,
    transport: MessageTransport<DepartureMessage>,
): DepartureLog => {
    const { nodeId, distribution: { budget } } = options;
    return createDepartureLog({
        table: createDepartureTable({ tableService, nodeId, clock }),
        replicas: createDepartureReplicas({ nodeId, network, transport, clock }),
        readDelay: () => {
            const fleetSize = (network.members().length + 1) * budget.zones;
            return random() * fleetSize / budget.recoveryReadsPerSecond * MILLISECONDS_PER_SECOND;
        },
        clock,
        random,
        logger: createPartLogger("departures"),
        signal,
    });
};
