/**
 * Simulates services that call each other: gates, entry nodes with their throttles, nodes of limited processor time,
 * and callers that retry.
 */
import { setMaxListeners } from "node:events";
import * as either from "fp-ts/lib/Either.js";
import { createGate, defaultGateOptions, type Gate } from "oleandergap-gate";
import type { Limit, Milliseconds, ServiceReference, ServiceRow } from "oleandergap-types";
import { createSeededRandom, type Random } from "oleandergap-utils";
import {
    createAdmissionShares,
    createOverloadThrottle,
    createRequestRouter,
    createStarvationThrottle,
    createTargetPicker,
    type AttemptContext,
    type AttemptResult,
    type RequestRouter,
    type RoutableTarget,
} from "../index.js";
import { createVirtualClock, type VirtualClock } from "../measure/virtualClock.js";
import { createRow } from "./pickerHarness.js";
import type { ChainCounts, ChainKind, ChainPlan, ChainResults, ChainTargets } from "./serviceChainPlan.js";

interface ChainRequest {
    readonly kind: ChainKind;
    readonly deadline: Milliseconds;
    readonly objective: Milliseconds;
    readonly isCallerRetry: boolean;
    readonly needsCall: boolean;
}

/** End of a run: served, or failed for want of its call. */
type RunEnd = "Served" | "Starved";

/** End of a request at its entry node. A refused one may be retried after a time. */
type EntryEnd = { readonly kind: RunEnd | "Lost" } | { readonly kind: "Refused"; readonly retryAfterMs: Milliseconds };

interface ChainNode {
    /** Resolves when the processor has handled one message. */
    readonly handleMessage: () => Promise<void>;
    readonly router: RequestRouter<RoutableTarget>;
}

interface ChainTarget {
    readonly service: string;
    readonly nodeIndex: number;
    readonly gate: Gate;
    readonly slowness: number;
    readonly routable: RoutableTarget;
}

interface ChainWorld {
    readonly clock: VirtualClock;
    readonly random: Random;
    readonly plan: ChainPlan;
    readonly nodes: readonly ChainNode[];
    readonly findTargets: (service: string) => readonly ChainTarget[];
    readonly sleep: (duration: Milliseconds) => Promise<void>;
    readonly getCounts: (kind: ChainKind) => ChainCounts | undefined;
}

const PARTNER = "brazos";
const NETWORK_MS: Milliseconds = 1;
const MAXIMUM_RETRIES = 2;
/** Part of its remaining time that a caller waits at most when it is told when to retry. */
const MAXIMUM_PAUSE_PART = 1 / 3;
const MINIMUM_PAUSE_MS: Milliseconds = 20;
const LIMIT: Limit = { concurrency: 110, queue: 500, timeoutMs: 1000, retryRatio: 0.2 };
const ROW: ServiceRow = { ...createRow({}, LIMIT.retryRatio), placement: "load", limit: LIMIT };
const GATE_OPTIONS = { ...defaultGateOptions, queueOrder: "objectiveFirst", fairShare: "partners" } as const;

const nameService = (service: string): ServiceReference => ({ partner: PARTNER, service });

const createNode = (
    index: number,
    { clock, sleep, createRandom, messageMs }: Pick<ChainWorld, "clock" | "sleep"> & {
        readonly createRandom: () => Random;
        readonly messageMs: Milliseconds;
    },
): ChainNode => {
    let busyUntil = 0;
    const picker = createTargetPicker<RoutableTarget>({
        localNodeId: `node-${index}`, localZone: `zone-${index % 3}`, clock, random: createRandom(),
    });
    return {
        handleMessage: async () => {
            busyUntil = Math.max(clock.monotonic(), busyUntil) + messageMs;
            await sleep(busyUntil - clock.monotonic());
        },
        router: createRequestRouter({
            clock,
            picker,
            throttle: createOverloadThrottle(clock, createRandom()),
            starvation: createStarvationThrottle(clock, createRandom()),
            admission: { shares: createAdmissionShares(clock), random: createRandom() },
        }),
    };
};

const createTargets = (
    clock: VirtualClock,
    slots: number,
    { service, firstNode, slowness }: ChainTargets,
): readonly ChainTarget[] => slowness.map((factor, index) => {
    const nodeIndex = firstNode + index;
    const routable = { nodeId: `node-${nodeIndex}`, zone: `zone-${nodeIndex % 3}`, slots, leaving: false, since: 0 };
    const gate = createGate({ clock, limit: LIMIT, slots, options: GATE_OPTIONS });
    return { service, nodeIndex, gate, slowness: factor, routable };
});

