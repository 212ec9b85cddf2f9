/**
 * Wrappers of a router that refuse requests before they are sent, based on the results of earlier requests of the same
 * kind.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { formatServiceReference, type Clock, type RequestFailure } from "oleandergap-types";
import { createAttemptHistory } from "./attemptHistory.js";
import { createCustomersOverShare } from "./customersOverShare.js";
import { isCapacityRefusal } from "./recordOutcome.js";
import type { OverloadThrottle } from "./overloadThrottle.js";
import { toPickRequest } from "./pickRequest.js";
import type { RequestExecution, RequestRouter, RoutedFailure } from "./requestExecution.js";
import type { StarvationThrottle } from "./starvationThrottle.js";
import type { RoutableTarget, TargetPicker } from "./target.js";
import { wasLeftUnanswered, type RequestTimes } from "./unansweredRequests.js";

/**
 * Returns whether a target rejected a request by itself while targets have free slots. This is no overload, because
 * some targets shed part of their requests at any load. If it counted as an overload, requests would be refused at the
 * first node with `LimitReached` and callers would be asked to wait for a second while most slots are free.
 */
export const isShedByTarget = (failure: RequestFailure, hasFreeSlot: () => boolean): boolean =>
    failure.kind === "Refused" && failure.reason === "TargetBusy" && hasFreeSlot();

/** Creates a refusal without a retry delay; `AttemptHistory.conclude` adds the delay. */
export const createRefusal = (
    reason: "Cancelled" | "DeadlinePassed" | "LimitReached" | "NoTarget" | "Starved",
): RequestFailure => ({ kind: "Refused", verdict: "notRun", reason, retryAfterMs: 0 });

/**
 * Returns whether a request finally failed for lack of capacity. `hasFreeSlot` returns whether any target has a free
 * slot.
 */
const wasRefusedForCapacity = (routed: Either<RoutedFailure, unknown>, hasFreeSlot: () => boolean): boolean =>
    either.isLeft(routed) &&
    routed.left.failure.kind === "Refused" &&
    isCapacityRefusal(routed.left.failure.reason) &&
    !isShedByTarget(routed.left.failure, hasFreeSlot);

/**
 * Returns the key under which the throttles count a request: all requests with the same key should have similar
 * results. Requests that their caller repeats succeed less often than first requests. They have less time left, and a
 * request that failed because a call was not served needs that call again.
 */
const createThrottleKey = <Target extends RoutableTarget>(
    { service, kind = "", isCallerRetry = false }: RequestExecution<Target>,
): string => `${formatServiceReference(service)} ${kind} ${isCallerRetry ? "again" : "first"}`;

/** Returns the name under which the shares of a customer are recorded, or undefined without a customer. */
const formatThrottledCustomer = <Target extends RoutableTarget>(
    { service, customer }: RequestExecution<Target>,
): string | undefined => customer === undefined ? undefined : `${formatServiceReference(service)} ${customer}`;

/**
 * Returns the key for refusals for lack of capacity. Gates serve more urgent customers first. If requests of all
 * customers shared a key, those of urgent ones would be refused here although the gates accept them.
 */
const createOverloadKey = <Target extends RoutableTarget>(execution: RequestExecution<Target>): string => {
    const key = createThrottleKey(execution);
    return execution.customerPriority === undefined ? key : `${key} ${execution.customerPriority}`;
};

/** Returns whether a request was sent to a target that left it unanswered. */
const wasSentInVain = (routed: Either<RoutedFailure, unknown>, times: RequestTimes): boolean =>
    either.isLeft(routed) && routed.left.attempts > 0 && wasLeftUnanswered(routed.left.failure, times);

/** Returns whether a gate refused a request because its customer is over its share. */
const wasOverShare = (routed: Either<RoutedFailure, unknown>): boolean =>
    either.isLeft(routed) &&
    routed.left.failure.kind === "Refused" &&
    routed.left.failure.reason === "FairShareExceeded";

/** Dependencies of the overload throttle wrapper. */
export interface OverloadThrottleDependencies<Target extends RoutableTarget> {
    readonly clock: Clock;
    readonly throttle: OverloadThrottle;
    readonly picker: TargetPicker<Target>;
}

/** Refuses requests that the throttle does not admit, and records the results of the others in the throttle. */
export const withOverloadThrottle = <Target extends RoutableTarget>(
    { clock, throttle, picker }: OverloadThrottleDependencies<Target>,
    execute: RequestRouter<Target>["execute"],
): RequestRouter<Target>["execute"] => {
    const customersOverShare = createCustomersOverShare(clock);

    const chooseThrottleKey = (execution: RequestExecution<Target>): string => {
        const customer = formatThrottledCustomer(execution);
        const key = createOverloadKey(execution);
        return customer !== undefined && customersOverShare.isOverShare(customer) ? `${key} ${customer}` : key;
    };

    const recordRefusal = (execution: RequestExecution<Target>, routed: Either<RoutedFailure, unknown>): void => {
        const customer = formatThrottledCustomer(execution);
        if (customer !== undefined && wasOverShare(routed)) {
            customersOverShare.recordRefusal(customer);
        }
    };

    return async (execution, attempt, discard) => {
        const { service, row } = execution;
        // With weights, each zone receives its share whether it has capacity or not. Only with placement by load do
        // refusals reflect the capacity of the whole service.
        if (row.placement !== "load") {
            return execute(execution, attempt, discard);
        }
        const throttleKey = chooseThrottleKey(execution);
        const hasFreeSlot = (): boolean => picker.hasFreeSlot(toPickRequest(execution));
        if (!throttle.admits(throttleKey, hasFreeSlot)) {
            return either.left(createAttemptHistory().conclude(createRefusal("LimitReached"), picker.retryAfter(service)));
        }
        const sentAt = clock.monotonic();
        const routed = await execute(execution, attempt, discard);
        const now = clock.monotonic();
        recordRefusal(execution, routed);
        if (!wasRefusedForCapacity(routed, hasFreeSlot) && !wasSentInVain(routed, { ...execution, sentAt, now })) {
            throttle.recordAccepted(throttleKey);
        }
        return routed;
    };
};

/** Refuses requests whose runs would probably fail for lack of a call, and records the runs of the others. */
export const withStarvationThrottle = <Target extends RoutableTarget>(
    throttle: StarvationThrottle,
    picker: TargetPicker<Target>,
    execute: RequestRouter<Target>["execute"],
): RequestRouter<Target>["execute"] => async (execution, attempt, discard) => {
    const { service, isCallerRetry = false } = execution;
    const throttleKey = createThrottleKey(execution);
    if (!throttle.admits(throttleKey, isCallerRetry)) {
        return either.left(createAttemptHistory().conclude(createRefusal("Starved"), picker.retryAfter(service)));
    }
    const routed = await execute(execution, attempt, discard);
    if (either.isRight(routed)) {
        throttle.recordRun(throttleKey, routed.right.isStarved === true);
    }
    return routed;
};
