/**
 * Sends a request to a target and retries it at other targets where that is safe, within the retry budget and the
 * deadline.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { formatServiceReference, type Clock, type RequestFailure } from "oleandergap-types";
import { createAskedRequests } from "./askedRequests.js";
import { withAdmissionLimit, type AdmissionLimitDependencies } from "./admissionLimit.js";
import { createAttemptHistory, type AttemptHistory } from "./attemptHistory.js";
import { createRunAttempt } from "./runAttempt.js";
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
import { isShedByTarget, createRefusal, withStarvationThrottle, withOverloadThrottle } from "./requestThrottling.js";
import type { StarvationThrottle } from "./starvationThrottle.js";
import { createRetryBudget, type RetryBudget } from "./retryBudget.js";
import { tryAcquireRetry } from "./retryDecision.js";
import { toPickRequest, toTrialPickRequest } from "./pickRequest.js";
import type { RoutableTarget, TargetPick, TargetPicker } from "./target.js";

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
    /** Sends the share of requests that gates ask for. Without it, all requests are sent. */
    readonly admission?: Pick<AdmissionLimitDependencies<Target>, "shares" | "random"> | undefined;
}

/** Creates the router of one node. Each service has a separate retry budget. */
export const createRequestRouter = <Target extends RoutableTarget>({
    clock,
    picker,
    options = defaultRoutingOptions.retry,
    throttle,
    starvation,
    admission,
}: RequestRouterDependencies<Target>): RequestRouter<Target> => {
    const budgets = new Map<string, RetryBudget>();

    const getBudget = (execution: RequestExecution<Target>): RetryBudget => {
        const key = formatServiceReference(execution.service);
        let budget = budgets.get(key);
        if (budget === undefined) {
            budget = createRetryBudget(options.retryReserve);
            budgets.set(key, budget);
        }
        return budget;
    };

    const runAttempt = createRunAttempt<Target>(clock);

    const findPreSendFailure = (
        { signal, deadline, findRefusal: findFurtherFailure }: RequestExecution<Target>,
        attempts: number,
    ): RequestFailure | undefined => {
        if (signal.aborted) {
            return createRefusal("Cancelled");
        }
        return clock.monotonic() >= deadline ? createRefusal("DeadlinePassed") : findFurtherFailure?.(attempts);
    };

    const shouldRetry = (
        execution: RequestExecution<Target>,
        history: AttemptHistory,
        failure: RequestFailure,
        budget: RetryBudget,
    ): boolean => tryAcquireRetry({
        failure,
        idempotent: execution.idempotent,
        canReplayBody: execution.canReplayBody,
        retriesAllowed:
            execution.retriesAllowed && !history.wasRetriedDownstream() && execution.row.limit.retryRatio > 0,
        attempts: history.attemptedNodeIds.length,
        maximumAttempts: options.maximumAttempts,
        hasTargetsLeft: history.targetsReached() < (execution.maximumTargets ?? Number.POSITIVE_INFINITY),
        capacityRefusals: history.capacityRefusals(),
        hasFreeSlotElsewhere: () => picker.hasFreeSlot(toPickRequest(execution, history)),
        budget,
    });

    const pickTarget = (
        execution: RequestExecution<Target>,
        history: AttemptHistory,
    ): TargetPick<Target> | undefined => {
        const trialRequest = toTrialPickRequest(execution, history);
        const trialPick = trialRequest && picker.pick(trialRequest);
        return trialPick ?? picker.pick(toPickRequest(execution, history));
    };

    const executeWithRetries = async <Answer>(
        execution: RequestExecution<Target>,
        attempt: Attempt<Target, Answer>,
        discard: DiscardAnswer<Answer> = () => undefined,
    ): Promise<Either<RoutedFailure, Routed<Answer>>> => {
        const history = createAttemptHistory();
        const budget = getBudget(execution);
        const hasFreeSlot = (): boolean => picker.hasFreeSlot(toPickRequest(execution));
        const openAttempts = createOpenAttempts(discard);
        const succeed = (result: AttemptResult<Answer>, answer: Answer): Either<RoutedFailure, Routed<Answer>> => {
            const { retriedDownstream, isStarved = false } = result;
            openAttempts.cancelOthers(result);
            budget.deposit(execution.row.limit.retryRatio);
            const attempts = history.attemptedNodeIds.length;
            return either.right({
                answer,
                attempts,
                retriedDownstream: retriedDownstream || attempts > 1,
                ...isStarved ? { isStarved } : {},
            });
        };
        const failRequest = async (failure: RequestFailure): Promise<Either<RoutedFailure, Routed<Answer>>> => {
            const lateResult = await openAttempts.answer();
            if (lateResult !== undefined && either.isRight(lateResult.outcome)) {
                return succeed(lateResult, lateResult.outcome.right);
            }
            return either.left(history.conclude(failure, isShedByTarget(failure, hasFreeSlot) ?
                options.shedRetryAfterMs :
                picker.retryAfter(execution.service)));
        };
        for (;;) {
            const preSendFailure = findPreSendFailure(execution, history.attemptedNodeIds.length);
            if (preSendFailure !== undefined) {
                return failRequest(preSendFailure);
            }
            const pick = pickTarget(execution, history);
            if (pick === undefined) {
                return failRequest(history.lastFailure() ?? createRefusal("NoTarget"));
            }
            history.addAttempt(pick.target);
            const result = await runAttempt(pick, execution, attempt, openAttempts);
            if (either.isRight(result.outcome)) {
                return succeed(result, result.outcome.right);
            }
            const failure = result.outcome.left;
            if (result.open !== undefined) {
                openAttempts.add(result.open);
            }
            history.addFailure(pick.target, failure, result.retriedDownstream);
            if (!shouldRetry(execution, history, failure, budget)) {
                return failRequest(failure);
            }
        }
    };

    const executeThrottled = throttle === undefined ?
        executeWithRetries :
        withOverloadThrottle({ clock, throttle, picker }, executeWithRetries);
    const executeLimited = admission === undefined ?
        executeThrottled :
        withAdmissionLimit({ clock, asked: createAskedRequests(clock), ...admission, picker }, executeThrottled);
    return {
        execute: starvation === undefined ?
            executeLimited :
            withStarvationThrottle(starvation, picker, executeLimited),
    };
};
