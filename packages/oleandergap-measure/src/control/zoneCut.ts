/**
 * Isolates one availability zone, and measures the effect once from inside and once from outside the zone. For the
 * measurement from inside, all other nodes and the platform stop responding: the node processes are stopped by a
 * signal, so their connections stay open without responses. For the measurement from outside, the nodes of the zone
 * stop responding; a change is accepted during the isolation, and the zone must catch up after it. The naive version
 * polls the platform through the platform entrance of the zone.
 */
import type { Fleet, FleetNode } from "oleandergap-demo";
import type { LoadReport } from "oleandergap-standins";
import { formatServiceReference, type Milliseconds, type ServiceReference, type ZoneName } from "oleandergap-types";
import type { ExperimentContext, ExperimentResult, Figures } from "../experiment.js";
import { createExperimentPlan } from "../fleetPlans.js";
import { describeUnanswered, listServedServices, runFleetLoad, computeAnsweredShare } from "../requests/fleetLoad.js";
import { withFleet } from "../withFleet.js";
import { submitChange, waitUntilApplied } from "./changeTable.js";
import { startNaivePhase } from "./naivePhase.js";
import { readAppliedVersions } from "./nodeReadings.js";
import { killAndRestart } from "./restartNode.js";

const LOAD_PER_SECOND = 50;
/** First part of the isolation, in which unresponsive targets are detected; measured separately from the rest. */
const DETECTION_MS: Milliseconds = 6000;
const STEADY_MS: Milliseconds = 6000;
const APPLY_TIMEOUT_MS: Milliseconds = 30_000;

interface ZoneIsolation {
    readonly fleet: Fleet;
    readonly zone: ZoneName;
    readonly insideNodes: readonly FleetNode[];
    readonly outsideNodes: readonly FleetNode[];
    /** Services with targets both inside and outside the zone. */
    readonly services: readonly ServiceReference[];
}

const planIsolation = (fleet: Fleet): ZoneIsolation => {
    const zone = fleet.plan.vms[0]?.zone ?? "";
    const insideNodes = fleet.nodes.filter(({ vm }) => vm.zone === zone);
    const localServices = new Set(insideNodes.flatMap(({ vm: { target } }) =>
        target === undefined ? [] : [formatServiceReference(target)]));
    return {
        fleet,
        zone,
        insideNodes,
        outsideNodes: fleet.nodes.filter(({ vm }) => vm.zone !== zone),
        services: listServedServices(fleet).filter((service) => localServices.has(formatServiceReference(service))),
    };
};

interface LoadPhase {
    readonly name: string;
    readonly nodes: readonly FleetNode[];
    readonly durationMs: Milliseconds;
}

const runLoadThroughNodes = async (
    isolation: ZoneIsolation,
    phase: LoadPhase,
    context: ExperimentContext,
): Promise<LoadReport> => {
    const { ports } = isolation.fleet.plan;
    const report = await runFleetLoad(isolation.fleet, {
        seed: context.seed,
        ratePerSecond: LOAD_PER_SECOND,
        durationMs: phase.durationMs,
        services: isolation.services,
        gateways: () => phase.nodes
            .filter((node) => node.isRunning())
            .map(({ vm }) => ({ address: vm.address, port: ports.gateway })),
        signal: context.signal,
        name: phase.name,
    });
    context.report(`${phase.name}: ${describeUnanswered(report)}`);
    return report;
};

const measureFromInside = async (isolation: ZoneIsolation, context: ExperimentContext): Promise<Figures> => {
    const { fleet, zone, insideNodes, outsideNodes } = isolation;
    await fleet.platform.setFaults({ cutEntrances: [zone] });
    outsideNodes.forEach((node) => node.freeze());
    const detectionReport = await runLoadThroughNodes(isolation, {
        name: "alone-first",
        nodes: insideNodes,
        durationMs: DETECTION_MS,
    }, context);
    const steadyReport = await runLoadThroughNodes(isolation, {
        name: "alone",
        nodes: insideNodes,
        durationMs: STEADY_MS,
    }, context);
    const restartedReady = await killAndRestart(insideNodes.at(-1), context);
    outsideNodes.forEach((node) => node.resume());
    await fleet.platform.setFaults({});
    return {
        insideAnsweredShareFirst: computeAnsweredShare(detectionReport),
        insideAnsweredShareSteady: computeAnsweredShare(steadyReport),
        insideRestartedReady: restartedReady,
        wrong: detectionReport.wrong + steadyReport.wrong,
    };
};

