/** A model of one service with uneven targets, behind the gates of this project and one of several ways of placing. */
import * as either from "fp-ts/lib/Either.js";
import { createGate, type Gate } from "oleandergap-gate";
import type { Clock, GateLoad, Milliseconds, RequestFailure, ServiceReference, ServiceRow } from "oleandergap-types";
import { createSeededRandom, pickOne, type Random } from "oleandergap-utils";
import { defaultRoutingOptions } from "../options.js";
import type { AttemptContext, AttemptResult, RequestRouter } from "../requestExecution.js";
import { createRequestRouter } from "../requestRouter.js";
import type { RoutableTarget, TargetPicker } from "../target.js";
import { createTargetPicker } from "../targetPicker.js";
import type { PacedTarget } from "./pacedTarget.js";
import type { PlacedKind, PlacingPlan, PlacingPolicy } from "./placingPlan.js";

const SERVICE: ServiceReference = { partner: "halloway", service: "wills-desk" };
/** Start time of the targets, long enough ago that their slow start is over. */
const START_TIME_MS = -1_000_000;

/** A simulated target with a real gate in front of it. */
export interface PlacedTarget extends RoutableTarget {
    readonly gate: Gate;
    readonly model: PacedTarget;
}

/** One request. Its deadline and objective are on the monotonic clock. */
export interface PlacedRequest {
    readonly kind: PlacedKind;
    readonly workMs: Milliseconds;
    readonly deadline: Milliseconds;
    readonly objective: Milliseconds;
    readonly entry: Entry;
}

/** A node at which requests arrive. */
export interface Entry {
    readonly nodeId: string;
    readonly zone: string;
}

/** Result of a request from the caller's point of view. */
export type PlacedResult = "Answered" | "Refused" | "Lost";

/** Sends one request. `onAttempt` is called with the target of each attempt. */
export type PlaceRequest = (
    request: PlacedRequest,
    onAttempt: (target: PlacedTarget) => void,
) => Promise<PlacedResult>;

const createRow = (plan: PlacingPlan): ServiceRow => ({
    service: SERVICE.service,
    weights: new Map(Array.from({ length: plan.zones }, (_, zone) => [`zone-${zone}`, 1])),
    limitName: "measured",
    limit: { concurrency: 1000, queue: plan.queue, timeoutMs: 5000, retryRatio: 0.1 },
    idempotency: "optional",
    placement: "load",
});

/** Creates the entry nodes of a plan. */
export const createEntries = (plan: PlacingPlan): readonly Entry[] =>
    Array.from({ length: plan.zones * plan.gatewaysPerZone }, (_, index) => ({
        nodeId: `node-${index}`,
        zone: `zone-${index % plan.zones}`,
    }));

/** Creates a gate for each simulated target. */
export const createPlacedTargets = (
    clock: Clock,
    plan: PlacingPlan,
    models: readonly PacedTarget[],
): readonly PlacedTarget[] => models.map((model, index) => ({
    nodeId: `node-${index}`,
    zone: `zone-${index % plan.zones}`,
    slots: plan.slots,
    leaving: false,
    since: START_TIME_MS,
    model,
    gate: createGate({ clock, limit: createRow(plan).limit, slots: plan.slots }),
}));

const lostFailure: RequestFailure = { kind: "AnswerLost", verdict: "mayHaveRun", detail: "deadline passed" };

/** Inputs of the sending besides the request. */
export interface PlacedServiceContext {
    readonly clock: Clock;
    readonly random: Random;
    readonly plan: PlacingPlan;
    readonly policy: PlacingPolicy;
    readonly targets: readonly PlacedTarget[];
    readonly entries: readonly Entry[];
}

/** Takes the loads that one node shares with another one; the returned function delivers them. */
type ExchangeLoads = (from: Entry, to: Entry) => () => void;

type Outcome = AttemptResult<number>["outcome"];

/** Creates the function that runs an admitted request at a target, whose gate then receives the target's report. */
const createTargetRun = ({ clock, plan, policy }: PlacedServiceContext) => {
    // Reports have random numbers of their own, so that they change nothing else in a run.
    const random = createSeededRandom(plan.seed + 2);
    const recordReport = ({ gate, model }: PlacedTarget): void => {
        if (policy === "reports" && random() >= plan.reportLoss) {
            const { inFlight, queued } = gate.load();
            const pace = model.reportedPace(random);
            gate.recordReport({ running: inFlight, waiting: queued, slots: plan.slots, pace });
        }
    };

    return (target: PlacedTarget, request: PlacedRequest): Promise<Outcome> =>
        new Promise((resolve) => {
            const stop = target.model.run(request.workMs, () => {
                cancelTimeout();
                recordReport(target);
                resolve(either.right(0));
            });
            const cancelTimeout = clock.after(request.deadline - clock.monotonic(), () => {
                stop();
                resolve(either.left(lostFailure));
            });
        });
};

