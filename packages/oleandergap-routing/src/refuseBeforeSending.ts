/** Wrappers of a router that refuse requests before they are sent, by what became of earlier ones of their kind. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { formatServiceReference, type Clock, type Milliseconds, type RequestFailure } from "oleandergap-types";
import { createAttemptHistory } from "./attemptHistory.js";
import { isShortage } from "./learnOutcome.js";
import type { OverloadThrottle } from "./overloadThrottle.js";
import { toPickRequest } from "./pickRequest.js";
import type { RequestExecution, RequestRouter, RoutedFailure } from "./requestExecution.js";
import type { StarvationThrottle } from "./starvationThrottle.js";
import type { RoutableTarget, TargetPicker } from "./target.js";

/**
 * Whether a target turned a request away by itself while targets have free slots. That is no overload: some shed a part
 * of their requests whatever their load. Taken for one, requests would be refused at the first node, and callers sent
 * away for a second, while most slots are free; one would see `LimitReached` beside idle targets.
 */
export const isShed = (failure: RequestFailure, hasRoom: () => boolean): boolean =>
    failure.kind === "Refused" && failure.reason === "TargetBusy" && hasRoom();

/** A refusal that names no time to come back; whoever concludes the request adds it. */
export const refuse = (reason: "Cancelled" | "DeadlinePassed" | "LimitReached" | "NoTarget" | "Starved"): RequestFailure =>
    ({ kind: "Refused", verdict: "notRun", reason, retryAfterMs: 0 });

/** Whether a request was refused for want of capacity in the end; `hasRoom` tells whether targets have free slots. */
const wasShort = (routed: Either<RoutedFailure, unknown>, hasRoom: () => boolean): boolean =>
    either.isLeft(routed) &&
    routed.left.failure.kind === "Refused" &&
    isShortage(routed.left.failure.reason) &&
    !isShed(routed.left.failure, hasRoom);

/**
 * Requests that fare alike. Those of returning callers fare worse than first ones: they have less time left, and what
 * failed for want of a call needs it again.
 */
const nameAlike = <Target extends RoutableTarget>(
    { service, kind = "", isReturning = false }: RequestExecution<Target>,
): string => `${formatServiceReference(service)} ${kind} ${isReturning ? "again" : "first"}`;

/**
 * Part of its time that a caller has to have waited for its leaving to tell of the service. One that leaves sooner
 * might have been answered.
 */
const PATIENT_PART = 0.5;

/** Whether a request that was sent to a target got no answer although its caller was patient. */
const wasUnanswered = (
    { deadline, signal }: Pick<RequestExecution<RoutableTarget>, "deadline" | "signal">,
    routed: Either<RoutedFailure, unknown>,
    { sentAt, now }: { readonly sentAt: Milliseconds; readonly now: Milliseconds },
): boolean => {
    const isLost = either.isLeft(routed) && routed.left.attempts > 0 && routed.left.failure.kind === "AnswerLost";
    const wasGivenUp = signal.aborted || now >= deadline;
    return isLost && wasGivenUp && now - sentAt >= PATIENT_PART * (deadline - sentAt);
};

/** What throttling works with. */
export interface ThrottleDependencies<Target extends RoutableTarget> {
    readonly clock: Clock;
    readonly throttle: OverloadThrottle;
    readonly picker: TargetPicker<Target>;
}

/** Refuses what the throttle does not admit, and tells it what became of the rest. */
export const throttleRequests = <Target extends RoutableTarget>(
    { clock, throttle, picker }: ThrottleDependencies<Target>,
    execute: RequestRouter<Target>["execute"],
): RequestRouter<Target>["execute"] => async (execution, attempt, discard) => {
    const { service, row } = execution;
    // With weights, each zone's share goes there whatever room it has; only placement by load tells of the service.
    if (row.placement !== "load") {
        return execute(execution, attempt, discard);
    }
    const throttled = nameAlike(execution);
    const hasRoom = (): boolean => picker.hasRoom(toPickRequest(execution));
    if (!throttle.admits(throttled)) {
        return either.left(createAttemptHistory().conclude(refuse("LimitReached"), picker.retryAfter(service)));
    }
    const sentAt = clock.monotonic();
    const routed = await execute(execution, attempt, discard);
    const now = clock.monotonic();
    if (!wasShort(routed, hasRoom) && !wasUnanswered(execution, routed, { sentAt, now })) {
        throttle.noteAccepted(throttled);
    }
    return routed;
};

/** Refuses what would run for nothing, and learns from the runs of the rest. */
export const refuseStarving = <Target extends RoutableTarget>(
    starvation: StarvationThrottle,
    picker: TargetPicker<Target>,
    execute: RequestRouter<Target>["execute"],
): RequestRouter<Target>["execute"] => async (execution, attempt, discard) => {
    const { service } = execution;
    const alike = nameAlike(execution);
    if (!starvation.admits(alike)) {
        return either.left(createAttemptHistory().conclude(refuse("Starved"), picker.retryAfter(service)));
    }
    const routed = await execute(execution, attempt, discard);
    if (either.isRight(routed)) {
        starvation.noteRun(alike, routed.right.isStarved === true);
    }
    return routed;
};
