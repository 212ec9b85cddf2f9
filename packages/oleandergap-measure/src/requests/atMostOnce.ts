/**
 * Sends requests that must not run twice. Callers retry them with the same key until the result is known, while nodes
 * are killed, targets truncate responses, the platform loses responses, and duplicates are sent concurrently. Then
 * measures the same requests during a platform outage.
 */
import { setMaxListeners } from "node:events";
import type { Fleet } from "oleandergap-demo";
import { createCaller, type Caller } from "oleandergap-standins";
import type { Milliseconds } from "oleandergap-types";
import { createSeededRandom } from "oleandergap-utils";
import type { ExperimentContext, ExperimentResult, Figures } from "../experiment.js";
import { createNaiveCaller } from "../naive/naiveCaller.js";
import { withFleet } from "../withFleet.js";
import { startFaults, stopFaults, killNodesInTurn } from "./faultSchedule.js";
import { describeUnanswered, computeAnsweredShare } from "./fleetLoad.js";
import { runMeasuredLoad } from "./measuredLoad.js";
import { createRetryingCaller } from "./retryingCaller.js";
import { createMeasuredPost, createServicePlan, listMeasuredTargets } from "./serviceFleet.js";
import {
    createAuditedCaller,
    createVerdictLedger,
    describeAudit,
    describeViolations,
    readVerdict,
} from "./verdictLedger.js";

const MEDIAN_MS: Milliseconds = 20;
const TIMEOUT_MS: Milliseconds = 2000;
const RATE_PER_SECOND = 60;
const PHASE_MS: Milliseconds = 20_000;
const OUTAGE_MS: Milliseconds = 5000;
const SETTLE_MS: Milliseconds = 3000;
const DUPLICATE_SHARE = 0.2;

/** Measures the load under faults. Closes `caller` at the end. */
const measureFaults = async (
    fleet: Fleet,
    context: ExperimentContext,
    caller: Caller,
    name: string,
): Promise<Figures> => {
    const { clock, signal, seed } = context;
    // Every waiting retry adds a listener to this signal, so many listeners are not a leak.
    setMaxListeners(0, signal);
    const abortController = new AbortController();
    let completed = 0;
    const retryingCaller = createRetryingCaller({
        caller,
        gateways: fleet.gateways,
        clock,
        random: createSeededRandom(seed + 1),
        duplicateShare: DUPLICATE_SHARE,
        signal,
    });
    await startFaults(fleet);
    const loadSignal = AbortSignal.any([signal, abortController.signal]);
    const killLoop = killNodesInTurn(fleet, context, loadSignal);
    // If a node cannot be restarted, the load ends. The error is thrown where `killLoop` is awaited.
    killLoop.catch(() => abortController.abort());
    try {
        const { report } = await runMeasuredLoad({ seed, signal: loadSignal }, {
            caller: retryingCaller,
            gateways: fleet.gateways,
            ratePerSecond: RATE_PER_SECOND,
            durationMs: PHASE_MS,
            timeoutMs: TIMEOUT_MS,
            createRequest: (index) => createMeasuredPost(name, index, TIMEOUT_MS),
            onResult: (result) => {
                completed += readVerdict(result) === "ran" ? 1 : 0;
            },
        });
        abortController.abort();
        const kills = await killLoop;
        context.report(`${name}: ${describeUnanswered(report)}`);
        return {
            completedShare: completed / Math.max(1, report.sent + report.notSent),
            answeredShare: computeAnsweredShare(report),
            wrong: report.wrong,
            kills,
        };
    }
    finally {
        abortController.abort();
        await caller.close();
        await stopFaults(fleet);
    }
};

/** Measures a platform outage. Each request is sent once, so that the time to a refusal is that of one call. */
const measureOutage = async (
    fleet: Fleet,
    context: ExperimentContext,
    caller: Caller,
    outage: "refuse" | "hang",
    name: string,
): Promise<Figures> => {
    await fleet.platform.setFaults({ outage });
    try {
        const { report, refusals } = await runMeasuredLoad(context, {
            caller,
            gateways: fleet.gateways,
            ratePerSecond: RATE_PER_SECOND,
            durationMs: OUTAGE_MS,
            timeoutMs: TIMEOUT_MS,
            createRequest: (index) => createMeasuredPost(name, index, TIMEOUT_MS),
        });
        context.report(`${name}: ${describeUnanswered(report)}`);
        return {
            [`${outage}OutageAcceptedShare`]: computeAnsweredShare(report),
            [`${outage}OutageRefusalP99Ms`]: refusals.percentile(99),
        };
    }
    finally {
        await caller.close();
        await fleet.platform.setFaults({});
    }
};

const measure = async (
    fleet: Fleet,
    context: ExperimentContext,
    createBaseCaller: () => Caller,
    name: string,
): Promise<Figures> => {
    const ledger = createVerdictLedger();
    const createLedgerCaller = (): Caller => createAuditedCaller(createBaseCaller(), ledger);
    const faultFigures = await measureFaults(fleet, context, createLedgerCaller(), name);
    await fleet.waitUntilReady();
    await context.clock.sleep(SETTLE_MS, context.signal);
    const refuseFigures = await measureOutage(fleet, context, createLedgerCaller(), "refuse", `${name}-refuse`);
    await context.clock.sleep(SETTLE_MS, context.signal);
    const hangFigures = await measureOutage(fleet, context, createLedgerCaller(), "hang", `${name}-hang`);
    await context.clock.sleep(SETTLE_MS, context.signal);
    const audit = ledger.audit(await fleet.targets.runs());
    context.report(`${name}: ${describeViolations(audit)}`);
    return { ...describeAudit(audit), ...faultFigures, ...refuseFigures, ...hangFigures };
};

/** Runs the `at-most-once` experiment on a fleet of its own. */
export const runAtMostOnce = (context: ExperimentContext): Promise<ExperimentResult> => {
    const plan = createServicePlan({ nodes: context.nodes, medianMs: MEDIAN_MS, shed: false });
    return withFleet(plan, context, async (fleet) => {
        const { clock, signal } = context;
        const targets = await listMeasuredTargets(fleet);
        return {
            experiment: "at-most-once",
            nodes: fleet.nodes.length,
            ours: await measure(fleet, context, () => createCaller(clock), "ours"),
            naive: await measure(fleet, context, () => createNaiveCaller({ clock, targets, signal }), "naive"),
        };
    });
};
