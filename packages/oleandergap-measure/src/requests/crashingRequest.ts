/**
 * Repeatedly sends a request that crashes every target that runs it, along with harmless reads, half of which are for
 * one path. Compares the mesh with nodes whose containment is disabled. Two more phases measure what must not be
 * contained: targets that crash by themselves, and a caller that varies its request each time.
 */
import { createOneServicePlan, type Fleet } from "oleandergap-demo";
import { createCaller, type Caller, type CallRequest, type CallResult } from "oleandergap-standins";
import type { Milliseconds } from "oleandergap-types";
import type { ExperimentContext, ExperimentResult, Figures } from "../experiment.js";
import { withFleet } from "../withFleet.js";
import { runMeasuredLoad } from "./measuredLoad.js";

/** Number of nodes unless the command line sets another one. Each node has a target of the only service. */
export const CRASHING_REQUEST_DEFAULT_NODES = 10;
const PORT_BASE = 18_480;
const SERVICE = { partner: "halloway", service: "wills-desk" } as const;
const CRASH_PATH = "/crash";
const MEDIAN_MS: Milliseconds = 100;
const TARGET_DOWN_MS: Milliseconds = 3000;
const TIMEOUT_MS: Milliseconds = 3000;
const HARMLESS_READS_PER_SECOND = 150;
const PHASE_MS: Milliseconds = 25_000;
/** Pause between phases, in which targets restart and the crash evidence of the previous phase settles. */
const PAUSE_MS: Milliseconds = 6000;
const CRASHES_TO_CONTAIN = 3;
/** Grace period after the third crash. After it, at most three more sends are allowed. */
const CONTAINMENT_GRACE_MS: Milliseconds = 3000;
/** Time after the third crash within which harmless reads must be served as before. */
const RECOVERY_MS: Milliseconds = 6000;
const POLL_MS: Milliseconds = 25;
/** The threshold is higher than the number of crashes in any run, so nodes contain no request. */
const CONTAINMENT_DISABLED = { containment: { crashesToContain: 100 } } as const;

/** A disturbance during the harmless reads, and its rate. */
interface Phase {
    readonly name: string;
    readonly ratePerSecond: number;
    /** Sends one crashing request, or crashes a target. */
    readonly disturb: (fleet: Fleet, caller: Caller, index: number) => Promise<unknown>;
}

const createCrashSender = (
    method: "GET" | "POST",
    phase: string,
    createQuery: (index: number) => string,
): Phase["disturb"] =>
    (fleet, caller, index) => {
        const gateways = fleet.gateways();
        const gateway = gateways[index % gateways.length];
        const request: CallRequest = {
            service: SERVICE,
            method,
            path: `${CRASH_PATH}?${createQuery(index)}`,
            runKey: `crash-${phase}-${index}`,
            timeoutMs: TIMEOUT_MS,
        };
        return gateway === undefined ? Promise.resolve() : caller.call(gateway, request);
    };

const restartNextTarget: Phase["disturb"] = (fleet, _caller, index) => {
    const vm = fleet.plan.vms[index % fleet.plan.vms.length];
    return vm === undefined ? Promise.resolve() : fleet.targets.restart(vm.id);
};

const phases: readonly Phase[] = [
    { name: "get", ratePerSecond: 2, disturb: createCrashSender("GET", "get", () => "get") },
    { name: "post", ratePerSecond: 2, disturb: createCrashSender("POST", "post", () => "post") },
    { name: "seldom", ratePerSecond: 1 / 3, disturb: createCrashSender("GET", "seldom", () => "seldom") },
    { name: "ofThemselves", ratePerSecond: 1, disturb: restartNextTarget },
    { name: "varied", ratePerSecond: 2, disturb: createCrashSender("GET", "varied", String) },
];

interface TargetCounts {
    /** Number of crashes caused by requests. */
    readonly crashes: number;
    /** Number of runs that were interrupted by a crash or by a caller that disconnected. */
    readonly interruptedRuns: number;
}

const readTargetCounts = async (fleet: Fleet): Promise<TargetCounts> => {
    const targets = await fleet.targets.targets();
    return {
        crashes: targets.reduce((sum, { counters }) => sum + counters.crashes, 0),
        interruptedRuns: targets.reduce((sum, { counters }) => sum + counters.cancelled, 0),
    };
};

const countRuns = async (fleet: Fleet, phase: string): Promise<number> => (await fleet.targets.runs()).keys
    .filter(({ key }) => key.startsWith(`crash-${phase}-`))
    .reduce((sum, { runs }) => sum + runs, 0);

const createHarmlessRead = (phase: string, index: number): CallRequest => ({
    service: SERVICE,
    method: "GET",
    path: index % 2 === 0 ? "/popular" : `/files/${phase}/${index}`,
    runKey: `${phase}-${index}`,
    timeoutMs: TIMEOUT_MS,
});

/**
 * Waits for the third crash of a phase. Returns when it was detected, and how often the crashing request had run by the
 * end of the grace period. Returns undefined if the signal aborts before the third crash.
 */
