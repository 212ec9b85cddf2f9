/** All experiments by name. */
import { runConvergence } from "./control/convergence.js";
import { COSTED_NODES, runNodeCost } from "./control/nodeCost.js";
import { runPlatformOutage } from "./control/platformOutage.js";
import { runRestartStorm } from "./control/restartStorm.js";
import { runZoneCut } from "./control/zoneCut.js";
import type { Experiment } from "./experiment.js";
import { TODAYS_NODES } from "./fleetPlans.js";
import { runAtMostOnce } from "./requests/atMostOnce.js";
import { CRASHING_NODES, runCrashingRequest } from "./requests/crashingRequest.js";
import { runOverhead } from "./requests/overhead.js";
import { runOverload } from "./requests/overload.js";
import { runRollingRestart } from "./requests/rollingRestart.js";
import { SERVICE_NODES } from "./requests/serviceFleet.js";
import { runSilentConnections } from "./requests/silentConnections.js";
import { runSlowTarget } from "./requests/slowTarget.js";

/** What the command line offers. */
export const experiments: readonly Experiment[] = [
    {
        name: "convergence",
        summary: "time from accept to applied on every node, and control costs",
        defaultNodes: TODAYS_NODES,
        run: runConvergence,
    },
    {
        name: "restart-storm",
        summary: "half of the nodes killed and restarted at once, under load",
        defaultNodes: TODAYS_NODES,
        run: runRestartStorm,
    },
    {
        name: "platform-outage",
        summary: "the platform down for a while, a restart meanwhile, and its return",
        defaultNodes: TODAYS_NODES,
        run: runPlatformOutage,
    },
    {
        name: "zone-cut",
        summary: "an availability zone cut off, seen from inside and from outside, and its return",
        defaultNodes: TODAYS_NODES,
        run: runZoneCut,
    },
    {
        name: "overload",
        summary: "a service at once, twice and four times its capacity",
        defaultNodes: SERVICE_NODES,
        run: runOverload,
    },
    {
        name: "slow-target",
        summary: "one target of four slow while its health endpoint says that it is well",
        defaultNodes: SERVICE_NODES,
        run: runSlowTarget,
    },
    {
        name: "silent-connections",
        summary: "open connections of a target gone silent, and a node frozen",
        defaultNodes: SERVICE_NODES,
        run: runSilentConnections,
    },
    {
        name: "at-most-once",
        summary: "repeated keys under kills, cut and lost answers and crossed duplicates, then a platform outage",
        defaultNodes: SERVICE_NODES,
        run: runAtMostOnce,
    },
    {
        name: "rolling-restart",
        summary: "every node stopped as planned and started again under load",
        defaultNodes: SERVICE_NODES,
        run: runRollingRestart,
    },
    {
        name: "crashing-request",
        summary: "a request that crashes the targets that run it, targets that crash of themselves, a caller that varies",
        defaultNodes: CRASHING_NODES,
        run: runCrashingRequest,
    },
    {
        name: "node-cost",
        summary: "processor time of a node's start, of its rest and of a request while it is young",
        defaultNodes: COSTED_NODES,
        run: runNodeCost,
    },
    {
        name: "overhead",
        summary: "time and processor that the way through the nodes adds to a call",
        defaultNodes: SERVICE_NODES,
        run: runOverhead,
    },
];
