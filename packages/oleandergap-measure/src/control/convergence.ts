/**
 * Measures how long a change takes to reach every node, and what distribution costs per idle node and per change. In
 * the naive version every node polls the platform, often enough to apply a change within a second.
 */
import type { Fleet } from "oleandergap-demo";
import { MILLISECONDS_PER_SECOND, type PartnerName } from "oleandergap-types";
import type { ExperimentContext, ExperimentResult, Figures } from "../experiment.js";
import { createExperimentPlan } from "../fleetPlans.js";
import { createDurationRecorder, type DurationRecorder } from "../durationRecorder.js";
import { withFleet } from "../withFleet.js";
import { submitChange, waitUntilApplied, type AcceptedChange } from "./changeTable.js";
import { NAIVE_POLL_INTERVAL_MS, startNaivePhase } from "./naivePhase.js";
import { computeControlCosts, readControlTotals } from "./nodeReadings.js";

/** Number of changes whose latency is measured; the partners take turns. */
const CHANGE_COUNT = 20;
const PAUSE_BETWEEN_CHANGES_MS = 300;
/** Duration of the measurement without changes. */
const IDLE_MS = 20_000;
const APPLY_TIMEOUT_MS = 30_000;
const BYTES_PER_MEBIBYTE = 1024 * 1024;

const listPartners = (fleet: Fleet): readonly PartnerName[] => fleet.plan.partners.map(({ partner }) => partner);

const submitChanges = async (
    fleet: Fleet,
    context: ExperimentContext,
    onAccepted: (change: AcceptedChange) => Promise<void>,
): Promise<void> => {
    const partners = listPartners(fleet);
    for (let changeNumber = 0; changeNumber < CHANGE_COUNT; changeNumber++) {
        const partner = partners[changeNumber % partners.length] ?? "";
        await onAccepted(await submitChange(fleet, partner, changeNumber));
        await context.clock.sleep(PAUSE_BETWEEN_CHANGES_MS, context.signal);
    }
};

const describeDurations = (durations: DurationRecorder): Figures => ({
    sentToAppliedP50Ms: durations.percentile(50),
    sentToAppliedP99Ms: durations.percentile(99),
    sentToAppliedMaxMs: durations.maximum(),
});

const measureOurs = async (fleet: Fleet, context: ExperimentContext): Promise<Figures> => {
    const { clock, signal } = context;
    const nodes = fleet.nodes.length;
    context.report(`Measuring ${nodes} idle nodes.`);
    const idleStart = await readControlTotals(fleet, clock.now);
    await clock.sleep(IDLE_MS, signal);
    const idleEnd = await readControlTotals(fleet, clock.now);
    const idleCosts = computeControlCosts(idleStart, idleEnd, nodes);

    context.report(`Submitting ${CHANGE_COUNT} changes.`);
    const applyDurations = createDurationRecorder();
    const acceptDurations = createDurationRecorder();
    await submitChanges(fleet, context, async (change) => {
        acceptDurations.record(change.acceptedAt - change.sentAt);
        const appliedVersions = await waitUntilApplied(fleet, change, APPLY_TIMEOUT_MS);
        for (const { appliedAt } of appliedVersions) {
            applyDurations.record(appliedAt - change.sentAt);
        }
    });
    const changesEnd = await readControlTotals(fleet, clock.now);
    const changeCosts = computeControlCosts(idleEnd, changesEnd, nodes);
    const changingSeconds = (changesEnd.takenAt - idleEnd.takenAt) / MILLISECONDS_PER_SECOND;
    const extraBytes = (changeCosts.bytesPerNodeAndSecond - idleCosts.bytesPerNodeAndSecond) * changingSeconds;
    return {
        ...describeDurations(applyDurations),
        acceptP50Ms: acceptDurations.percentile(50),
        restBytesPerNodeAndSecond: idleCosts.bytesPerNodeAndSecond,
        changeBytesPerNode: extraBytes / CHANGE_COUNT,
        restPlatformReadsPerSecond: idleCosts.platformReadsPerSecond,
        restCoreSharePerNode: idleCosts.coreSharePerNode,
        residentMeanMebibytes: changesEnd.residentBytes / nodes / BYTES_PER_MEBIBYTE,
        residentMaxMebibytes: changesEnd.residentBytesMaximum / BYTES_PER_MEBIBYTE,
    };
};

const measureNaive = async (fleet: Fleet, context: ExperimentContext): Promise<Figures> => {
    const { clock } = context;
    const nodes = fleet.nodes.length;
    context.report(`Running ${nodes} naive pollers.`);
    const phase = startNaivePhase(fleet, context, nodes);
    const { polling } = phase;
    await clock.sleep(2 * MILLISECONDS_PER_SECOND, context.signal);
    const bytesBefore = polling.bytes();
    const readsBefore = polling.reads();
    await clock.sleep(IDLE_MS / 2, context.signal);
    const idleSeconds = IDLE_MS / 2 / MILLISECONDS_PER_SECOND;
    const idleBytes = polling.bytes() - bytesBefore;
    const idleReads = polling.reads() - readsBefore;

    const changes: AcceptedChange[] = [];
    await submitChanges(fleet, context, async (change) => {
        changes.push(change);
        await clock.sleep(4 * NAIVE_POLL_INTERVAL_MS, context.signal);
    });
    await phase.stop();
    const applyDurations = createDurationRecorder();
    for (const change of changes) {
        phase.applied
            .filter(({ partner, sequence }) => partner === change.partner && sequence === change.sequence)
            .forEach(({ at }) => applyDurations.record(at - change.sentAt));
    }
    return {
        ...describeDurations(applyDurations),
        restBytesPerNodeAndSecond: idleBytes / nodes / idleSeconds,
        restPlatformReadsPerSecond: idleReads / idleSeconds,
        missedApplications: changes.length * nodes - applyDurations.count(),
        platformFailures: polling.failures(),
    };
};

/** Runs the `convergence` experiment on a fleet of its own. */
export const runConvergence = (context: ExperimentContext): Promise<ExperimentResult> =>
    withFleet(createExperimentPlan({ nodes: context.nodes }), context, async (fleet) => ({
        experiment: "convergence",
        nodes: fleet.nodes.length,
        ours: await measureOurs(fleet, context),
        naive: await measureNaive(fleet, context),
    }));