const waitForThirdCrash = async (
    fleet: Fleet,
    { clock }: ExperimentContext,
    phase: string,
    signal: AbortSignal,
): Promise<{ readonly at: Milliseconds; readonly runsAtGraceEnd: number } | undefined> => {
    const crashesBefore = (await readTargetCounts(fleet)).crashes;
    while ((await readTargetCounts(fleet)).crashes - crashesBefore < CRASHES_TO_CONTAIN) {
        await clock.sleep(POLL_MS, signal);
        if (signal.aborted) {
            return undefined;
        }
    }
    const at = clock.monotonic();
    await clock.sleep(CONTAINMENT_GRACE_MS, signal);
    return { at, runsAtGraceEnd: await countRuns(fleet, phase) };
};

const runDisturbance = async (
    fleet: Fleet,
    caller: Caller,
    { clock }: ExperimentContext,
    { ratePerSecond, disturb }: Phase,
    signal: AbortSignal,
): Promise<void> => {
    for (let index = 0; !signal.aborted; index++) {
        void disturb(fleet, caller, index);
        await clock.sleep(1000 / ratePerSecond, signal);
    }
};

const computeShare = (part: number, whole: number): number => whole === 0 ? 1 : part / whole;

const measurePhase = async (
    fleet: Fleet,
    caller: Caller,
    context: ExperimentContext,
    phase: Phase,
): Promise<Figures> => {
    const { clock } = context;
    const results: { readonly at: Milliseconds; readonly result: CallResult }[] = [];
    const countsBefore = await readTargetCounts(fleet);
    const abortController = new AbortController();
    const pendingThirdCrash = waitForThirdCrash(fleet, context, phase.name, abortController.signal);
    const disturbance = runDisturbance(fleet, caller, context, phase, abortController.signal);
    await runMeasuredLoad(context, {
        caller,
        ratePerSecond: HARMLESS_READS_PER_SECOND,
        durationMs: PHASE_MS,
        timeoutMs: TIMEOUT_MS,
        gateways: fleet.gateways,
        createRequest: (index) => createHarmlessRead(phase.name, index),
        onResult: (result) => results.push({ at: clock.monotonic() - result.latencyMs, result }),
    });
    abortController.abort();
    await disturbance;
    const countsAfter = await readTargetCounts(fleet);
    const thirdCrash = await pendingThirdCrash;
    const settledFrom = (thirdCrash?.at ?? Number.POSITIVE_INFINITY) + RECOVERY_MS;
    const settled = results.filter(({ at }) => at >= settledFrom);
    const isServed = ({ result }: { readonly result: CallResult }): boolean => result.kind === "Answered";
    const countReason = (reason: string): number =>
        results.filter(({ result }) => result.kind === "Refused" && result.reason === reason).length;
    const interruptedRuns = countsAfter.interruptedRuns - countsBefore.interruptedRuns;
    const figures: Figures = {
        crashes: countsAfter.crashes - countsBefore.crashes,
        sendsLater: thirdCrash === undefined ? 0 : await countRuns(fleet, phase.name) - thirdCrash.runsAtGraceEnd,
        served: computeShare(results.filter(isServed).length, results.length),
        servedSettled: computeShare(settled.filter(isServed).length, settled.length),
        cutRuns: interruptedRuns,
        cutServedElsewhere: 1 - computeShare(
            countReason("AnswerLost"),
            interruptedRuns === 0 ? Number.POSITIVE_INFINITY : interruptedRuns,
        ),
        blamed: countReason("Contained"),
        noTarget: countReason("NoTarget") + countReason("ConnectFailed"),
    };
    context.report(`${phase.name}: ${JSON.stringify(figures)}`);
    return Object.fromEntries(Object.entries(figures).map(([name, value]) => [`${phase.name}.${name}`, value]));
};

const measureFleet = (context: ExperimentContext, settings: Readonly<Record<string, unknown>>): Promise<Figures> => {
    const plan = createOneServicePlan({
        targets: context.nodes,
        portBase: PORT_BASE,
        behaviour: { serviceTime: { medianMs: MEDIAN_MS, spread: 0.3 }, coldStart: { factor: 1, durationMs: 0 } },
        settings,
    });
    return withFleet(plan, context, async (fleet) => {
        const caller = createCaller(context.clock);
        const faults = { crashPath: CRASH_PATH, crashDownMs: TARGET_DOWN_MS };
        await Promise.all(plan.vms.map(({ id }) => fleet.targets.setFaults(id, faults)));
        const figures: Figures[] = [];
        for (const phase of phases) {
            figures.push(await measurePhase(fleet, caller, context, phase));
            await context.clock.sleep(PAUSE_MS, context.signal);
        }
        await caller.close();
        return Object.assign({}, ...figures) as Figures;
    });
};

/** Runs the `crashing-request` experiment on two fleets of its own, one after the other. */
export const runCrashingRequest = async (context: ExperimentContext): Promise<ExperimentResult> => ({
    experiment: "crashing-request",
    nodes: context.nodes,
    ours: await measureFleet(context, {}),
    naive: await measureFleet(context, CONTAINMENT_DISABLED),
});