const measureFromOutside = async (isolation: ZoneIsolation, context: ExperimentContext): Promise<Figures> => {
    const { fleet, zone, insideNodes, outsideNodes } = isolation;
    const [partner = ""] = fleet.plan.partners.map((plan) => plan.partner);
    insideNodes.forEach((node) => node.freeze());
    await fleet.platform.setFaults({ cutEntrances: [zone] });
    const detectionReport = await runLoadThroughNodes(isolation, {
        name: "without-first",
        nodes: outsideNodes,
        durationMs: DETECTION_MS,
    }, context);
    const steadyReport = await runLoadThroughNodes(isolation, {
        name: "without",
        nodes: outsideNodes,
        durationMs: STEADY_MS,
    }, context);
    const receivingNodeId = outsideNodes[0]?.vm.id;
    const change = await submitChange(fleet, partner, 1, receivingNodeId);
    const reconnectedAt = Date.now();
    insideNodes.forEach((node) => node.resume());
    await fleet.platform.setFaults({});
    await waitUntilApplied(fleet, change, APPLY_TIMEOUT_MS);
    const appliedVersions = await readAppliedVersions(insideNodes, partner);
    return {
        outsideAnsweredShareFirst: computeAnsweredShare(detectionReport),
        outsideAnsweredShareSteady: computeAnsweredShare(steadyReport),
        healToAppliedMaxMs: Math.max(...appliedVersions.map(({ appliedAt }) => appliedAt)) - reconnectedAt,
    };
};

const measureOurs = async (fleet: Fleet, context: ExperimentContext): Promise<Figures> => {
    const isolation = planIsolation(fleet);
    context.report(`Isolating ${isolation.zone}: all other nodes and the platform stop responding.`);
    const insideFigures = await measureFromInside(isolation, context);
    await fleet.waitUntilReady();
    await context.clock.sleep(STEADY_MS, context.signal);
    context.report(`Isolating ${isolation.zone}: the nodes of the zone stop responding.`);
    const outsideFigures = await measureFromOutside(isolation, context);
    return { ...insideFigures, ...outsideFigures };
};

/** Measures the naive version. A poller that starts while the entrance of its zone is cut off gets no configuration. */
const measureNaive = async (fleet: Fleet, context: ExperimentContext): Promise<Figures> => {
    const { zone, insideNodes } = planIsolation(fleet);
    const [partner = ""] = fleet.plan.partners.map((plan) => plan.partner);
    await fleet.platform.setFaults({ cutEntrances: [zone] });
    const address = fleet.plan.platform.entrances[zone] ?? fleet.plan.platform.address;
    const phase = startNaivePhase(fleet, context, insideNodes.length, address);
    await context.clock.sleep(STEADY_MS, context.signal);
    const insideRestartedReady = phase.applied.length > 0 ? 1 : 0;
    const change = await submitChange(fleet, partner, 2);
    const reconnectedAt = Date.now();
    await fleet.platform.setFaults({});
    await context.clock.sleep(DETECTION_MS, context.signal);
    await phase.stop();
    const versionsAfter = phase.applied.filter((appliedVersion) =>
        appliedVersion.partner === partner && appliedVersion.sequence >= change.sequence);
    return { insideRestartedReady, healToAppliedMaxMs: Math.max(...versionsAfter.map(({ at }) => at)) - reconnectedAt };
};

/** Runs the `zone-cut` experiment on a fleet of its own. */
export const runZoneCut = (context: ExperimentContext): Promise<ExperimentResult> =>
    withFleet(createExperimentPlan({ nodes: context.nodes }), context, async (fleet) => ({
        experiment: "zone-cut",
        nodes: fleet.nodes.length,
        ours: await measureOurs(fleet, context),
        naive: await measureNaive(fleet, context),
    }));
