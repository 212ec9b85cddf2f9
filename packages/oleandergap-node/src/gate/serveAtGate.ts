/** Serves requests at the local target: admission, claim, exchange, and release of the slot at the end. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Admission, ReleaseOutcome } from "oleandergap-gate";
import type { ClaimManager } from "oleandergap-idempotency";
import { formatServiceReference, isSameLifetime, type Milliseconds, type RequestFailure } from "oleandergap-types";
import { observeBody, type UpstreamResponse } from "../http/upstreamResponse.js";
import { FIRST_ERROR_STATUS } from "../http/requestResult.js";
import type { StopAdmission } from "../stop/stopAdmission.js";
import { isTargetOfService, type LocalTarget } from "../target/localTarget.js";
import { createClaimedRun } from "./claimedRun.js";
import type { GateRequest, ServeAtGate } from "./gateRequest.js";
import type { RolloutObserver } from "./rolloutObserver.js";
import type { ObserveRun } from "./runObserver.js";
import { createTargetExchange, leavingRefusal, type TargetExchangeDependencies } from "./targetExchange.js";

export interface ServeAtGateDependencies extends TargetExchangeDependencies {
    readonly currentTarget: () => LocalTarget | undefined;
    readonly claims: Pick<ClaimManager, "claim">;
    /** Maximum size of a response body that a claim stores for replays, in bytes. */
    readonly maxAnswerBytes: number;
    /**
     * Returns whether a run that started at `startedAt` and has just failed did so because a call of the target to
     * another service was not served; see `UnservedCalls`.
     */
    readonly isFailureExplained?: (startedAt: Milliseconds) => boolean;
    /** Observes the runs at the local target. If absent, crashes of the target are not attributed to requests. */
    readonly observeRun?: ObserveRun;
    /** Refuses requests that a stopping node cannot finish. If absent, all are accepted until the gate closes. */
    readonly stopAdmission?: StopAdmission;
    /** Takes part in roll-outs. If absent, no version is judged or stopped. */
    readonly rolloutObserver?: RolloutObserver;
    /** Records the deadline of a request that is handed to the target; see `TargetCallTimes`. */
    readonly recordRun?: (deadline: Milliseconds) => void;
    /**
     * Resolves when pending input has been read; undefined if the event loop does not lag. See `EventLoopLagMonitor`.
     */
    readonly catchUp?: () => Promise<void> | undefined;
}

type Outcome = Either<RequestFailure, UpstreamResponse>;

/** Refusal at a node without a target. */
export const noTargetRefusal: RequestFailure = {
    kind: "Refused",
    verdict: "notRun",
    reason: "NoTarget",
    retryAfterMs: 1000,
};

const stopTooSoonRefusal: RequestFailure = {
    kind: "Refused",
    verdict: "notRun",
    reason: "StopTooSoon",
    retryAfterMs: 1000,
};

const cancelledRefusal: RequestFailure = { kind: "Refused", verdict: "notRun", reason: "Cancelled", retryAfterMs: 0 };

const toReleaseOutcome = (failure: RequestFailure, signal: AbortSignal): ReleaseOutcome => {
    if (failure.verdict === "notRun") {
        return "NotStarted";
    }
    return signal.aborted ? "Cancelled" : "Lost";
};

/**
 * Returns whether a request is a call of a running target. Calls belong to no customer, while a customer's request may
 * enter at the node of another service.
 */
export const isTargetCall = ({ caller, service, customer }: Pick<GateRequest, "caller" | "service" | "customer">): boolean =>
    customer === undefined && formatServiceReference(caller) !== formatServiceReference(service);

/** Releases the slot when the response has been sent, was interrupted or was aborted, whichever happens first. */
const releaseAtEnd = (response: UpstreamResponse, release: Admission["release"]): UpstreamResponse => ({
    ...response,
    body: observeBody(response.body, {
        onFinish: (failure) => release(failure === undefined ? "Answered" : "Lost"),
    }),
});

export const createServeAtGate = (dependencies: ServeAtGateDependencies): ServeAtGate => {
    const { clock, rolloutObserver, stopAdmission } = dependencies;
    const sendToTarget = createTargetExchange(dependencies);

    const markStarved = (outcome: Outcome, startedAt: Milliseconds): Outcome => {
        const isFailed = either.isRight(outcome) && outcome.right.statusCode >= FIRST_ERROR_STATUS;
        return isFailed && dependencies.isFailureExplained?.(startedAt) === true ?
            either.right({ ...outcome.right, isStarved: true }) :
            outcome;
    };

    const findRefusal = (target: LocalTarget, request: GateRequest): RequestFailure | undefined =>
        stopAdmission?.canFinish(request, request.senderEndsAt) === false ?
            stopTooSoonRefusal :
            rolloutObserver?.findRefusal(target);

    /** Returns the refusal of a request that was admitted and has waited since. */
    const findLateRefusal = (target: LocalTarget, request: GateRequest): RequestFailure | undefined =>
        target.gate.mayStart() ? findRefusal(target, request) : leavingRefusal;

    const createTargetRun = (target: LocalTarget): ServeAtGate => {
        const run: ServeAtGate = async (request) => {
            // The request may have waited for its claim.
            const refusal = findLateRefusal(target, request);
            return refusal === undefined ? sendToTarget(target, request) : either.left(refusal);
        };
        return createClaimedRun(dependencies, dependencies.observeRun?.(target, run) ?? run);
    };

    return async (request) => {
        const target = dependencies.currentTarget();
        if (target === undefined || !isTargetOfService(target, request.service)) {
            return either.left(noTargetRefusal);
        }
        if (request.knownFeedback !== undefined && isSameLifetime(request.knownFeedback, target.announcement)) {
            target.feedback.adopt(request.knownFeedback.feedback);
        }
        const refusal = findRefusal(target, request);
        if (refusal !== undefined) {
            return either.left(refusal);
        }
        const admission = await target.gate.admit({
            ...request.caller,
            priority: request.priority,
            customer: request.customer,
            isCall: isTargetCall(request),
            kind: request.kind,
            sentShare: request.sentShare,
            deadline: request.deadline,
            objective: request.objective,
            signal: request.signal,
        });
        if (either.isLeft(admission)) {
            return admission;
        }
        const pendingCatchUp = dependencies.catchUp?.();
        if (pendingCatchUp !== undefined) {
            await pendingCatchUp;
            if (request.signal.aborted) {
                admission.right.release("NotStarted");
                return either.left(cancelledRefusal);
            }
        }
        // The target, its version or the node may have been stopped while the request waited.
        const lateRefusal = findLateRefusal(target, request);
        if (lateRefusal !== undefined) {
            admission.right.release("NotStarted");
            return either.left(lateRefusal);
        }
        request.onAdmitted();
        dependencies.recordRun?.(request.deadline);
        const startedAt = clock.monotonic();
        const release: Admission["release"] = (outcome) => {
            admission.right.release(outcome);
            if (outcome !== "NotStarted") {
                stopAdmission?.recordDuration(request.kind, clock.monotonic() - startedAt);
            }
        };
        const result = markStarved(await createTargetRun(target)(request), startedAt);
        const outcome = rolloutObserver?.observeOutcome(target, request, result, startedAt) ?? result;
        if (either.isLeft(outcome)) {
            release(toReleaseOutcome(outcome.left, request.signal));
            return outcome;
        }
        return either.right(releaseAtEnd(outcome.right, release));
    };
};
