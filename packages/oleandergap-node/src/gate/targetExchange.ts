/** Sends requests to the local target over HTTP, and records what the target states about itself in its responses. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds, RequestFailure } from "oleandergap-types";
import type { ConnectionPools } from "../http/connectionPools.js";
import type { TargetDialect, TargetRequest } from "../http/dialect.js";
import { sendMonitored } from "../http/monitoredExchange.js";
import { discardBody, type UpstreamResponse } from "../http/upstreamResponse.js";
import type { LocalTarget } from "../target/localTarget.js";
import type { GateRequest } from "./gateRequest.js";
import { createLatencyMeter } from "./latencyMeter.js";

/** Dependencies of the exchange with the local target. */
export interface TargetExchangeDependencies {
    readonly clock: Clock;
    readonly pools: ConnectionPools;
    readonly dialect: TargetDialect;
    /** Minimum time without a response after which an idempotent request is retried on a new connection. */
    readonly minInactivityTimeoutMs: Milliseconds;
    /** Maximum time without data within a response body. */
    readonly bodySilenceMs: Milliseconds;
}

type Outcome = Either<RequestFailure, UpstreamResponse>;

/** Sends an admitted request to a target. Never rejects. */
export type TargetExchange = (target: LocalTarget, request: GateRequest) => Promise<Outcome>;

/** The connection counts as lost if the target sends nothing for this multiple of the inactivity timeout. */
const LOSS_TIMEOUT_FACTOR = 2;

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

/** Refusal of a request whose target has started to leave while the request waited to be sent. */
export const leavingRefusal: RequestFailure = {
    kind: "Refused",
    verdict: "notRun",
    reason: "Draining",
    retryAfterMs: 0,
};

/** Converts the failure of a request that was withheld from its target to a refusal. */
const convertWithheld = ({ gate }: LocalTarget, outcome: Outcome): Outcome =>
    either.isLeft(outcome) && outcome.left.kind === "ConnectFailed" && !gate.mayStart() ?
        either.left(leavingRefusal) :
        outcome;

/** Creates the exchange with the targets of one node. */
export const createTargetExchange = (dependencies: TargetExchangeDependencies): TargetExchange => {
    const { clock, pools, dialect } = dependencies;
    const latencyMeter = createLatencyMeter();
    let attemptCount = 0;

    const computeInactivityTimeout = (request: GateRequest): Milliseconds | undefined => {
        const unusualLatencyMs = latencyMeter.unusualLatency();
        const limit = Math.max(dependencies.minInactivityTimeoutMs, unusualLatencyMs ?? 0);
        const remaining = request.deadline - clock.monotonic();
        // A retry needs at least as much time as the first attempt had.
        return unusualLatencyMs === undefined || limit > remaining / 2 ? undefined : limit;
    };

    const recordFeedback = (
        target: LocalTarget,
        { statusCode, headers }: UpstreamResponse,
        sentAt: Milliseconds,
    ): void => {
        const feedback = dialect.readFeedback(statusCode, headers);
        if (feedback !== undefined) {
            target.feedback.record(feedback, sentAt);
        }
        target.reports.record(dialect.readReport?.(statusCode, headers));
    };

    return async (target, request) => {
        const { address, port, connections, instanceId } = target.announcement;
        const describeAttempt = (attemptId: string): TargetRequest => ({
            headers: request.headers,
            caller: request.caller,
            customer: request.customer,
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
            mayStart: target.gate.mayStart,
            requireId: false,
            awaitAdmission: false,
            bodySilenceMs: dependencies.bodySilenceMs,
            deadline: request.deadline,
            signal: request.signal,
            idempotent: request.idempotent,
            silenceMs: inactivityTimeoutMs,
            connectionLossMs: inactivityTimeoutMs && inactivityTimeoutMs * LOSS_TIMEOUT_FACTOR,
            getTransport: () => pools.getPool(address, port, connections),
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
        const outcome = convertWithheld(target, await (monitored.open?.outcome ?? monitored.outcome));
        if (either.isRight(outcome)) {
            latencyMeter.add(clock.monotonic() - startedAt);
            recordFeedback(target, outcome.right, startedAt);
        }
        return convertRefusal(dialect, outcome);
    };
};
