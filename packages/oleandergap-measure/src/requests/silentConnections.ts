/**
 * Measures the impact on requests when all open connections of one target stop responding while new connections work.
 * As a variant, one node is frozen and later resumed. The naive caller uses no node, so for it a target that accepts
 * connections and reads nothing replaces the frozen node.
 */
import type { Fleet, FleetNode } from "oleandergap-demo";
import { createCaller, type Caller, type GatewayAddress } from "oleandergap-standins";
import type { Milliseconds } from "oleandergap-types";
import type { ExperimentContext, ExperimentResult, Figures } from "../experiment.js";
import { createNaiveCaller } from "../naive/naiveCaller.js";
import { withFleet } from "../withFleet.js";
import { createFaultImpactRecorder } from "./faultImpactRecorder.js";
import { describeUnanswered } from "./fleetLoad.js";
import { runMeasuredLoad } from "./measuredLoad.js";
import { createReadOrPost } from "./mixedRequests.js";
import { createServicePlan, listMeasuredTargets } from "./serviceFleet.js";
import { createAuditedCaller, createVerdictLedger, describeAudit, describeViolations } from "./verdictLedger.js";

const MEDIAN_MS: Milliseconds = 50;
const TIMEOUT_MS: Milliseconds = 3000;
/** Five times the median service time. Slower responses were delayed by the fault. */
const NORMAL_LATENCY_MS: Milliseconds = 250;
const RATE_PER_SECOND = 300;
const LOAD_LEAD_MS: Milliseconds = 3000;
const PHASE_MS: Milliseconds = 14_000;
const FROZEN_MS: Milliseconds = 5000;
/** Delay after the load, by the end of which all delayed requests have run or ended. */
const SETTLE_MS: Milliseconds = 2000;

interface Phase {
    readonly name: string;
    readonly caller: Caller;
    readonly gateways: () => readonly GatewayAddress[];
    /** Starts the fault and may also end it. */
    readonly disturb: () => Promise<void>;
}

const measure = async (fleet: Fleet, context: ExperimentContext, phase: Phase): Promise<Figures> => {
    const { clock, signal, report } = context;
    const ledger = createVerdictLedger();
    const impactRecorder = createFaultImpactRecorder({
        clock,
        timeoutMs: TIMEOUT_MS,
        normalLatencyMs: NORMAL_LATENCY_MS,
        isRead: (runKey) => runKey.startsWith(`${phase.name}-read`),
    });
    const load = runMeasuredLoad(context, {
        caller: createAuditedCaller(phase.caller, ledger),
        gateways: phase.gateways,
        ratePerSecond: RATE_PER_SECOND,
        durationMs: PHASE_MS,
        timeoutMs: TIMEOUT_MS,
        createRequest: createReadOrPost(phase.name, TIMEOUT_MS),
        onResult: impactRecorder.record,
    });
    try {
        await clock.sleep(LOAD_LEAD_MS, signal);
        impactRecorder.markFaultStart();
        await phase.disturb();
        const outcome = await load;
        await clock.sleep(SETTLE_MS, signal);
        const audit = ledger.audit(await fleet.targets.runs());
        report(`${phase.name}: ${describeUnanswered(outcome.report)} ${describeViolations(audit)}`);
        return { ...impactRecorder.describeImpact(), ...describeAudit(audit), wrong: outcome.report.wrong };
    }
    finally {
        await phase.caller.close();
    }
};

/**
 * Lists the gateways of the other nodes. Callers of the frozen gateway can only wait, so the experiment measures the
 * impact on the other callers.
 */
const listOtherGateways = (fleet: Fleet, frozen: FleetNode) => (): readonly GatewayAddress[] =>
    fleet.gateways().filter(({ address }) => address !== frozen.vm.address);

const freezeNodeTemporarily = async (node: FleetNode, { clock, signal }: ExperimentContext): Promise<void> => {
    node.freeze();
    await clock.sleep(FROZEN_MS, signal);
    node.resume();
};

const silenceTargetTemporarily = async (
    fleet: Fleet,
    id: string,
    { clock, signal }: ExperimentContext,
): Promise<void> => {
    await fleet.targets.setFaults(id, { silent: true });
    await clock.sleep(FROZEN_MS, signal);
    await fleet.targets.setFaults(id, {});
};

const prefixFigures = (prefix: string, figures: Figures): Figures =>
    Object.fromEntries(Object.entries(figures).map(([name, value]) =>
        [`${prefix}${name.charAt(0).toUpperCase()}${name.slice(1)}`, value]));

const measureOurs = async (fleet: Fleet, context: ExperimentContext, targetId: string): Promise<Figures> => {
    const { clock } = context;
    const node = fleet.node(targetId);
    const silentFigures = await measure(fleet, context, {
        name: "ours-silent",
        caller: createCaller(clock),
        gateways: fleet.gateways,
        disturb: () => fleet.targets.silence(targetId),
    });
    const frozenFigures = await measure(fleet, context, {
        name: "ours-frozen",
        caller: createCaller(clock),
        gateways: listOtherGateways(fleet, node),
        disturb: () => freezeNodeTemporarily(node, context),
    });
    return { ...prefixFigures("silent", silentFigures), ...prefixFigures("frozen", frozenFigures) };
};

const measureNaive = async (fleet: Fleet, context: ExperimentContext, targetId: string): Promise<Figures> => {
    const { clock, signal } = context;
    const targets = await listMeasuredTargets(fleet);
    const silentFigures = await measure(fleet, context, {
        name: "naive-silent",
        caller: createNaiveCaller({ clock, targets, signal }),
        gateways: fleet.gateways,
        disturb: () => fleet.targets.silence(targetId),
    });
    const frozenFigures = await measure(fleet, context, {
        name: "naive-frozen",
        caller: createNaiveCaller({ clock, targets, signal }),
        gateways: fleet.gateways,
        disturb: () => silenceTargetTemporarily(fleet, targetId, context),
    });
    return { ...prefixFigures("silent", silentFigures), ...prefixFigures("frozen", frozenFigures) };
};

/** Runs the `silent-connections` experiment on a fleet of its own. */
export const runSilentConnections = (context: ExperimentContext): Promise<ExperimentResult> => {
    const plan = createServicePlan({ nodes: context.nodes, medianMs: MEDIAN_MS, shed: false });
    return withFleet(plan, context, async (fleet) => {
        const targetId = (await listMeasuredTargets(fleet))[0]?.id ?? "";
        return {
            experiment: "silent-connections",
            nodes: fleet.nodes.length,
            ours: await measureOurs(fleet, context, targetId),
            naive: await measureNaive(fleet, context, targetId),
        };
    });
};
