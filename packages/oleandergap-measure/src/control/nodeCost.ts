/**
 * What a node costs: its start, its rest, and a request while the process is young.
 *
 * Restarted nodes and those of small VMs serve a few requests a second. Their code is not compiled for speed yet, so a
 * request costs several times what it does in a long run at a high rate, and rest costs more than the requests.
 */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from "oleandergap-types";
import type { Fleet } from "oleandergap-demo";
import { createCaller } from "oleandergap-standins";
import type { ExperimentContext, ExperimentResult, Figures } from "../experiment.js";
import { runMeasuredLoad } from "../requests/measuredLoad.js";
import { createMeasuredRead, createServicePlan } from "../requests/serviceFleet.js";
import { withFleet } from "../withFleet.js";

/** Nodes unless the command line names another number. */
export const COSTED_NODES = 8;
const MEDIAN_MS: Milliseconds = 20;
const TIMEOUT_MS: Milliseconds = 2000;
/** So few that an interval holds hardly more than a node's periodic work. */
const RATE_PER_NODE = 10;
const REST_MS: Milliseconds = 15_000;
const LOAD_MS: Milliseconds = 20_000;

/** Mean processor time of the nodes since their start. */
const readMeanCpu = async (fleet: Fleet): Promise<Milliseconds> => {
    const nodes = (await fleet.usage()).filter(({ name }) => name.startsWith("node "));
    return nodes.reduce((sum, { cpuMs }) => sum + cpuMs, 0) / Math.max(1, nodes.length);
};

/** Runs the `node-cost` experiment on a fleet of its own. */
export const runNodeCost = (context: ExperimentContext): Promise<ExperimentResult> => {
    const plan = createServicePlan({ nodes: context.nodes, medianMs: MEDIAN_MS, shed: false, spread: 0 });
    return withFleet(plan, context, async (fleet) => {
        const started = await readMeanCpu(fleet);
        await context.clock.sleep(REST_MS, context.signal);
        const rested = await readMeanCpu(fleet);
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
            const loaded = await readMeanCpu(fleet);
            const restPerMs = (rested - started) / REST_MS;
            const perCall = (loaded - rested - restPerMs * LOAD_MS) * context.nodes / Math.max(1, report.sent);
            const ours: Figures = {
                startAndSettleCpuMs: started,
                restCpuMsPerSecond: restPerMs * MILLISECONDS_PER_SECOND,
                youngCpuMsPerCall: perCall,
            };
            return { experiment: "node-cost", nodes: fleet.nodes.length, ours, naive: {} };
        }
        finally {
            await caller.close();
        }
    });
};
