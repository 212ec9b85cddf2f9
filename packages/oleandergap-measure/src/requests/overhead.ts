/** Measures what gateway and gate add to a call, compared with a call that goes directly to the target. */
import type { Fleet } from "oleandergap-demo";
import { createCaller, type Caller, type GatewayAddress } from "oleandergap-standins";
import type { Milliseconds } from "oleandergap-types";
import type { ExperimentContext, ExperimentResult, Figures } from "../experiment.js";
import { createDurationRecorder, type DurationRecorder } from "../durationRecorder.js";
import { readNodeUsage } from "../nodeUsage.js";
import { withFleet } from "../withFleet.js";
import { runMeasuredLoad } from "./measuredLoad.js";
import { createMeasuredRead, createServicePlan, listMeasuredTargets } from "./serviceFleet.js";

const MEDIAN_MS: Milliseconds = 1;
const TIMEOUT_MS: Milliseconds = 2000;
const RATE_PER_SECOND = 300;
/** Warm-up in which connections are opened and code is compiled; it is not part of the figures. */
const WARM_UP_MS: Milliseconds = 5000;
const ROUND_MS: Milliseconds = 8000;
/** Number of rounds per request path. The paths alternate, so that load peaks of the machine do not affect only one. */
const ROUNDS = 2;

/** One path to the targets, direct or through the mesh, with connections that are kept alive over all rounds. */
interface RequestPath {
    readonly name: string;
    readonly caller: Caller;
    readonly gateways: readonly GatewayAddress[];
    readonly latencies: DurationRecorder;
    sent: number;
    delayP99Ms: Milliseconds;
    /** CPU time of all nodes while this path was measured. */
    nodeCpuMs: Milliseconds;
}

const createRequestPath = (
    name: string,
    context: ExperimentContext,
    gateways: readonly GatewayAddress[],
): RequestPath => ({
    name,
    caller: createCaller(context.clock),
    gateways,
    latencies: createDurationRecorder(),
    sent: 0,
    delayP99Ms: 0,
    nodeCpuMs: 0,
});

const readNodeCpuTime = async (fleet: Fleet): Promise<Milliseconds> =>
    (await readNodeUsage(fleet)).reduce((sum, { cpuMs }) => sum + cpuMs, 0);

const warmUp = async (context: ExperimentContext, path: RequestPath): Promise<void> => {
    await runMeasuredLoad(context, {
        caller: path.caller,
        gateways: () => path.gateways,
        ratePerSecond: RATE_PER_SECOND,
        durationMs: WARM_UP_MS,
        timeoutMs: TIMEOUT_MS,
        createRequest: (index) => createMeasuredRead(`${path.name}-warm`, index, TIMEOUT_MS),
    });
};

const measureRound = async (
    fleet: Fleet,
    context: ExperimentContext,
    path: RequestPath,
    round: number,
): Promise<void> => {
    const cpuBefore = await readNodeCpuTime(fleet);
    const { report, callerDelayP99Ms } = await runMeasuredLoad(context, {
        caller: path.caller,
        gateways: () => path.gateways,
        ratePerSecond: RATE_PER_SECOND,
        durationMs: ROUND_MS,
        timeoutMs: TIMEOUT_MS,
        createRequest: (index) => createMeasuredRead(`${path.name}-${round}`, index, TIMEOUT_MS),
        onResult: (result) => {
            if (result.kind === "Answered") {
                path.latencies.record(result.latencyMs);
            }
        },
    });
    path.nodeCpuMs += await readNodeCpuTime(fleet) - cpuBefore;
    path.sent += report.sent;
    path.delayP99Ms = Math.max(path.delayP99Ms, callerDelayP99Ms);
};

const describePath = ({ latencies, sent, delayP99Ms }: RequestPath): Figures => ({
    p50Ms: latencies.percentile(50),
    p99Ms: latencies.percentile(99),
    answeredShare: latencies.count() / Math.max(1, sent),
    callerDelayP99Ms: delayP99Ms,
});

/**
 * Computes the added costs. During direct calls nodes do only background work, which is subtracted from their CPU time.
 */
const describeAddedCosts = (throughMesh: RequestPath, direct: RequestPath): Figures => ({
    addedP50Ms: throughMesh.latencies.percentile(50) - direct.latencies.percentile(50),
    addedP99Ms: throughMesh.latencies.percentile(99) - direct.latencies.percentile(99),
    nodeCpuMsPerCall: (throughMesh.nodeCpuMs - direct.nodeCpuMs) / Math.max(1, throughMesh.sent),
});

/** Runs the `overhead` experiment on a fleet of its own. */
export const runOverhead = (context: ExperimentContext): Promise<ExperimentResult> => {
    const plan = createServicePlan({ nodes: context.nodes, medianMs: MEDIAN_MS, shed: false, spread: 0 });
    return withFleet(plan, context, async (fleet) => {
        const direct = createRequestPath("direct", context, await listMeasuredTargets(fleet));
        const throughMesh = createRequestPath("through", context, fleet.gateways());
        try {
            await warmUp(context, direct);
            await warmUp(context, throughMesh);
            for (let round = 1; round <= ROUNDS; round++) {
                await measureRound(fleet, context, direct, round);
                await measureRound(fleet, context, throughMesh, round);
            }
        }
        finally {
            await Promise.all([direct.caller.close(), throughMesh.caller.close()]);
        }
        return {
            experiment: "overhead",
            nodes: fleet.nodes.length,
            ours: { ...describePath(throughMesh), ...describeAddedCosts(throughMesh, direct) },
            naive: { ...describePath(direct), addedP50Ms: 0, addedP99Ms: 0 },
        };
    });
};