/** Creates the function that sends a request to the gate of a target and runs it there. */
const createAttempt = (context: PlacedServiceContext, exchange?: ExchangeLoads) => {
    const { clock, plan } = context;
    const run = createTargetRun(context);

    return async (
        target: PlacedTarget,
        request: PlacedRequest,
        { deadline, signal }: Pick<AttemptContext, "deadline" | "signal">,
    ): Promise<AttemptResult<number>> => {
        const networkMs = target.nodeId === request.entry.nodeId ? 0 : plan.networkMs;
        const deliverRequest = exchange?.(request.entry, target);
        await clock.sleep(networkMs, signal);
        deliverRequest?.();
        const { kind, objective } = request;
        const admission = await target.gate.admit({ ...SERVICE, kind: kind.name, deadline, objective, signal });
        let outcome: Outcome;
        if (either.isRight(admission)) {
            outcome = await run(target, request);
            admission.right.release(either.isRight(outcome) ? "Answered" : "Cancelled");
        }
        else {
            outcome = admission;
        }
        const load: GateLoad = target.gate.load(kind.name);
        const deliverResponse = exchange?.(target, request.entry);
        await clock.sleep(networkMs, signal);
        deliverResponse?.();
        return { outcome, load, retriedDownstream: false };
    };
};

/** Larger than any completion time. */
const NO_FREE_SLOT_PENALTY_MS = 1_000_000;

/**
 * Scores a target by the time that the work ahead and a run take if its pace stays as it is. Targets with a free slot
 * come first, because a request that waits holds up those that come after it.
 */
const scoreCompletion = ({ model, gate, slots }: PlacedTarget, workMs: Milliseconds): Milliseconds => {
    const { inFlight, queued } = gate.load();
    const ahead = Math.max(0, inFlight + queued + 1 - slots) / slots;
    return (workMs * (1 + ahead) * model.pace()) / model.speed + (ahead > 0 ? NO_FREE_SLOT_PENALTY_MS : 0);
};

const findLowest = <Item>(items: readonly Item[], score: (item: Item) => number): Item | undefined => {
    let best: Item | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const item of items) {
        const itemScore = score(item);
        if (itemScore < bestScore) {
            best = item;
            bestScore = itemScore;
        }
    }
    return best;
};

/** Chooses a target for a request at an entry. */
type ChooseTarget = (request: PlacedRequest) => PlacedTarget | undefined;

const createNaiveChoice = ({ policy, random, targets }: PlacedServiceContext): ChooseTarget => {
    let turn = 0;
    switch (policy) {
        case "roundRobin":
            return () => targets[turn++ % targets.length];
        case "leastInFlight":
            return () => findLowest(
                targets,
                ({ gate }) => gate.load().inFlight + gate.load().queued + random() / 2,
            );
        default:
            return ({ kind }) => findLowest(targets, (target) => scoreCompletion(target, kind.workMs));
    }
};

const createNaiveSender = (context: PlacedServiceContext): PlaceRequest => {
    const attempt = createAttempt(context);
    const choose = createNaiveChoice(context);
    return async (request, onAttempt) => {
        const { signal } = new AbortController();
        const target = choose(request);
        if (target === undefined) {
            return "Refused";
        }
        onAttempt(target);
        const { outcome } = await attempt(target, request, { deadline: request.deadline, signal });
        if (either.isRight(outcome)) {
            return "Answered";
        }
        return outcome.left.verdict === "notRun" ? "Refused" : "Lost";
    };
};

/** The routing of one entry node. */
interface EntryRouting {
    readonly picker: TargetPicker<PlacedTarget>;
    readonly router: RequestRouter<PlacedTarget>;
}

const createEntryRouting = (
    { clock, random, targets }: PlacedServiceContext,
    { nodeId, zone }: Entry,
): EntryRouting => {
    const local = targets.find((target) => target.nodeId === nodeId);
    const picker = createTargetPicker<PlacedTarget>({
        localLoad: () => local?.gate.load(),
        localNodeId: nodeId,
        localZone: zone,
        clock,
        random,
        options: defaultRoutingOptions.picker,
    });
    return { picker, router: createRequestRouter({ clock, picker }) };
};

const createRoutedSender = (context: PlacedServiceContext): PlaceRequest => {
    const row = createRow(context.plan);
    const routingByNode = new Map(context.entries.map((entry) => [entry.nodeId, createEntryRouting(context, entry)]));
    const exchange: ExchangeLoads = (from, to) => {
        const isShared = from.zone === to.zone && from.nodeId !== to.nodeId;
        const loads = isShared ? routingByNode.get(from.nodeId)?.picker.shareLoads(SERVICE) ?? [] : [];
        return () => routingByNode.get(to.nodeId)?.picker.recordSharedLoads(SERVICE, loads);
    };
    const attempt = createAttempt(context, exchange);
    return async (request, onAttempt) => {
        const execution = {
            service: SERVICE,
            row,
            targets: context.targets,
            idempotent: true,
            canReplayBody: () => true,
            deadline: request.deadline,
            objective: request.objective,
            retriesAllowed: true,
            kind: request.kind.name,
            signal: new AbortController().signal,
        };
        const router = routingByNode.get(request.entry.nodeId)?.router;
        const result = await router?.execute(execution, (target, attemptContext) => {
            onAttempt(target);
            return attempt(target, request, attemptContext);
        });
        if (result === undefined || either.isLeft(result)) {
            return result?.left.failure.verdict === "notRun" ? "Refused" : "Lost";
        }
        return "Answered";
    };
};

/** Creates the sender of a policy. */
export const createPlacedService = (context: PlacedServiceContext): PlaceRequest =>
    context.policy === "loads" || context.policy === "reports" ?
        createRoutedSender(context) :
        createNaiveSender(context);

/** Returns a random entry of a zone. */
export const pickEntry = (random: Random, entries: readonly Entry[], zone: number): Entry | undefined =>
    pickOne(random, entries.filter((entry) => entry.zone === `zone-${zone}`));
