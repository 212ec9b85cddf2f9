/** Sends a request to a target, and elsewhere again where that is safe, within budget and deadline. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import {
    formatServiceReference,
    type Clock,
    type GateLoad,
    type Milliseconds,
    type RequestFailure,
} from "oleandergap-types";
import { describeError } from "oleandergap-utils";
import { createAttemptHistory, type AttemptHistory } from "./attemptHistory.js";
import { defaultRoutingOptions, type RetryOptions } from "./options.js";
import type {
    Attempt,
    AttemptResult,
    RequestExecution,
    RequestRouter,
    Routed,
    RoutedFailure,
} from "./requestExecution.js";
import type { OverloadThrottle } from "./overloadThrottle.js";
import { isShed, refuse, refuseStarving, throttleRequests } from "./refuseBeforeSending.js";
import type { StarvationThrottle } from "./starvationThrottle.js";
import { createRetryBudget, type RetryBudget } from "./retryBudget.js";
import { mayRetry } from "./retryDecision.js";
import { toPickRequest } from "./pickRequest.js";
import type { AttemptOutcome, RoutableTarget, TargetPick, TargetPicker } from "./target.js";

/** What a router works with. */
export interface RequestRouterDependencies<Target extends RoutableTarget> {
    readonly clock: Clock;
    readonly picker: TargetPicker<Target>;
    readonly options?: RetryOptions;
    /** Refuses requests of overloaded services placed by load before they are sent; nothing is refused without it. */
    readonly throttle?: OverloadThrottle | undefined;
    /** Refuses requests whose runs would fail for want of a call; nothing is refused without it. */
    readonly starvation?: StarvationThrottle | undefined;
}

/**
 * A request whose time is over before it could be sent is refused by this node, not by the target's: no load was told.
 * Taken for an answer, it would bring a target back that is cut off; one would see requests wait there again and again.
 */
const isUnheard = (failure: RequestFailure, load: GateLoad | undefined): boolean =>
    failure.kind === "Refused" && failure.reason === "DeadlinePassed" && load === undefined;

const toOutcome = (
    { failure, load }: { readonly failure: RequestFailure; readonly load: GateLoad | undefined },
    waitedMs: Milliseconds,
    isTimeout: boolean,
): AttemptOutcome => {
    if (isUnheard(failure, load)) {
        return { kind: "AnswerLost", waitedMs, isTimeout: true };
    }
    switch (failure.kind) {
        case "Refused":
            return failure.reason === "Cancelled" || failure.reason === "ClaimUnavailable" ?
                { kind: "Abandoned" } :
                { kind: "Refused", reason: failure.reason };
        case "ConnectFailed":
            return { kind: "ConnectFailed" };
        case "AnswerLost":
        case "AnswerCut":
            return { kind: "AnswerLost", waitedMs, isTimeout };
        default:
            return { kind: "Abandoned" };
    }
};

