/**
 * Sends a request to a target and retries it at other targets where that is safe, within the retry budget and the
 * deadline.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { formatServiceReference, type Clock, type RequestFailure } from "oleandergap-types";
import { createAttemptHistory, type AttemptHistory } from "./attemptHistory.js";
import { createTryTarget } from "./tryTarget.js";
import { defaultRoutingOptions, type RetryOptions } from "./options.js";
import { createOpenAttempts } from "./openAttempts.js";
import type {
    Attempt,
    AttemptResult,
    DiscardAnswer,
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
import type { RoutableTarget, TargetPicker } from "./target.js";

/** Dependencies of a request router. */
export interface RequestRouterDependencies<Target extends RoutableTarget> {
    readonly clock: Clock;
    readonly picker: TargetPicker<Target>;
    readonly options?: RetryOptions;
    /**
     * Refuses requests before they are sent if their service is overloaded and placed by load. Without it, no requests
     * are refused for overload.
     */
    readonly throttle?: OverloadThrottle | undefined;
    /**
     * Refuses requests whose runs would fail because a downstream call is not served. Without it, no requests are
     * refused for this reason.
     */
    readonly starvation?: StarvationThrottle | undefined;
}

/** Creates the router of one node. Each service has a separate retry budget. */
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

    const tryTarget = createTryTarget<Target>(clock);

    const findObstacle = (
        { signal, deadline, findObstacle: findFurther }: RequestExecution<Target>,
        attempts: number,
    ): RequestFailure | undefined => {
        if (signal.aborted) {
            return refuse("Cancelled");
        }
        return clock.monotonic() >= deadline ? refuse("DeadlinePassed") : findFurther?.(attempts);
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
        discard: DiscardAnswer<Answer> = () => undefined,
    ): Promise<Either<RoutedFailure, Routed<Answer>>> => {
        const history = createAttemptHistory();
        const budget = budgetOf(execution);
        const hasRoom = (): boolean => picker.hasRoom(toPickRequest(execution));
        const open = createOpenAttempts(discard);
        const succeed = (result: AttemptResult<Answer>, answer: Answer): Either<RoutedFailure, Routed<Answer>> => {
            const { retriedBelow, isStarved = false } = result;
            open.giveUp(result);
            budget.deposit(execution.row.limit.retryRatio);
            const attempts = history.tried.length;
            return either.right({
                answer,
                attempts,
                retriedBelow: retriedBelow || attempts > 1,
                ...isStarved ? { isStarved } : {},
            });
        };
        const giveUp = async (failure: RequestFailure): Promise<Either<RoutedFailure, Routed<Answer>>> => {
            const late = await open.answer();
            if (late !== undefined && either.isRight(late.outcome)) {
                return succeed(late, late.outcome.right);
            }
            return either.left(history.conclude(failure, isShed(failure, hasRoom) ?
                options.shedRetryAfterMs :
                picker.retryAfter(execution.service)));
        };
        for (;;) {
            const obstacle = findObstacle(execution, history.tried.length);
            if (obstacle !== undefined) {
                return giveUp(obstacle);
            }
            const pick = picker.pick(toPickRequest(execution, history));
            if (pick === undefined) {
                return giveUp(history.lastFailure() ?? refuse("NoTarget"));
            }
            history.addAttempt(pick.target);
            const result = await tryTarget(pick, execution, attempt, open);
            if (either.isRight(result.outcome)) {
                return succeed(result, result.outcome.right);
            }
            const failure = result.outcome.left;
            if (result.open !== undefined) {
                open.add(result.open);
            }
            history.addFailure(pick.target, failure, result.retriedBelow);
            if (!mayTryAgain(execution, history, failure, budget)) {
                return giveUp(failure);
            }
        }
    };

    const throttled = throttle === undefined ? attemptAll : throttleRequests({ clock, throttle, picker }, attemptAll);
    return { execute: starvation === undefined ? throttled : refuseStarving(starvation, picker, throttled) };
};
