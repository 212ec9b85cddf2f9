/**
 * Measures an outage of the platform and the recovery. Requests continue, a node restarts during the outage, and a
 * change is submitted as soon as the platform is available again. The pollers of the naive version keep polling, and
 * one that starts during the outage gets no configuration.
 */
import type { Fleet } from "oleandergap-demo";
import type { Milliseconds } from "oleandergap-types";
import type { ExperimentContext, ExperimentResult, Figures } from "../experiment.js";
import { createExperimentPlan } from "../fleetPlans.js";
import { describeUnanswered, runFleetLoad, computeAnsweredShare } from "../requests/fleetLoad.js";
import { withFleet } from "../withFleet.js";
import { submitChange, waitUntilApplied, type AcceptedChange } from "./changeTable.js";
import { NAIVE_POLL_INTERVAL_MS, startNaivePhase } from "./naivePhase.js";
import { readAppliedVersions } from "./nodeReadings.js";
import { killAndRestart } from "./restartNode.js";
import { monitorPlatformReads } from "./monitorPlatformReads.js";

const LOAD_PER_SECOND = 100;
const OUTAGE_MS: Milliseconds = 20_000;
const RECOVERY_MS: Milliseconds = 5000;
const APPLY_TIMEOUT_MS: Milliseconds = 30_000;
/** Each change number sets a different value, so that each change creates a new version. */
const FIRST_CHANGE_NUMBER = 100;
const FIRST_NAIVE_CHANGE_NUMBER = 5000;
const RETRY_PERIOD_MS: Milliseconds = 100;

/** Retries a change until it is accepted. `sentAt` of the result is the time of the first attempt. */
const submitChangeUntilAccepted = async (
    fleet: Fleet,
    partner: string,
    firstChangeNumber: number,
    context: ExperimentContext,
): Promise<AcceptedChange> => {
    const firstAttemptAt = Date.now();
    for (let changeNumber = firstChangeNumber; ; changeNumber++) {
        context.signal.throwIfAborted();
        try {
            return { ...await submitChange(fleet, partner, changeNumber), sentAt: firstAttemptAt };
        }
        catch {
            await context.clock.sleep(RETRY_PERIOD_MS, context.signal);
        }
    }
};

const measureOurs = async (fleet: Fleet, context: ExperimentContext): Promise<Figures> => {
    const { clock, signal } = context;
    const [partner = ""] = fleet.plan.partners.map((plan) => plan.partner);
    const changeBefore = await submitChange(fleet, partner, 1);
    await waitUntilApplied(fleet, changeBefore, APPLY_TIMEOUT_MS);
    context.report("The platform outage begins.");
    await fleet.platform.setFaults({ outage: "refuse" });
    const outageMonitor = monitorPlatformReads(fleet, clock);
    const load = runFleetLoad(fleet, {
        seed: context.seed, ratePerSecond: LOAD_PER_SECOND, durationMs: OUTAGE_MS, signal, name: "outage",
    });
    const restartedReady = await killAndRestart(fleet.nodes[0], context);
    const report = await load;
    context.report(describeUnanswered(report));
    const versionsDuring = await readAppliedVersions(fleet.nodes, partner);
    const outageReads = await outageMonitor.stop();

    context.report("The platform outage ends.");
    const recoveryMonitor = monitorPlatformReads(fleet, clock);
    await fleet.platform.setFaults({});
    const changeAfter = await submitChangeUntilAccepted(fleet, partner, FIRST_CHANGE_NUMBER, context);
    const versionsAfter = await waitUntilApplied(fleet, changeAfter, APPLY_TIMEOUT_MS);
    await clock.sleep(RECOVERY_MS, signal);
    const recoveryReads = await recoveryMonitor.stop();
    return {
        requestsAnsweredShare: computeAnsweredShare(report),
        requestsWrong: report.wrong,
        restartedReadyDuringOutage: restartedReady,
        nodesBehindDuringOutage: versionsDuring.filter(({ sequence }) => sequence < changeBefore.sequence).length,
        outagePlatformReadsPerSecond: outageReads.peakPerSecond,
        returnToAppliedMaxMs: Math.max(...versionsAfter.map(({ appliedAt }) => appliedAt)) - changeAfter.sentAt,
        returnPeakPlatformReadsPerSecond: recoveryReads.peakPerSecond,
    };
};

const measureNaive = async (fleet: Fleet, context: ExperimentContext): Promise<Figures> => {
    const { clock, signal } = context;
    const [partner = ""] = fleet.plan.partners.map((plan) => plan.partner);
    const nodes = fleet.nodes.length;
    const phase = startNaivePhase(fleet, context, nodes);
    await clock.sleep(RECOVERY_MS, signal);
    await fleet.platform.setFaults({ outage: "refuse" });
    const outageMonitor = monitorPlatformReads(fleet, clock);
    const restartedPhase = startNaivePhase(fleet, context, 1);
    await clock.sleep(OUTAGE_MS / 2, signal);
    const outageReads = await outageMonitor.stop();
    const restartedReady = restartedPhase.applied.length > 0 ? 1 : 0;
    await restartedPhase.stop();
    const recoveryMonitor = monitorPlatformReads(fleet, clock);
    await fleet.platform.setFaults({});
    const changeAfter = await submitChangeUntilAccepted(fleet, partner, FIRST_NAIVE_CHANGE_NUMBER, context);
    await clock.sleep(2 * NAIVE_POLL_INTERVAL_MS + RECOVERY_MS, signal);
    const recoveryReads = await recoveryMonitor.stop();
    await phase.stop();
    const versionsAfter = phase.applied.filter((appliedVersion) =>
        appliedVersion.partner === partner && appliedVersion.sequence >= changeAfter.sequence);
    return {
        restartedReadyDuringOutage: restartedReady,
        outagePlatformReadsPerSecond: outageReads.peakPerSecond,
        returnToAppliedMaxMs: Math.max(...versionsAfter.map(({ at }) => at)) - changeAfter.sentAt,
        returnMissed: nodes - versionsAfter.length,
        returnPeakPlatformReadsPerSecond: recoveryReads.peakPerSecond,
    };
};

/** Runs the `platform-outage` experiment on a fleet of its own. */
export const runPlatformOutage = (context: ExperimentContext): Promise<ExperimentResult> =>
    withFleet(createExperimentPlan({ nodes: context.nodes }), context, async (fleet) => ({
        experiment: "platform-outage",
        nodes: fleet.nodes.length,
        ours: await measureOurs(fleet, context),
        naive: await measureNaive(fleet, context),
    }));
