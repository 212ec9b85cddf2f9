/** Routes of a node's control port: peer calls, fleet calls between nodes on behalf of operators, and operators. */
import { TRPCError } from "@trpc/server";
import { createPeerRequestHandler, PEER_PATH } from "oleandergap-distribution";
import type { Logger } from "oleandergap-logger";
import type { TargetDirectory } from "oleandergap-membership";
import { createCredentialChecker, createOperatorHandler, OPERATOR_PATH_PREFIX } from "oleandergap-operator";
import type { Clock, ObjectStore, TableService } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import type { ControlPlane } from "../createControlPlane.js";
import type { RequestPath } from "../requestPathTypes.js";
import type { NodeOptions } from "../options.js";
import type { ControlRoute } from "./controlHandler.js";
import type { PeerAccess } from "./peerAccess.js";
import { createFleetClient } from "./fleetClient.js";
import { createFleetHandler, FLEET_PATH } from "./fleetHandler.js";
import { createOperatorFleet, createZoneReporter } from "./fleetReport.js";
import { createOperatorChanges } from "./operatorChanges.js";
import { createOperatorTables } from "./operatorTables.js";

export interface NodeRoutesDependencies {
    readonly options: NodeOptions;
    readonly clock: Clock;
    readonly random: Random;
    readonly createPartLogger: (part: string) => Logger;
    readonly tableService: TableService;
    readonly objectStore: ObjectStore;
    readonly controlPlane: ControlPlane;
    readonly requestPath: RequestPath;
    readonly peerAccess: PeerAccess;
    readonly signal: AbortSignal;
}

/** Timeout of a call to another node on behalf of an operator. */
const FLEET_TIMEOUT_MS = 3000;

/**
 * Wraps the target directory so that it refuses calls until the node is ready. A node that has just started has
 * received only a few of its zone's targets, and its local target has not announced itself yet. Another zone would
 * treat that incomplete list as complete and refuse requests because of missing targets. The error makes it query
 * another node.
 */
const createReadyDirectory = ({ spread, directory }: ControlPlane): Pick<TargetDirectory, "answerZoneTargets"> => ({
    answerZoneTargets: (request) => {
        if (!spread.isReady()) {
            throw new TRPCError({ code: "PRECONDITION_FAILED", message: "this node is not ready" });
        }
        return directory.answerZoneTargets(request);
    },
});

const createPeerRoute = (dependencies: NodeRoutesDependencies): ControlRoute => {
    const { controlPlane, random, createPartLogger, options } = dependencies;
    return {
        prefix: PEER_PATH,
        callers: "Nodes",
        handle: createPeerRequestHandler({
            dependencies: {
                store: controlPlane.store,
                fleet: controlPlane.fleet,
                directory: createReadyDirectory(controlPlane),
                random,
                isReady: controlPlane.spread.isReady,
                platformAge: controlPlane.spread.platformAge,
            },
            logger: createPartLogger("peer"),
            options: options.distribution.peer,
        }),
    };
};

export const createNodeRoutes = (dependencies: NodeRoutesDependencies): readonly ControlRoute[] => {
    const { options, clock, createPartLogger, tableService, signal } = dependencies;
    const { controlPlane, requestPath, peerAccess } = dependencies;
    const { membership, store, peers } = controlPlane;
    const fleetDependencies = {
        membership,
        localHeads: store.heads,
        peers,
        client: createFleetClient({ clock, timeoutMs: FLEET_TIMEOUT_MS, authorize: peerAccess.authorize }),
        drainLocalTarget: requestPath.target.drain,
    };
    const operatorLogger = createPartLogger("operator");
    return [
        createPeerRoute(dependencies),
        {
            prefix: FLEET_PATH,
            callers: "Nodes",
            handle: createFleetHandler({
                nodeId: options.nodeId,
                reportZone: createZoneReporter(fleetDependencies),
                drainTarget: ({ service }) => requestPath.target.drain(service),
                signal,
            }, operatorLogger),
        },
        {
            prefix: OPERATOR_PATH_PREFIX,
            callers: "Operators",
            handle: createOperatorHandler({
                services: {
                    changeService: createOperatorChanges(dependencies),
                    tables: createOperatorTables(controlPlane),
                    fleet: createOperatorFleet(fleetDependencies),
                    rollouts: controlPlane.rollouts,
                    clock,
                    logger: operatorLogger,
                },
                credentials: createCredentialChecker({
                    tableService,
                    clock,
                    logger: operatorLogger,
                    options: options.operators,
                }),
                options: options.operators,
                signal,
            }),
        },
    ];
};
