/**
 * A request that crashes the targets that run it, sent again and again beside harmless reads, half of which are for one
 * path. Ours against nodes that contain nothing. Then what must not be contained: targets that crash of themselves, and
 * a caller that varies its request each time.
 */
import { createOneServicePlan, type Fleet } from "oleandergap-demo";
import { createCaller, type Caller, type CallRequest, type CallResult } from "oleandergap-standins";
import type { Milliseconds } from "oleandergap-types";
import type { ExperimentContext, ExperimentResult, Figures } from "../experiment.js";
import { withFleet } from "../withFleet.js";
import { runMeasuredLoad } from "./measuredLoad.js";

/** Nodes, each with a target of the one service, unless the command line names another number. */
export const CRASHING_NODES = 10;
const PORT_BASE = 18_480;
const SERVICE = { partner: "halloway", service: "wills-desk" } as const;
const CRASH_PATH = "/crash";
const MEDIAN_MS: Milliseconds = 100;
const DOWN_MS: Milliseconds = 3000;
const TIMEOUT_MS: Milliseconds = 3000;
const HARMLESS_PER_SECOND = 150;
const PHASE_MS: Milliseconds = 25_000;
/** Lets targets come back and evidence of the phase before settle. */
const PAUSE_MS: Milliseconds = 6000;
const CRASHES_TO_CONTAIN = 3;
/** Time after the third crash after which at most three more sends are allowed. */
const CONTACT_MS: Milliseconds = 3000;
/** Time after the third crash after which harmless reads are to be served as before. */
const SETTLED_MS: Milliseconds = 6000;
const POLL_MS: Milliseconds = 25;
/** More crashes than there ever are: nodes contain nothing. */
const CONTAIN_NOTHING = { containment: { crashesToContain: 100 } } as const;

/** What is sent beside the harmless reads, and how often. */
interface Phase {
    readonly name: string;
    readonly perSecond: number;
    /** Sends one, or ends a target. */
    readonly disturb: (fleet: Fleet, caller: Caller, index: number) => Promise<unknown>;
}

const sendCrash = (method: "GET" | "POST", phase: string, query: (index: number) => string): Phase["disturb"] =>
    (fleet, caller, index) => {
        const gateways = fleet.gateways();
        const gateway = gateways[index % gateways.length];
        const request: CallRequest = {
            service: SERVICE,
            method,
            path: `${CRASH_PATH}?${query(index)}`,
            runKey: `crash-${phase}-${index}`,
            timeoutMs: TIMEOUT_MS,
        };
        return gateway === undefined ? Promise.resolve() : caller.call(gateway, request);
    };

const restartInTurn: Phase["disturb"] = (fleet, _caller, index) => {
    const vm = fleet.plan.vms[index % fleet.plan.vms.length];
    return vm === undefined ? Promise.resolve() : fleet.targets.restart(vm.id);
};

const phases: readonly Phase[] = [
    { name: "get", perSecond: 2, disturb: sendCrash("GET", "get", () => "get") },
    { name: "post", perSecond: 2, disturb: sendCrash("POST", "post", () => "post") },
    { name: "seldom", perSecond: 1 / 3, disturb: sendCrash("GET", "seldom", () => "seldom") },
    { name: "ofThemselves", perSecond: 1, disturb: restartInTurn },
    { name: "varied", perSecond: 2, disturb: sendCrash("GET", "varied", String) },
];

interface Counts {
    /** Crashes by requests. */
    readonly crashes: number;
    /** Runs that were broken off, by crashes and by callers that left. */
    readonly cut: number;
}

const readCounts = async (fleet: Fleet): Promise<Counts> => {
    const targets = await fleet.targets.targets();
    return {
        crashes: targets.reduce((sum, { counters }) => sum + counters.crashes, 0),
        cut: targets.reduce((sum, { counters }) => sum + counters.cancelled, 0),
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

/** When the third crash of a phase was seen, and the runs of its request from then on. */
const watchThirdCrash = async (
    fleet: Fleet,
    { clock }: ExperimentContext,
    phase: string,
    signal: AbortSignal,
): Promise<{ readonly at: Milliseconds; readonly runsByContact: number } | undefined> => {
    const before = (await readCounts(fleet)).crashes;
    while ((await readCounts(fleet)).crashes - before < CRASHES_TO_CONTAIN) {
        await clock.sleep(POLL_MS, signal);
        if (signal.aborted) {
            return undefined;
        }
    }
    const at = clock.monotonic();
    await clock.sleep(CONTACT_MS, signal);
    return { at, runsByContact: await countRuns(fleet, phase) };
};

const disturbRepeatedly = async (
    fleet: Fleet,
    caller: Caller,
    { clock }: ExperimentContext,
    { perSecond, disturb }: Phase,
    signal: AbortSignal,
): Promise<void> => {
    for (let index = 0; !signal.aborted; index++) {
        void disturb(fleet, caller, index);
        await clock.sleep(1000 / perSecond, signal);
    }
};

const share = (part: number, whole: number): number => whole === 0 ? 1 : part / whole;

const measurePhase = async (
    fleet: Fleet,
    caller: Caller,
    context: ExperimentContext,
    phase: Phase,
): Promise<Figures> => {
    const { clock } = context;
    const results: { readonly at: Milliseconds; readonly result: CallResult }[] = [];
    const before = await readCounts(fleet);
    const end = new AbortController();
    const third = watchThirdCrash(fleet, context, phase.name, end.signal);
    const disturbance = disturbRepeatedly(fleet, caller, context, phase, end.signal);
    await runMeasuredLoad(context, {
        caller,
        ratePerSecond: HARMLESS_PER_SECOND,
        durationMs: PHASE_MS,
        timeoutMs: TIMEOUT_MS,
        gateways: fleet.gateways,
        createRequest: (index) => createHarmlessRead(phase.name, index),
        onResult: (result) => results.push({ at: clock.monotonic() - result.latencyMs, result }),
    });
    end.abort();
    await disturbance;
    const after = await readCounts(fleet);
    const found = await third;
    const settledFrom = (found?.at ?? Number.POSITIVE_INFINITY) + SETTLED_MS;
    const settled = results.filter(({ at }) => at >= settledFrom);
    const isServed = ({ result }: { readonly result: CallResult }): boolean => result.kind === "Answered";
    const countReason = (reason: string): number =>
        results.filter(({ result }) => result.kind === "Refused" && result.reason === reason).length;
    const cut = after.cut - before.cut;
    const figures: Figures = {
        crashes: after.crashes - before.crashes,
        sendsLater: found === undefined ? 0 : await countRuns(fleet, phase.name) - found.runsByContact,
        served: share(results.filter(isServed).length, results.length),
        servedSettled: share(settled.filter(isServed).length, settled.length),
        cutRuns: cut,
        cutServedElsewhere: 1 - share(countReason("AnswerLost"), cut === 0 ? Number.POSITIVE_INFINITY : cut),
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
        const faults = { crashPath: CRASH_PATH, crashDownMs: DOWN_MS };
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
    naive: await measureFleet(context, CONTAIN_NOTHING),
});