const createWorld = (plan: ChainPlan): ChainWorld => {
    const clock = createVirtualClock();
    const random = createSeededRandom(plan.seed);
    const { signal } = new AbortController();
    // All simulated messages add a listener to this signal.
    setMaxListeners(0, signal);
    const sleep: ChainWorld["sleep"] = (duration) => clock.sleep(duration, signal);
    const createRandom = (): Random => createSeededRandom(Math.floor(random() * 1e9));
    const nodes = Array.from({ length: plan.nodes }, (_, index) =>
        createNode(index, { clock, sleep, createRandom, messageMs: plan.messageMs }));
    const targets = new Map<string, readonly ChainTarget[]>();
    for (const change of plan.targets) {
        clock.after(change.fromMs, () => targets.set(change.service, createTargets(clock, plan.slots, change)));
    }
    const counts = new Map<string, ChainCounts>();
    const getCounts: ChainWorld["getCounts"] = ({ name }) => {
        const existing = counts.get(name) ?? { requested: 0, inTime: 0, late: 0 };
        counts.set(name, existing);
        return clock.monotonic() < plan.countedFromMs ? undefined : existing;
    };
    return { clock, random, plan, nodes, findTargets: (service) => targets.get(service) ?? [], sleep, getCounts };
};

const recordEnd = (
    counts: ChainCounts | undefined,
    isServed: boolean,
    now: Milliseconds,
    objective: Milliseconds,
): void => {
    if (counts !== undefined && isServed) {
        counts[now <= objective ? "inTime" : "late"] += 1;
    }
};

type HandleAtEntry = (nodeIndex: number, request: ChainRequest) => Promise<EntryEnd>;

/** Creates the function that handles a request at its entry node. */
const createEntry = (world: ChainWorld): HandleAtEntry => {
    const { clock, random, nodes, sleep } = world;

    const makeCall = async (nodeIndex: number, kind: ChainKind, parentDeadline: Milliseconds): Promise<boolean> => {
        const startedAt = clock.monotonic();
        const counts = world.getCounts(kind);
        if (counts !== undefined) {
            counts.requested += 1;
        }
        const objective = startedAt + kind.objectiveMs;
        const deadline = Math.min(parentDeadline, startedAt + kind.deadlineMs);
        const end = await enter(nodeIndex, { kind, deadline, objective, isCallerRetry: false, needsCall: false });
        recordEnd(counts, end.kind === "Served", clock.monotonic(), objective);
        return end.kind === "Served";
    };

    const runAtTarget = async (target: ChainTarget, { kind, needsCall, deadline }: ChainRequest): Promise<RunEnd> => {
        const duration = kind.workMs * target.slowness * (0.5 + random());
        await sleep(duration / 2);
        if (kind.call !== undefined && needsCall && !await makeCall(target.nodeIndex, kind.call.kind, deadline)) {
            return "Starved";
        }
        await sleep(duration / 2);
        return "Served";
    };

    const reachGate = async (
        nodeIndex: number,
        request: ChainRequest,
        { nodeId }: RoutableTarget,
        { signal, sentShare }: AttemptContext,
    ): Promise<AttemptResult<RunEnd>> => {
        const { kind, deadline, objective } = request;
        const target = world.findTargets(kind.service).find(({ routable }) => routable.nodeId === nodeId);
        if (target === undefined) {
            const failure = { kind: "Refused", verdict: "notRun", reason: "NoTarget", retryAfterMs: 0 } as const;
            return { outcome: either.left(failure), load: undefined, retriedDownstream: false };
        }
        const { gate } = target;
        const isRemote = target.nodeIndex !== nodeIndex;
        const crossHop = async (): Promise<void> => {
            await sleep(NETWORK_MS);
            await nodes[target.nodeIndex]?.handleMessage();
        };
        if (isRemote) {
            await crossHop();
        }
        const describeGate = (): Pick<AttemptResult<RunEnd>, "load" | "admissionShare" | "retriedDownstream"> => ({
            load: gate.load(kind.name),
            admissionShare: gate.admissionShare(kind.priority),
            retriedDownstream: false,
        });
        const admission = await gate.admit({
            ...nameService(kind.service),
            kind: kind.name,
            priority: kind.priority,
            deadline,
            objective,
            sentShare,
            signal,
        });
        if (either.isLeft(admission)) {
            return { outcome: admission, ...describeGate() };
        }
        const end = await runAtTarget(target, request);
        admission.right.release("Answered");
        if (isRemote) {
            await crossHop();
        }
        return { outcome: either.right(end), isStarved: end === "Starved", ...describeGate() };
    };

    /** Ends an attempt when its caller stops waiting, whatever its gate is doing. */
    const attempt: typeof reachGate = (nodeIndex, request, target, context) => new Promise((resolve, reject) => {
        const failure = { kind: "AnswerLost", verdict: "mayHaveRun", detail: "no response" } as const;
        const lose = (): void => resolve({ outcome: either.left(failure), load: undefined, retriedDownstream: false });
        context.signal.addEventListener("abort", lose, { once: true });
        reachGate(nodeIndex, request, target, context).then(resolve, reject);
    });

    const enter: HandleAtEntry = async (nodeIndex, request) => {
        const { kind, deadline, objective, isCallerRetry } = request;
        const node = nodes[nodeIndex];
        await node?.handleMessage();
        const abort = new AbortController();
        clock.after(deadline - clock.monotonic(), () => abort.abort());
        const routed = await node?.router.execute<RunEnd>({
            service: nameService(kind.service),
            row: ROW,
            targets: world.findTargets(kind.service).map(({ routable }) => routable),
            idempotent: kind.isIdempotent,
            canReplayBody: () => true,
            deadline,
            objective,
            retriesAllowed: true,
            maximumTargets: 2,
            kind: kind.name,
            isCallerRetry,
            signal: abort.signal,
        }, (target, context) => attempt(nodeIndex, request, target, context));
        if (routed === undefined || either.isLeft(routed)) {
            const failure = routed?.left.failure;
            return failure?.kind === "Refused" ?
                { kind: "Refused", retryAfterMs: failure.retryAfterMs } :
                { kind: "Lost" };
        }
        await node?.handleMessage();
        return { kind: clock.monotonic() > deadline ? "Lost" : routed.right.answer };
    };

    return enter;
};

