/** Measures requests while one of four targets is slow and its health endpoint reports it as healthy. */
import type { Fleet } from "oleandergap-demo";
import { createCaller, type Caller } from "oleandergap-standins";
import type { Milliseconds } from "oleandergap-types";
import type { ExperimentContext, ExperimentResult, Figures } from "../experiment.js";
import { createNaiveCaller } from "../naive/naiveCaller.js";
import { createDurationRecorder } from "../durationRecorder.js";
import { withFleet } from "../withFleet.js";
import { describeUnanswered } from "./fleetLoad.js";
import { runMeasuredLoad, computeInTimeShare } from "./measuredLoad.js";
import { createMeasuredRead, createServicePlan, listMeasuredTargets, computeCapacity } from "./serviceFleet.js";

const MEDIAN_MS: Milliseconds = 100;
const SLOW_BY_MS: Milliseconds = 500;
const TIMEOUT_MS: Milliseconds = 2000;
const PHASE_MS: Milliseconds = 15_000;
const CAPACITY_SHARE = 0.5;
/**
 * Responses later than this after the start of the fault show the state after routing has adapted to the slow target.
 */
const ADAPTATION_MS: Milliseconds = 5000;

const measure = async (
    fleet: Fleet,
    context: ExperimentContext,
    caller: Caller,
    name: string,
    slowTargetId: string,
): Promise<Figures> => {
    const settledLatencies = createDurationRecorder();
    await fleet.targets.setFaults(slowTargetId, { slowByMs: SLOW_BY_MS });
    const faultStartedAt = context.clock.monotonic();
    try {
        const outcome = await runMeasuredLoad(context, {
            caller,
            ratePerSecond: computeCapacity(fleet, MEDIAN_MS) * CAPACITY_SHARE,
            durationMs: PHASE_MS,
            timeoutMs: TIMEOUT_MS,
            gateways: fleet.gateways,
            createRequest: (index) => createMeasuredRead(name, index, TIMEOUT_MS),
            onResult: (result) => {
                if (result.kind === "Answered" && context.clock.monotonic() - faultStartedAt > ADAPTATION_MS) {
                    settledLatencies.record(result.latencyMs);
                }
            },
        });
        const { report, callerDelayP99Ms } = outcome;
        context.report(`${name}: ${describeUnanswered(report)}`);
        return {
            p50Ms: report.answers.p50Ms,
            p99Ms: report.answers.p99Ms,
            settledP99Ms: settledLatencies.percentile(99),
            errorsShare: 1 - computeInTimeShare(outcome),
            answersFromSlowShare: (report.answeredByTarget[slowTargetId] ?? 0) / Math.max(1, report.answered),
            callerDelayP99Ms,
            wrong: report.wrong,
        };
    }
    finally {
        await fleet.targets.setFaults(slowTargetId, {});
        await caller.close();
    }
};

/** Runs the `slow-target` experiment on a fleet of its own. */
export const runSlowTarget = (context: ExperimentContext): Promise<ExperimentResult> => {
    const plan = createServicePlan({ nodes: context.nodes, medianMs: MEDIAN_MS, shed: false });
    return withFleet(plan, context, async (fleet) => {
        const { clock, signal } = context;
        const targets = await listMeasuredTargets(fleet);
        const slowTargetId = targets[0]?.id ?? "";
        return {
            experiment: "slow-target",
            nodes: fleet.nodes.length,
            ours: await measure(fleet, context, createCaller(clock), "ours", slowTargetId),
            naive: await measure(fleet, context, createNaiveCaller({ clock, targets, signal }), "naive", slowTargetId),
        };
    });
};
