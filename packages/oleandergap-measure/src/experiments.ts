/** All experiments by name. */
import { runConvergence } from "./control/convergence.js";
import { NODE_COST_DEFAULT_NODES, runNodeCost } from "./control/nodeCost.js";
import { runPlatformOutage } from "./control/platformOutage.js";
import { runRestartStorm } from "./control/restartStorm.js";
import { runZoneCut } from "./control/zoneCut.js";
import type { Experiment } from "./experiment.js";
import { CURRENT_DEPLOYMENT_NODES } from "./fleetPlans.js";
import { runAtMostOnce } from "./requests/atMostOnce.js";
import { CRASHING_REQUEST_DEFAULT_NODES, runCrashingRequest } from "./requests/crashingRequest.js";
import { runOverhead } from "./requests/overhead.js";
import { runOverload } from "./requests/overload.js";
import { runRollingRestart } from "./requests/rollingRestart.js";
import { SERVICE_FLEET_DEFAULT_NODES } from "./requests/serviceFleet.js";
import { runSilentConnections } from "./requests/silentConnections.js";
import { runSlowTarget } from "./requests/slowTarget.js";

/** Experiments that can be started from the command line. */
export const experiments: readonly Experiment[] = [
    {
        name: "convergence",
        summary: "time from sending a change until every node has applied it, and control plane costs",
        defaultNodes: CURRENT_DEPLOYMENT_NODES,
        run: runConvergence,
    },
    {
        name: "restart-storm",
        summary: "half of the nodes killed and restarted at once, under load",
        defaultNodes: CURRENT_DEPLOYMENT_NODES,
        run: runRestartStorm,
    },
    {
        name: "platform-outage",
        summary: "an outage of the platform with a node restart during it, and the recovery",
        defaultNodes: CURRENT_DEPLOYMENT_NODES,
        run: runPlatformOutage,
    },
    {
        name: "zone-cut",
        summary: "an isolated availability zone, measured from inside and from outside, and its recovery",
        defaultNodes: CURRENT_DEPLOYMENT_NODES,
        run: runZoneCut,
    },
    {
        name: "overload",
        summary: "a service at one, two and four times its capacity",
        defaultNodes: SERVICE_FLEET_DEFAULT_NODES,
        run: runOverload,
    },
    {
        name: "slow-target",
        summary: "one of four targets slow while its health endpoint reports it as healthy",
        defaultNodes: SERVICE_FLEET_DEFAULT_NODES,
        run: runSlowTarget,
    },
    {
        name: "silent-connections",
        summary: "open connections of a target that stop responding, and a frozen node",
        defaultNodes: SERVICE_FLEET_DEFAULT_NODES,
        run: runSilentConnections,
    },
    {
        name: "at-most-once",
        summary: "retries of keys under kills, truncated or lost responses and duplicates, then a platform outage",
        defaultNodes: SERVICE_FLEET_DEFAULT_NODES,
        run: runAtMostOnce,
    },
    {
        name: "rolling-restart",
        summary: "a planned restart of every node in turn, under load",
        defaultNodes: SERVICE_FLEET_DEFAULT_NODES,
        run: runRollingRestart,
    },
    {
        name: "crashing-request",
        summary: "a request that crashes its targets, targets that crash by themselves, a caller with varying requests",
        defaultNodes: CRASHING_REQUEST_DEFAULT_NODES,
        run: runCrashingRequest,
    },
    {
        name: "node-cost",
        summary: "CPU time of a node's start, of an idle node and of a request soon after the start",
        defaultNodes: NODE_COST_DEFAULT_NODES,
        run: runNodeCost,
    },
    {
        name: "overhead",
        summary: "latency and CPU time that the path through the nodes adds to a call",
        defaultNodes: SERVICE_FLEET_DEFAULT_NODES,
        run: runOverhead,
    },
];