/** Returns how long a caller pauses before it retries, or undefined if it does not. */
const choosePause = ({ isIdempotent }: ChainKind, end: EntryEnd, remaining: Milliseconds): Milliseconds | undefined => {
    if (end.kind !== "Refused") {
        return isIdempotent ? MINIMUM_PAUSE_MS : undefined;
    }
    return Math.max(MINIMUM_PAUSE_MS, Math.min(end.retryAfterMs, remaining * MAXIMUM_PAUSE_PART));
};

/** Sends one caller's request and its retries. */
const callAsCaller = async (world: ChainWorld, enter: HandleAtEntry, kind: ChainKind): Promise<void> => {
    const { clock, random, plan, sleep } = world;
    const counts = world.getCounts(kind);
    if (counts !== undefined) {
        counts.requested += 1;
    }
    const startedAt = clock.monotonic();
    const [lastMoment, objective] = [startedAt + kind.deadlineMs, startedAt + kind.objectiveMs];
    const needsCall = random() < (kind.call?.share ?? 0);
    for (let retries = 0; retries <= MAXIMUM_RETRIES; retries++) {
        const deadline = Math.min(lastMoment, clock.monotonic() + kind.timeoutMs);
        const nodeIndex = Math.floor(random() * plan.nodes);
        const end = await enter(nodeIndex, { kind, deadline, objective, isCallerRetry: retries > 0, needsCall });
        const now = clock.monotonic();
        const pause = end.kind === "Served" ? undefined : choosePause(kind, end, lastMoment - now);
        if (pause === undefined || now + pause >= lastMoment) {
            recordEnd(counts, end.kind === "Served", now, objective);
            return;
        }
        await sleep(pause);
    }
};

/** Plays a plan. */
export const playServiceChain = async (plan: ChainPlan): Promise<ChainResults> => {
    const world = createWorld(plan);
    const { clock, random } = world;
    const enter = createEntry(world);
    const scheduleNext = (kind: ChainKind): void => {
        const interval = (-Math.log(1 - random()) * 1000) / kind.requestsPerSecond;
        if (clock.monotonic() + interval < plan.endMs) {
            clock.after(interval, () => {
                void callAsCaller(world, enter, kind);
                scheduleNext(kind);
            });
        }
    };
    plan.kinds.filter(({ requestsPerSecond }) => requestsPerSecond > 0).forEach(scheduleNext);
    await clock.runUntil(plan.endMs);
    const results = new Map(plan.kinds.map((kind) => [kind.name, world.getCounts(kind)] as const));
    await clock.runUntil(plan.endMs + Math.max(...plan.kinds.map(({ deadlineMs }) => deadlineMs)));
    return new Map([...results].flatMap(([name, counts]) => counts === undefined ? [] : [[name, counts] as const]));
};

/** Returns the share of requests of some kinds that were served, in time or late. */
export const computeServedShare = (results: ChainResults, kinds: readonly ChainKind[]): number => {
    const counts = kinds.map(({ name }) => results.get(name) ?? { requested: 0, inTime: 0, late: 0 });
    const requested = counts.reduce((sum, count) => sum + count.requested, 0);
    return counts.reduce((sum, { inTime, late }) => sum + inTime + late, 0) / requested;
};
