/** Sends more requests than the targets can handle. Measures the goodput and how fast the rest is refused. */
import type { Fleet } from "oleandergap-demo";
import { createCaller, type Caller } from "oleandergap-standins";
import { MILLISECONDS_PER_SECOND, type Milliseconds } from "oleandergap-types";
import type { ExperimentContext, ExperimentResult, Figures } from "../experiment.js";
import { createNaiveCaller } from "../naive/naiveCaller.js";
import { withFleet } from "../withFleet.js";
import { describeUnanswered } from "./fleetLoad.js";
import { readGatewayCounters, computeFastRefusalShare } from "./gatewayCounters.js";
import { runMeasuredLoad, type LoadOutcome } from "./measuredLoad.js";
import { createMeasuredRead, createServicePlan, listMeasuredTargets, computeCapacity } from "./serviceFleet.js";

const MEDIAN_MS: Milliseconds = 200;
const TIMEOUT_MS: Milliseconds = 1000;
const PHASE_MS: Milliseconds = 10_000;
const PAUSE_MS: Milliseconds = 3000;
const LOAD_FACTORS = [1, 2, 4] as const;

interface Phase {
    readonly loadFactor: number;
    readonly outcome: LoadOutcome;
    readonly runs: number;
    readonly fastRefusalShare: number;
}

const runPhase = async (
    fleet: Fleet,
    context: ExperimentContext,
    caller: Caller,
    name: string,
    loadFactor: number,
): Promise<Phase> => {
    const runsBefore = (await fleet.targets.runs()).total;
    const gatewaysBefore = await readGatewayCounters(fleet);
    const outcome = await runMeasuredLoad(context, {
        caller,
        ratePerSecond: computeCapacity(fleet, MEDIAN_MS) * loadFactor,
        durationMs: PHASE_MS,
        timeoutMs: TIMEOUT_MS,
        gateways: fleet.gateways,
        createRequest: (index) => createMeasuredRead(`${name}-${loadFactor}`, index, TIMEOUT_MS),
    });
    const runs = (await fleet.targets.runs()).total - runsBefore;
    const fastRefusalShare = computeFastRefusalShare(gatewaysBefore, await readGatewayCounters(fleet));
    context.report(`${name} at ${loadFactor}x: ${describeUnanswered(outcome.report)}`);
    await context.clock.sleep(PAUSE_MS, context.signal);
    return { loadFactor, outcome, runs, fastRefusalShare };
};

/** Returns the figures of a phase. Goodput counts only responses within the callers' timeout. */
const describePhase = ({ loadFactor, outcome, runs }: Phase): Figures => {
    const { report, inTime, refusals, callerDelayP99Ms } = outcome;
    return {
        [`goodput${loadFactor}xPerSecond`]: (inTime.count() * MILLISECONDS_PER_SECOND) / report.durationMs,
        [`accepted${loadFactor}xP99Ms`]: inTime.percentile(99),
        [`late${loadFactor}x`]: report.answered - inTime.count(),
        [`refused${loadFactor}xP50Ms`]: refusals.percentile(50),
        [`refused${loadFactor}xP99Ms`]: refusals.percentile(99),
        [`callerDelay${loadFactor}xP99Ms`]: callerDelayP99Ms,
        [`runsPerRequest${loadFactor}x`]: runs / Math.max(1, report.sent),
        [`notSent${loadFactor}x`]: report.notSent,
        [`wrong${loadFactor}x`]: report.wrong,
    };
};

const runPhases = async (
    fleet: Fleet,
    context: ExperimentContext,
    caller: Caller,
    name: string,
): Promise<readonly Phase[]> => {
    const phases: Phase[] = [];
    try {
        for (const loadFactor of LOAD_FACTORS) {
            phases.push(await runPhase(fleet, context, caller, name, loadFactor));
        }
    }
    finally {
        await caller.close();
    }
    return phases;
};

const mergeFigures = (figures: readonly Figures[]): Figures =>
    figures.reduce<Figures>((merged, addition) => ({ ...merged, ...addition }), {});

const describePhases = (phases: readonly Phase[]): Figures => {
    const all = mergeFigures(phases.map(describePhase));
    const [goodputAt1x, goodputAt4x] = [all["goodput1xPerSecond"] ?? 0, all["goodput4xPerSecond"] ?? 0];
    return { ...all, goodput4xOver1x: goodputAt4x / goodputAt1x };
};

/** Returns the shares of fast refusals as counted by the gateways, which the naive caller does not use. */
const describeFastRefusals = (phases: readonly Phase[]): Figures =>
    mergeFigures(phases.map(({ loadFactor, fastRefusalShare }) => ({
        [`refusedWithin5MsAtGateway${loadFactor}xShare`]: fastRefusalShare,
    })));

/** Runs the `overload` experiment on a fleet of its own. */
export const runOverload = (context: ExperimentContext): Promise<ExperimentResult> => {
    const plan = createServicePlan({ nodes: context.nodes, medianMs: MEDIAN_MS, shed: false });
    return withFleet(plan, context, async (fleet) => {
        const { clock, signal } = context;
        const targets = await listMeasuredTargets(fleet);
        const ours = await runPhases(fleet, context, createCaller(clock), "ours");
        const naive = await runPhases(fleet, context, createNaiveCaller({ clock, targets, signal }), "naive");
        return {
            experiment: "overload",
            nodes: fleet.nodes.length,
            ours: { ...describePhases(ours), ...describeFastRefusals(ours) },
            naive: describePhases(naive),
        };
    });
};
