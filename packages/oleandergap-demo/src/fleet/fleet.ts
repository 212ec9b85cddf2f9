/** Interface of a running fleet for the demo and the experiments. */
import type { OperatorClient } from "oleandergap-operator";
import type { GatewayAddress } from "oleandergap-standins";
import type { Milliseconds, NodeId, PartnerName } from "oleandergap-types";
import type { FleetPlan } from "../plan/fleetPlan.js";
import type { ProcessUsage } from "../process/processUsage.js";
import type { OperatorAccess } from "./credentials.js";
import type { FleetNode } from "./fleetNode.js";
import type { PlatformControl, TargetsControl } from "./standInControl.js";

/** Functions to inspect and control a fleet. All of them act on real processes. */
export interface Fleet {
    readonly plan: FleetPlan;
    /** Folder with settings, credentials and logs. It is removed when the fleet stops, unless the files are kept. */
    readonly folder: string;
    readonly nodes: readonly FleetNode[];
    /** Returns the node with the given id. Throws a `RangeError` for an unknown id. */
    readonly node: (id: NodeId) => FleetNode;
    /** Returns the gateways of all running nodes. */
    readonly gateways: () => readonly GatewayAddress[];
    readonly platform: PlatformControl;
    readonly targets: TargetsControl;
    readonly access: (partner: PartnerName) => OperatorAccess;
    /**
     * Creates a client of the operator interface that queries `nodeId`, or all running nodes in turn if it is omitted.
     */
    readonly operatorClient: (partner: PartnerName, nodeId?: NodeId) => OperatorClient;
    /** Resolves when all running nodes are ready. */
    readonly waitUntilReady: (timeoutMs?: Milliseconds) => Promise<void>;
    /** Returns the resource usage of all running processes of the fleet, including the stand-ins. */
    readonly usage: () => Promise<readonly ProcessUsage[]>;
    /** Aborts when the fleet stops. */
    readonly signal: AbortSignal;
    /** Stops all processes of the fleet in order, and no others. Repeated calls wait for the first one. */
    readonly stop: () => Promise<void>;
}