/** Creates the router of one node; each service has a retry budget of its own. */
export const createRequestRouter = <Target extends RoutableTarget>({
    clock,
    picker,
    options = defaultRoutingOptions.retry,
    throttle,
    starvation,
}: RequestRouterDependencies<Target>): RequestRouter<Target> => {
    const budgets = new Map<string, RetryBudget>();

    const budgetOf = (execution: RequestExecution<Target>): RetryBudget => {
        const key = formatServiceReference(execution.service);
        let budget = budgets.get(key);
        if (budget === undefined) {
            budget = createRetryBudget(options.retryReserve);
            budgets.set(key, budget);
        }
        return budget;
    };

    const findObstacle = ({ signal, deadline }: RequestExecution<Target>): RequestFailure | undefined => {
        if (signal.aborted) {
            return refuse("Cancelled");
        }
        return clock.monotonic() >= deadline ? refuse("DeadlinePassed") : undefined;
    };

    /** An attempt that throws is a fault of this program; the request may be anywhere. */
    const runAttempt = async <Answer>(
        { target, progress }: TargetPick<Target>,
        { deadline, signal }: RequestExecution<Target>,
        attempt: Attempt<Target, Answer>,
    ): Promise<AttemptResult<Answer>> => {
        try {
            return await attempt(target, { deadline, signal, progress });
        }
        catch (error) {
            const failure = { kind: "AnswerLost", verdict: "mayHaveRun", detail: describeError(error) } as const;
            const outcome = either.left(failure);
            return { outcome, load: undefined, retriedBelow: false };
        }
    };

    const tryTarget = async <Answer>(
        pick: TargetPick<Target>,
        execution: RequestExecution<Target>,
        attempt: Attempt<Target, Answer>,
    ): Promise<AttemptResult<Answer>> => {
        const sentAt = clock.monotonic();
        const result = await runAttempt(pick, execution, attempt);
        const now = clock.monotonic();
        if (either.isRight(result.outcome)) {
            // A run that failed for want of a call took as long as the call, which says nothing of its target.
            pick.report(
                result.isStarved === true ? { kind: "Abandoned" } : { kind: "Answered", latencyMs: now - sentAt },
                result.load,
            );
            return result;
        }
        const outcome: AttemptOutcome = execution.signal.aborted ?
            { kind: "Abandoned", waitedMs: now - sentAt } :
            toOutcome(
                { failure: result.outcome.left, load: result.load }, now - sentAt, now >= execution.deadline,
            );
        pick.report(outcome, result.load);
        return result;
    };

    const mayTryAgain = (
        execution: RequestExecution<Target>,
        history: AttemptHistory,
        failure: RequestFailure,
        budget: RetryBudget,
    ): boolean => mayRetry({
        failure,
        idempotent: execution.idempotent,
        replayable: execution.replayable,
        retriesAllowed: execution.retriesAllowed && !history.wasRetriedBelow() && execution.row.limit.retryRatio > 0,
        attempts: history.tried.length,
        maximumAttempts: options.maximumAttempts,
        hasTargetsLeft: history.targetsReached() < (execution.maximumTargets ?? Number.POSITIVE_INFINITY),
        shortages: history.shortages(),
        hasRoomElsewhere: () => picker.hasRoom(toPickRequest(execution, history)),
        budget,
    });

    const attemptAll = async <Answer>(
        execution: RequestExecution<Target>,
        attempt: Attempt<Target, Answer>,
    ): Promise<Either<RoutedFailure, Routed<Answer>>> => {
        const history = createAttemptHistory();
        const budget = budgetOf(execution);
        const hasRoom = (): boolean => picker.hasRoom(toPickRequest(execution));
        const giveUp = (failure: RequestFailure): Either<RoutedFailure, Routed<Answer>> =>
            either.left(history.conclude(failure, isShed(failure, hasRoom) ?
                options.shedRetryAfterMs :
                picker.retryAfter(execution.service)));
        for (;;) {
            const obstacle = findObstacle(execution);
            if (obstacle !== undefined) {
                return giveUp(obstacle);
            }
            const pick = picker.pick(toPickRequest(execution, history));
            if (pick === undefined) {
                return giveUp(history.lastFailure() ?? refuse("NoTarget"));
            }
            history.addAttempt(pick.target);
            const { outcome, retriedBelow, isStarved = false } = await tryTarget(pick, execution, attempt);
            if (either.isRight(outcome)) {
                budget.deposit(execution.row.limit.retryRatio);
                const attempts = history.tried.length;
                return either.right({
                    answer: outcome.right,
                    attempts,
                    retriedBelow: retriedBelow || attempts > 1,
                    ...isStarved ? { isStarved } : {},
                });
            }
            history.addFailure(pick.target, outcome.left, retriedBelow);
            if (!mayTryAgain(execution, history, outcome.left, budget)) {
                return giveUp(outcome.left);
            }
        }
    };

    const throttled = throttle === undefined ? attemptAll : throttleRequests(throttle, picker, attemptAll);
    return { execute: starvation === undefined ? throttled : refuseStarving(starvation, picker, throttled) };
};
