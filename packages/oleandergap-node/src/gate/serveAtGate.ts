/** Serves requests at the local target: admission, claim, HTTP exchange, and release of the slot at the end. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Admission, ReleaseOutcome } from "oleandergap-gate";
import type { ClaimManager } from "oleandergap-idempotency";
import { isSameLifetime, type Clock, type Milliseconds, type RequestFailure } from "oleandergap-types";
import { discardBody, observeBody, type UpstreamResponse } from "../http/upstreamResponse.js";
import type { ConnectionPools } from "../http/connectionPools.js";
import type { TargetDialect, TargetRequest } from "../http/dialect.js";
import { FIRST_ERROR_STATUS } from "../http/requestResult.js";
import { sendMonitored } from "../http/monitoredExchange.js";
import type { LocalTarget } from "../target/localTargetManager.js";
import { createClaimedRun } from "./claimedRun.js";
import type { GateRequest, ServeAtGate } from "./gateRequest.js";
import { createLatencyMeter } from "./latencyMeter.js";
import type { RolloutObserver } from "./rolloutObserver.js";
import type { ObserveRun } from "./runObserver.js";

export interface ServeAtGateDependencies {
    readonly clock: Clock;
    readonly currentTarget: () => LocalTarget | undefined;
    readonly pools: ConnectionPools;
    readonly claims: Pick<ClaimManager, "claim">;
    readonly dialect: TargetDialect;
    /** Maximum size of a response body that a claim stores for replays, in bytes. */
    readonly maxAnswerBytes: number;
    /** Minimum time without a response after which an idempotent request is retried on a new connection. */
    readonly minInactivityTimeoutMs: Milliseconds;
    /** Maximum time without data within a response body. */
    readonly bodySilenceMs: Milliseconds;
    /**
     * Returns whether a run that started at `startedAt` and has just failed did so because a call of the target to
     * another service was not served; see `UnservedCalls`.
     */
    readonly isFailureExplained?: (startedAt: Milliseconds) => boolean;
    /** Observes the runs at the local target. If absent, crashes of the target are not attributed to requests. */
    readonly observeRun?: ObserveRun;
    /** Takes part in roll-outs. If absent, no version is judged or stopped. */
    readonly rolloutObserver?: RolloutObserver;
    /**
     * Resolves when pending input has been read; undefined if the event loop does not lag. See `EventLoopLagMonitor`.
     */
    readonly catchUp?: () => Promise<void> | undefined;
}

type Outcome = Either<RequestFailure, UpstreamResponse>;

/** The connection counts as lost if the target sends nothing for this multiple of the inactivity timeout. */
const LOSS_TIMEOUT_FACTOR = 2;

const noTargetRefusal: RequestFailure = {
    kind: "Refused",
    verdict: "notRun",
    reason: "NoTarget",
    retryAfterMs: 1000,
};

const cancelledRefusal: RequestFailure = { kind: "Refused", verdict: "notRun", reason: "Cancelled", retryAfterMs: 0 };

const isTargetOfService = (target: LocalTarget, request: GateRequest): boolean =>
    target.announcement.partner === request.service.partner &&
    target.announcement.service === request.service.service;

const toReleaseOutcome = (failure: RequestFailure, signal: AbortSignal): ReleaseOutcome => {
    if (failure.verdict === "notRun") {
        return "NotStarted";
    }
    return signal.aborted ? "Cancelled" : "Lost";
};

/** Releases the slot when the response has been sent, was interrupted or was aborted, whichever happens first. */
const releaseAtEnd = (response: UpstreamResponse, admission: Admission): UpstreamResponse => ({
    ...response,
    body: observeBody(response.body, {
        onFinish: (failure) => admission.release(failure === undefined ? "Answered" : "Lost"),
    }),
});

/**
 * Converts a response in which the target states that it did not run the request to a refusal. The body of that
 * response is discarded.
 */
const convertRefusal = (dialect: TargetDialect, outcome: Outcome): Outcome => {
    if (either.isLeft(outcome)) {
        return outcome;
    }
    const refusal = dialect.readRefusal(outcome.right.statusCode, outcome.right.headers);
    if (refusal === undefined) {
        return outcome;
    }
    discardBody(outcome.right);
    return either.left(refusal);
};

