/**
 * Kills and restarts half of the nodes at once while requests continue. The naive version starts the same number of
 * pollers at once, without a budget or jitter.
 */
import type { Fleet, FleetNode } from "oleandergap-demo";
import type { Milliseconds } from "oleandergap-types";
import type { ExperimentContext, ExperimentResult, Figures } from "../experiment.js";
import { createExperimentPlan } from "../fleetPlans.js";
import { createDurationRecorder } from "../durationRecorder.js";
import { describeUnanswered, runFleetLoad, computeAnsweredShare } from "../requests/fleetLoad.js";
import { withFleet } from "../withFleet.js";
import { submitChange, waitUntilApplied } from "./changeTable.js";
import { startNaivePhase } from "./naivePhase.js";
import { monitorPlatformReads } from "./monitorPlatformReads.js";

const LOAD_PER_SECOND = 100;
const LOAD_MS: Milliseconds = 20_000;
const LOAD_LEAD_MS: Milliseconds = 2000;
const APPLY_TIMEOUT_MS: Milliseconds = 30_000;

/** Returns every second node, which is about half of the nodes of each availability zone. */
const pickHalfOfNodes = (fleet: Fleet): readonly FleetNode[] => fleet.nodes.filter((_node, index) => index % 2 === 0);

const killAndRestartNodes = async (nodes: readonly FleetNode[], context: ExperimentContext): Promise<Figures> => {
    const readyDurations = createDurationRecorder();
    await Promise.all(nodes.map((node) => node.kill()));
    const startedAt = context.clock.monotonic();
    await Promise.all(nodes.map(async (node) => {
        await node.start();
        await node.waitUntilReady(context.signal);
        readyDurations.record(context.clock.monotonic() - startedAt);
    }));
    return { startToReadyP50Ms: readyDurations.percentile(50), startToReadyMaxMs: readyDurations.maximum() };
};

const measureOurs = async (fleet: Fleet, context: ExperimentContext): Promise<Figures> => {
    const [partner = ""] = fleet.plan.partners.map((plan) => plan.partner);
    const changeBefore = await submitChange(fleet, partner, 1);
    await waitUntilApplied(fleet, changeBefore, APPLY_TIMEOUT_MS);
    const load = runFleetLoad(fleet, {
        seed: context.seed,
        ratePerSecond: LOAD_PER_SECOND,
        durationMs: LOAD_MS,
        signal: context.signal,
        name: "storm",
    });
    await context.clock.sleep(LOAD_LEAD_MS, context.signal);
    const readMonitor = monitorPlatformReads(fleet, context.clock);
    const restartFigures = await killAndRestartNodes(pickHalfOfNodes(fleet), context);
    const versionsAtReady = await waitUntilApplied(fleet, changeBefore, APPLY_TIMEOUT_MS);
    const changeAfter = await submitChange(fleet, partner, 2);
    const versionsAfter = await waitUntilApplied(fleet, changeAfter, APPLY_TIMEOUT_MS);
    const report = await load;
    context.report(describeUnanswered(report));
    const reads = await readMonitor.stop();
    return {
        ...restartFigures,
        nodesBehindAtReady: versionsAtReady.filter(({ sequence }) => sequence < changeBefore.sequence).length,
        changeAfterStormMs: Math.max(...versionsAfter.map(({ appliedAt }) => appliedAt)) - changeAfter.sentAt,
        peakPlatformReadsPerSecond: reads.peakPerSecond,
        requestsAnsweredShare: computeAnsweredShare(report),
        requestsWrong: report.wrong,
    };
};

/**
 * Measures the naive version. The pollers for the other half of the nodes keep polling, as those nodes of the mesh do.
 */
const measureNaive = async (fleet: Fleet, context: ExperimentContext): Promise<Figures> => {
    const restartedCount = pickHalfOfNodes(fleet).length;
    const runningPhase = startNaivePhase(fleet, context, fleet.nodes.length - restartedCount);
    await context.clock.sleep(LOAD_LEAD_MS, context.signal);
    const readMonitor = monitorPlatformReads(fleet, context.clock);
    const restartedPhase = startNaivePhase(fleet, context, restartedCount);
    await context.clock.sleep(2 * LOAD_LEAD_MS, context.signal);
    await Promise.all([restartedPhase.stop(), runningPhase.stop()]);
    const reads = await readMonitor.stop();
    return {
        peakPlatformReadsPerSecond: reads.peakPerSecond,
        platformFailures: restartedPhase.polling.failures() + runningPhase.polling.failures(),
    };
};

/** Runs the `restart-storm` experiment on a fleet of its own. */
export const runRestartStorm = (context: ExperimentContext): Promise<ExperimentResult> =>
    withFleet(createExperimentPlan({ nodes: context.nodes }), context, async (fleet) => ({
        experiment: "restart-storm",
        nodes: fleet.nodes.length,
        ours: await measureOurs(fleet, context),
        naive: await measureNaive(fleet, context),
    }));
