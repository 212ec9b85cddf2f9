/** A model of the service behind the router and gates of this project. */
import * as either from "fp-ts/lib/Either.js";
import { createGate, type Admission, type Gate } from "oleandergap-gate";
import type { Clock, RequestFailure, ServiceReference, ServiceRow } from "oleandergap-types";
import { pickOne, type Random } from "oleandergap-utils";
import type { AttemptContext, AttemptResult, RequestRouter } from "../requestExecution.js";
import { createRequestRouter } from "../requestRouter.js";
import type { RoutableTarget } from "../target.js";
import { createTargetPicker } from "../targetPicker.js";
import type { LoadPlan, RequestResult } from "./loadPlan.js";
import type { TargetModel } from "./targetModel.js";

const SERVICE: ServiceReference = { partner: "halloway", service: "wills-desk" };
/** Start time of the targets, long enough ago that their slow start is over. */
const START_TIME_MS = -1_000_000;

/** A simulated target with a real gate in front of it. */
export interface ModelTarget extends RoutableTarget {
    readonly gate: Gate;
    readonly model: TargetModel;
}

/** One request of the load. Its deadline is on the monotonic clock. */
export interface SentRequest {
    readonly id: number;
    readonly idempotent: boolean;
    readonly deadline: number;
}

/** Sends one request and returns its result. `onAttempt` is called at each attempt. */
export type SendRequest = (request: SentRequest, onAttempt: () => void) => Promise<RequestResult>;

/** Creates a gate for each target model and distributes them over the zones in turn. */
export const createModelTargets = (
    clock: Clock,
    plan: LoadPlan,
    models: readonly TargetModel[],
): readonly ModelTarget[] => models.map((model, index) => ({
    nodeId: `node-${index}`,
    zone: `zone-${index % plan.zones}`,
    slots: plan.announcedSlots,
    leaving: false,
    since: START_TIME_MS,
    model,
    gate: createGate({ clock, limit: plan.limit, slots: plan.announcedSlots, options: plan.gateOptions }),
}));

const createRow = (plan: LoadPlan): ServiceRow => ({
    service: SERVICE.service,
    weights: new Map(Array.from({ length: plan.zones }, (_, zone) => [`zone-${zone}`, 1])),
    limitName: "measured",
    limit: plan.limit,
    idempotency: "optional",
    placement: "weights",
});

const lostFailure: RequestFailure = { kind: "AnswerLost", verdict: "mayHaveRun", detail: "deadline passed" };

/**
 * Runs an admitted request until it is answered or its deadline passes. The slot is released when the target has
 * stopped.
 */
const serve = (
    clock: Clock,
    target: ModelTarget,
    request: SentRequest,
    admission: Admission,
): Promise<AttemptResult<number>> =>
    new Promise((resolve) => {
        const finish = (outcome: AttemptResult<number>["outcome"]): void => {
            cancelTimeout();
            admission.release(either.isRight(outcome) ? "Answered" : "Cancelled");
            resolve({ outcome, load: target.gate.load(), retriedDownstream: false });
        };
        const stop = target.model.run(request.id, () => finish(either.right(request.id)));
        const cancelTimeout = clock.after(request.deadline - clock.monotonic(), () => {
            stop();
            finish(either.left(lostFailure));
        });
    });

const createAttempt = (clock: Clock, plan: LoadPlan, request: SentRequest, onAttempt: () => void) =>
    async (target: ModelTarget, { deadline, signal }: AttemptContext): Promise<AttemptResult<number>> => {
        onAttempt();
        await clock.sleep(plan.networkMs, signal);
        const admission = await target.gate.admit({ ...SERVICE, deadline, signal });
        const result: AttemptResult<number> = either.isRight(admission) ?
            await serve(clock, target, request, admission.right) :
            { outcome: admission, load: target.gate.load(), retriedDownstream: false };
        await clock.sleep(plan.networkMs, signal);
        return result;
    };

const createRouters = (clock: Clock, random: Random, plan: LoadPlan): readonly RequestRouter<ModelTarget>[] =>
    Array.from({ length: plan.gateways }, (_, index) => {
        const picker = createTargetPicker<ModelTarget>({ localZone: `zone-${index % plan.zones}`, clock, random });
        return createRequestRouter({ clock, picker });
    });

/** Creates a sender that routes each request through a randomly selected gateway. */
export const createRoutedService = (
    clock: Clock,
    random: Random,
    plan: LoadPlan,
    models: readonly TargetModel[],
): SendRequest => {
    const targets = createModelTargets(clock, plan, models);
    const routers = createRouters(clock, random, plan);
    const row = createRow(plan);
    return async (request, onAttempt) => {
        const execution = {
            service: SERVICE,
            row,
            targets,
            idempotent: request.idempotent,
            canReplayBody: () => true,
            deadline: request.deadline,
            retriesAllowed: true,
            signal: new AbortController().signal,
        };
        const result = await pickOne(random, routers)?.execute(
            execution,
            createAttempt(clock, plan, request, onAttempt),
        );
        if (result === undefined || either.isLeft(result)) {
            return result?.left.failure.verdict === "notRun" ? "Refused" : "Lost";
        }
        return clock.monotonic() <= request.deadline ? "Answered" : "Lost";
    };
};
