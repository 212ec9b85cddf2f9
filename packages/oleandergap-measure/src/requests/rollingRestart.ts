/**
 * Stops and restarts every node in turn by a planned stop, and then stops one target by a planned stop, all under load.
 * For comparison, targets of the naive caller crash.
 */
import type { Fleet } from "oleandergap-demo";
import { createCaller, type Caller, type CallResult, type TargetReport } from "oleandergap-standins";
import type { Milliseconds } from "oleandergap-types";
import { createSeededRandom } from "oleandergap-utils";
import type { ExperimentContext, ExperimentResult, Figures } from "../experiment.js";
import { createNaiveCaller } from "../naive/naiveCaller.js";
import { withFleet } from "../withFleet.js";
import { describeUnanswered, computeAnsweredShare } from "./fleetLoad.js";
import { runMeasuredLoad } from "./measuredLoad.js";
import { createReadPostOrUpload } from "./mixedRequests.js";
import { createFailoverCaller } from "./failoverCaller.js";
import { createServicePlan, listMeasuredTargets } from "./serviceFleet.js";
import {
    createAuditedCaller,
    createVerdictLedger,
    describeAudit,
    describeViolations,
    readVerdict,
} from "./verdictLedger.js";

const MEDIAN_MS: Milliseconds = 50;
const TIMEOUT_MS: Milliseconds = 5000;
const RATE_PER_SECOND = 100;
const LOAD_MARGIN_MS: Milliseconds = 2000;
const PAUSE_BETWEEN_RESTARTS_MS: Milliseconds = 1000;
const SETTLE_MS: Milliseconds = 2000;
const NAIVE_CRASH_COUNT = 2;
/** The load ends after the restarts; this only limits a run that hangs. */
const MAX_LOAD_MS: Milliseconds = 300_000;

interface UnansweredCounts {
    interrupted: number;
    refusedNotRun: number;
}

interface UnansweredCounter {
    readonly counts: Readonly<UnansweredCounts>;
    readonly record: (result: CallResult) => void;
}

/**
 * Creates a counter. A request counts as interrupted if it got neither a complete response nor the verdict `notRun`.
 */
const createUnansweredCounter = (report: (line: string) => void): UnansweredCounter => {
    const counts: UnansweredCounts = { interrupted: 0, refusedNotRun: 0 };
    const record = (result: CallResult): void => {
        if (result.kind === "Answered") {
            return;
        }
        if (readVerdict(result) === "notRun") {
            counts.refusedNotRun++;
            return;
        }
        counts.interrupted++;
        report(`Interrupted: ${JSON.stringify(result)}`);
    };
    return { counts, record };
};

/** Runs the load while `disturb` runs, and for `LOAD_MARGIN_MS` before and after it. */
const measure = async (
    fleet: Fleet,
    context: ExperimentContext,
    caller: Caller,
    name: string,
    disturb: () => Promise<void>,
): Promise<Figures> => {
    const { clock, signal } = context;
    const ledger = createVerdictLedger();
    const abortController = new AbortController();
    const counter = createUnansweredCounter(context.report);
    const load = runMeasuredLoad({ seed: context.seed, signal: AbortSignal.any([signal, abortController.signal]) }, {
        caller: createAuditedCaller(caller, ledger),
        gateways: fleet.gateways,
        ratePerSecond: RATE_PER_SECOND,
        durationMs: MAX_LOAD_MS,
        timeoutMs: TIMEOUT_MS,
        createRequest: createReadPostOrUpload(name, TIMEOUT_MS),
        onResult: counter.record,
    });
    try {
        await clock.sleep(LOAD_MARGIN_MS, signal);
        await disturb();
        await clock.sleep(LOAD_MARGIN_MS, signal);
    }
    finally {
        abortController.abort();
    }
    const { report, inTime } = await load;
    await clock.sleep(SETTLE_MS, signal);
    const audit = ledger.audit(await fleet.targets.runs());
    context.report(`${name}: ${describeUnanswered(report)} ${describeViolations(audit)}`);
    return {
        requests: report.sent,
        requestsCut: counter.counts.interrupted,
        refusedNotRun: counter.counts.refusedNotRun,
        answeredShare: computeAnsweredShare(report),
        answeredP99Ms: inTime.percentile(99),
        wrong: report.wrong,
        ...describeAudit(audit),
    };
};

const restartNodesInTurn = async (fleet: Fleet, { clock, signal, report }: ExperimentContext): Promise<void> => {
    for (const node of fleet.nodes) {
        const exit = await node.stop();
        report(`Stopped ${node.vm.id}: ${JSON.stringify(exit)}.`);
        await node.start();
        await node.waitUntilReady(signal);
        await clock.sleep(PAUSE_BETWEEN_RESTARTS_MS, signal);
    }
};

const measureOurs = async (fleet: Fleet, context: ExperimentContext, stoppedTargetId: string): Promise<Figures> => {
    const random = createSeededRandom(context.seed + 1);
    const caller = createFailoverCaller(createCaller(context.clock), fleet.gateways, random);
    try {
        const restartFigures = await measure(fleet, context, caller, "ours-restart", () =>
            restartNodesInTurn(fleet, context));
        const connectRefused = caller.countRefusedConnections();
        const targetStopFigures = await measure(fleet, context, caller, "ours-leave", () =>
            fleet.targets.stop(stoppedTargetId));
        return {
            ...restartFigures,
            connectRefused,
            targetStopRequestsCut: targetStopFigures["requestsCut"] ?? 0,
            targetStopRefusedNotRun: targetStopFigures["refusedNotRun"] ?? 0,
            targetStopAnsweredShare: targetStopFigures["answeredShare"] ?? 0,
        };
    }
    finally {
        await caller.close();
    }
};

/** Measures the naive caller. `remaining` are the targets that still run; the first of them are crashed. */
const measureNaive = async (
    fleet: Fleet,
    context: ExperimentContext,
    remaining: readonly TargetReport[],
): Promise<Figures> => {
    const { clock, signal } = context;
    const caller = createNaiveCaller({ clock, targets: remaining, signal });
    try {
        return await measure(fleet, context, caller, "naive", async () => {
            for (const { id } of remaining.slice(0, NAIVE_CRASH_COUNT)) {
                await fleet.targets.crash(id);
                await clock.sleep(LOAD_MARGIN_MS, signal);
            }
        });
    }
    finally {
        await caller.close();
    }
};

/** Runs the `rolling-restart` experiment on a fleet of its own. */
export const runRollingRestart = (context: ExperimentContext): Promise<ExperimentResult> => {
    const plan = createServicePlan({ nodes: context.nodes, medianMs: MEDIAN_MS, shed: false });
    return withFleet(plan, context, async (fleet) => {
        const [stoppedTarget, ...remaining] = await listMeasuredTargets(fleet);
        const ours = await measureOurs(fleet, context, stoppedTarget?.id ?? "");
        const naive = await measureNaive(fleet, context, remaining);
        return { experiment: "rolling-restart", nodes: fleet.nodes.length, ours, naive };
    });
};