export const createServeAtGate = (dependencies: ServeAtGateDependencies): ServeAtGate => {
    const { clock, pools, dialect, rolloutObserver } = dependencies;
    const latencyMeter = createLatencyMeter();
    let attemptCount = 0;

    const computeInactivityTimeout = (request: GateRequest): Milliseconds | undefined => {
        const unusualLatencyMs = latencyMeter.unusualLatency();
        const limit = Math.max(dependencies.minInactivityTimeoutMs, unusualLatencyMs ?? 0);
        const remaining = request.deadline - clock.monotonic();
        // A retry needs at least as much time as the first attempt had.
        return unusualLatencyMs === undefined || limit > remaining / 2 ? undefined : limit;
    };

    const sendToTarget = async (target: LocalTarget, request: GateRequest): Promise<Outcome> => {
        const { address, port, connections, instanceId } = target.announcement;
        const describeAttempt = (attemptId: string): TargetRequest => ({
            headers: request.headers,
            caller: request.caller,
            attemptId: attemptId,
            remainingMs: Math.max(0, Math.floor(request.deadline - clock.monotonic())),
            instanceId,
        });
        const startedAt = clock.monotonic();
        let sends = 0;
        const inactivityTimeoutMs = request.idempotent ? computeInactivityTimeout(request) : undefined;
        const monitored = await sendMonitored(clock, {
            method: request.method,
            path: request.path,
            body: request.body,
            requireId: false,
            awaitAdmission: false,
            bodySilenceMs: dependencies.bodySilenceMs,
            deadline: request.deadline,
            signal: request.signal,
            idempotent: request.idempotent,
            silenceMs: inactivityTimeoutMs,
            connectionLossMs: inactivityTimeoutMs && inactivityTimeoutMs * LOSS_TIMEOUT_FACTOR,
            getDispatcher: () => pools.getPool(address, port, connections),
            replaceConnections: () => pools.replaceConnections(address, port),
            nextRequestId: () => {
                attemptCount++;
                sends++;
                if (sends > 1) {
                    target.gate.recordResend();
                }
                return `${request.requestId}.${attemptCount}`;
            },
            readFailure: ({ statusCode, headers }) => dialect.readRefusal(statusCode, headers),
            responseIdHeader: dialect.responseIdHeader,
            getResponseId: (attemptId) => dialect.expectResponseId(describeAttempt(attemptId)),
            createHeaders: (attemptId) => [
                "host", request.host,
                ...request.headers,
                ...dialect.describeRequest(describeAttempt(attemptId)),
            ],
        });
        // There is no other target to retry at, so the attempt that is still in flight is awaited.
        const outcome = await (monitored.open?.outcome ?? monitored.outcome);
        if (either.isRight(outcome)) {
            latencyMeter.add(clock.monotonic() - startedAt);
            target.feedback.record(dialect.readFeedback(outcome.right.headers), startedAt);
        }
        return convertRefusal(dialect, outcome);
    };

    const markStarved = (outcome: Outcome, startedAt: Milliseconds): Outcome => {
        const isFailed = either.isRight(outcome) && outcome.right.statusCode >= FIRST_ERROR_STATUS;
        return isFailed && dependencies.isFailureExplained?.(startedAt) === true ?
            either.right({ ...outcome.right, isStarved: true }) :
            outcome;
    };

    const createTargetRun = (target: LocalTarget): ServeAtGate => {
        const run: ServeAtGate = (request) => sendToTarget(target, request);
        return createClaimedRun(dependencies, dependencies.observeRun?.(target, run) ?? run);
    };

    return async (request) => {
        const target = dependencies.currentTarget();
        if (target === undefined || !isTargetOfService(target, request)) {
            return either.left(noTargetRefusal);
        }
        if (request.knownFeedback !== undefined && isSameLifetime(request.knownFeedback, target.announcement)) {
            target.feedback.adopt(request.knownFeedback.feedback);
        }
        const stoppedRefusal = rolloutObserver?.findRefusal(target);
        if (stoppedRefusal !== undefined) {
            return either.left(stoppedRefusal);
        }
        const admission = await target.gate.admit({
            ...request.caller,
            priority: request.priority,
            kind: request.kind,
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
        // The version may have been stopped while the request waited.
        const lateRefusal = rolloutObserver?.findRefusal(target);
        if (lateRefusal !== undefined) {
            admission.right.release("NotStarted");
            return either.left(lateRefusal);
        }
        request.onAdmitted();
        const startedAt = clock.monotonic();
        const result = markStarved(await createTargetRun(target)(request), startedAt);
        const outcome = rolloutObserver?.observeOutcome(target, request, result, startedAt) ?? result;
        if (either.isLeft(outcome)) {
            admission.right.release(toReleaseOutcome(outcome.left, request.signal));
            return outcome;
        }
        return either.right(releaseAtEnd(outcome.right, admission.right));
    };
};
