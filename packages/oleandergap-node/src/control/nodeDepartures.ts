/** Wires the departures of a node: the platform's table, the nodes that hold them, and their datagrams. */
import type { MessageTransport } from "oleandergap-membership";
import type { ControlPlaneDependencies } from "../createControlPlane.js";
import { createDepartureLog, type DepartureLog } from "../departures/departureLog.js";
import type { DepartureMessage } from "../departures/departureMessages.js";
import { createDepartureReplicas } from "../departures/departureReplicas.js";
import { createDepartureTable } from "../departures/departureTable.js";
import type { PeerNetwork } from "./peerExchange.js";

/** Creates the departures of a node and connects them to their datagrams. */
export const createNodeDepartures = (
    { options: { nodeId }, clock, createPartLogger, tableService, signal }: ControlPlaneDependencies,
    network: PeerNetwork,
    transport: MessageTransport<DepartureMessage>,
): DepartureLog => createDepartureLog({
    table: createDepartureTable({ tableService, nodeId, clock }),
    replicas: createDepartureReplicas({ nodeId, network, transport, clock }),
    clock,
    logger: createPartLogger("departures"),
    signal,
});
