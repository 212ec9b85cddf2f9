/**
 * Measures the CPU time of a node's start, of an idle node, and of a request soon after the start.
 *
 * Restarted nodes and nodes of small VMs serve only a few requests per second. The JIT compiler has not optimized their
 * code yet, so a request costs several times as much as in a long run at a high rate, and the idle work of the node
 * costs more than the requests.
 */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from "oleandergap-types";
import type { Fleet } from "oleandergap-demo";
import { createCaller } from "oleandergap-standins";
import type { ExperimentContext, ExperimentResult, Figures } from "../experiment.js";
import { readNodeUsage } from "../nodeUsage.js";
import { runMeasuredLoad } from "../requests/measuredLoad.js";
import { createMeasuredRead, createServicePlan } from "../requests/serviceFleet.js";
import { withFleet } from "../withFleet.js";

/** Number of nodes unless the command line sets another one. */
export const NODE_COST_DEFAULT_NODES = 8;
const MEDIAN_MS: Milliseconds = 20;
const TIMEOUT_MS: Milliseconds = 2000;
/** Requests per second and node; low enough that a node does little more than its periodic work. */
const RATE_PER_NODE = 10;
const IDLE_MS: Milliseconds = 15_000;
const LOAD_MS: Milliseconds = 20_000;

/** Returns the mean CPU time of the nodes since their start. */
const readMeanCpuTime = async (fleet: Fleet): Promise<Milliseconds> => {
    const nodes = await readNodeUsage(fleet);
    return nodes.reduce((sum, { cpuMs }) => sum + cpuMs, 0) / Math.max(1, nodes.length);
};

/** Runs the `node-cost` experiment on a fleet of its own. */
export const runNodeCost = (context: ExperimentContext): Promise<ExperimentResult> => {
    const plan = createServicePlan({ nodes: context.nodes, medianMs: MEDIAN_MS, shed: false, spread: 0 });
    return withFleet(plan, context, async (fleet) => {
        const cpuAfterStart = await readMeanCpuTime(fleet);
        await context.clock.sleep(IDLE_MS, context.signal);
        const cpuAfterIdle = await readMeanCpuTime(fleet);
        const caller = createCaller(context.clock);
        try {
            const { report } = await runMeasuredLoad(context, {
                caller,
                gateways: () => fleet.gateways(),
                ratePerSecond: RATE_PER_NODE * context.nodes,
                durationMs: LOAD_MS,
                timeoutMs: TIMEOUT_MS,
                createRequest: (index) => createMeasuredRead("young", index, TIMEOUT_MS),
            });
            const cpuAfterLoad = await readMeanCpuTime(fleet);
            const idleCpuPerMs = (cpuAfterIdle - cpuAfterStart) / IDLE_MS;
            const cpuPerCall =
                (cpuAfterLoad - cpuAfterIdle - idleCpuPerMs * LOAD_MS) * context.nodes / Math.max(1, report.sent);
            const ours: Figures = {
                startAndSettleCpuMs: cpuAfterStart,
                restCpuMsPerSecond: idleCpuPerMs * MILLISECONDS_PER_SECOND,
                youngCpuMsPerCall: cpuPerCall,
            };
            return { experiment: "node-cost", nodes: fleet.nodes.length, ours, naive: {} };
        }
        finally {
            await caller.close();
        }
    });
};
