/**
 * Performs one attempt: sends a request to the gate of the selected target's node, or passes it directly to the local
 * gate.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { TargetMember } from "oleandergap-membership";
import type { AttemptProgress, AttemptResult, OpenAttempt } from "oleandergap-routing";
import {
    LOAD_HEADER,
    PACE_HEADER,
    REQUEST_ID_HEADER,
    RETRY_HEADER,
    type GateLoad,
    type Milliseconds,
    type NodeId,
    type RequestFailure,
} from "oleandergap-types";
import type { ServeAtGate } from "../gate/gateRequest.js";
import { discardBody, observeBody, readResponseHeader, type UpstreamResponse } from "../http/upstreamResponse.js";
import type { ConnectionPools } from "../http/connectionPools.js";
import {
    ADMISSION_SHARE_HEADER,
    FEEDBACK_HEADER,
    SHARED_LOADS_HEADER,
    STARVED_HEADER,
} from "../http/headers.js";
import { parseShare } from "../http/admissionShareHeader.js";
import { parseFeedback } from "../http/feedbackHeader.js";
import { parseLoad } from "../http/loadHeader.js";
import { readFailure } from "../http/refusal.js";
import { parseSharedLoads } from "../http/sharedLoadsHeader.js";
import type { RequestBody } from "../http/requestBody.js";
import type { InactivityReport, PendingAttempt } from "../http/monitoredAttempt.js";
import { sendMonitored } from "../http/monitoredExchange.js";
import type { CallerRequest } from "./callerRequest.js";
import { createGateRequestHeaders, type AttemptedRequest, type GateRequestHeaderDependencies } from "./gateRequestHeaders.js";
import type { LogUnresponsiveGate } from "./unresponsiveGateLog.js";

export interface SendToGateDependencies extends GateRequestHeaderDependencies {
    readonly localNodeId: NodeId;
    readonly pools: ConnectionPools;
    readonly serveLocally: ServeAtGate;
    readonly localLoad: (kind: string) => GateLoad | undefined;
    /** Returns the share of the requests of a priority that the local gate asks for. */
    readonly localAdmissionShare: (priority: number) => number | undefined;
    /** Returns an id that is unique, also among the ids from before a restart. */
    readonly nextAttemptId: () => string;
    readonly connectionsPerNode: number;
    readonly gateSilenceMs: Milliseconds;
    readonly bodySilenceMs: Milliseconds;
    readonly logUnresponsiveGate: LogUnresponsiveGate;
}

export interface GateAttempt extends AttemptedRequest {
    readonly body: RequestBody;
    readonly signal: AbortSignal;
    /** Receives the heartbeats of the gate and the expiries of its inactivity timeout. */
    readonly progress: AttemptProgress;
}

/** Result of an attempt at a gate. */
export type GateOutcome = AttemptResult<UpstreamResponse>;

export type SendToGate = (target: TargetMember, attempt: GateAttempt) => Promise<GateOutcome>;

/**
 * Factor on the inactivity timeout for a probe. The target of a probe has probably failed, so the request is sent to
 * another target earlier. Treating an available target as failed costs little here.
 */
const PROBE_TIMEOUT_FACTOR = 0.5;
/** Number of regular inactivity timeouts after which the connection to a gate counts as lost, also in a probe. */
const LOSS_TIMEOUT_FACTOR = 2;

const readGateResponse = (response: UpstreamResponse): GateOutcome => {
    const load = parseLoad(
        readResponseHeader(response.headers, LOAD_HEADER),
        readResponseHeader(response.headers, PACE_HEADER),
    );
    const admissionShare = parseShare(readResponseHeader(response.headers, ADMISSION_SHARE_HEADER));
    const retriedDownstream = readResponseHeader(response.headers, RETRY_HEADER) === "no";
    const failure = readFailure(response.headers);
    if (failure === undefined) {
        const isStarved = readResponseHeader(response.headers, STARVED_HEADER) !== undefined;
        return { outcome: either.right(response), load, admissionShare, retriedDownstream, isStarved };
    }
    discardBody(response);
    return { outcome: either.left(failure), load, admissionShare, retriedDownstream, isStarved: false };
};

/**
 * Reports the end of the response body to the router. A caller that disconnects also cuts its response off, which is
 * not a failure of the target.
 */
const observeResponseBody = (response: UpstreamResponse, { signal, progress }: GateAttempt): UpstreamResponse => ({
    ...response,
    body: observeBody(response.body, {
        onFinish: (failure) => {
            if (failure === undefined || !signal.aborted) {
                progress.recordBodyEnd(failure === undefined);
            }
        },
    }),
});

const observeResult = (result: GateOutcome, attempt: GateAttempt): GateOutcome =>
    either.isLeft(result.outcome) ?
        result :
        { ...result, outcome: either.right(observeResponseBody(result.outcome.right, attempt)) };

/** Receives the responses of a gate before they are read. */
type ObserveResponse = (response: UpstreamResponse) => void;

const readOutcome = (
    outcome: Either<RequestFailure, UpstreamResponse>,
    attempt: GateAttempt,
    observeResponse: ObserveResponse,
): GateOutcome => {
    if (either.isLeft(outcome)) {
        return { outcome, load: undefined, retriedDownstream: false, isStarved: false };
    }
    observeResponse(outcome.right);
    return observeResult(readGateResponse(outcome.right), attempt);
};

/**
 * Converts a pending attempt to the router's type. A response that arrives after the inactivity timeout counts as a
 * heartbeat of its gate.
 */
const toOpenAttempt = (
    { outcome, cancel }: PendingAttempt,
    attempt: GateAttempt,
    observeResponse: ObserveResponse,
): OpenAttempt<UpstreamResponse> => ({
    result: outcome.then((settled) => {
        if (either.isRight(settled)) {
            attempt.progress.recordHeartbeat();
        }
        return readOutcome(settled, attempt, observeResponse);
    }),
    cancel,
});

/** Returns what the local gate reports in the response to a request. */
const describeLocalGate = (
    { localLoad, localAdmissionShare }: SendToGateDependencies,
    { kind, priority }: CallerRequest,
): Pick<GateOutcome, "load" | "admissionShare"> =>
    ({ load: localLoad(kind), admissionShare: localAdmissionShare(priority) });

/** Creates the function that records what a gate reports about its target and about the loads of others. */
const createResponseObserver = (
    { feedbackMemory, loadExchange }: SendToGateDependencies,
    { nodeId }: TargetMember,
    { request: { service } }: GateAttempt,
): ObserveResponse => ({ headers }) => {
    const loads = parseSharedLoads(readResponseHeader(headers, SHARED_LOADS_HEADER));
    if (loads !== undefined) {
        loadExchange.recordSharedLoads(service, loads);
    }
    const reported = parseFeedback(readResponseHeader(headers, FEEDBACK_HEADER));
    feedbackMemory.record(nodeId, reported, readFailure(headers) === undefined);
};

export const createSendToGate = (dependencies: SendToGateDependencies): SendToGate => {
    const { clock, pools } = dependencies;

    const sendLocally = async (
        { request, caller, body, isSuspect, sentShare, deadline, signal }: GateAttempt,
    ): Promise<GateOutcome> => {
        const outcome = await dependencies.serveLocally({
            service: request.service,
            caller: caller ?? request.service,
            method: request.method,
            path: request.path,
            headers: request.headers,
            host: request.host,
            body,
            idempotent: request.idempotent,
            priority: request.priority,
            customer: request.customer?.name,
            kind: request.kind,
            sentShare,
            isSuspect,
            knownFeedback: undefined,
            idempotencyKey: request.idempotencyKey,
            requestId: dependencies.nextAttemptId(),
            deadline,
            senderEndsAt: undefined,
            objective: request.objective,
            signal,
            onAdmitted: () => undefined,
        });
        const isStarved = either.isRight(outcome) && outcome.right.isStarved === true;
        return { outcome, ...describeLocalGate(dependencies, request), retriedDownstream: false, isStarved };
    };

    const sendToNode = async (target: TargetMember, attempt: GateAttempt): Promise<GateOutcome> => {
        const { request, body, deadline, signal, progress } = attempt;
        progress.expectHeartbeats();
        const logInactivity = (report: InactivityReport, wasSilent: boolean): void =>
            dependencies.logUnresponsiveGate({
                nodeId: target.nodeId,
                wasSilent,
                isProbe: progress.isProbe,
                ...report,
            });
        const { outcome, open } = await sendMonitored(clock, {
            method: request.method,
            path: request.path,
            body,
            requireId: true,
            awaitAdmission: true,
            bodySilenceMs: dependencies.bodySilenceMs,
            deadline,
            signal,
            idempotent: request.idempotent,
            silenceMs: dependencies.gateSilenceMs * (progress.isProbe ? PROBE_TIMEOUT_FACTOR : 1),
            connectionLossMs: dependencies.gateSilenceMs * LOSS_TIMEOUT_FACTOR,
            getTransport: () => pools.getPool(target.address, target.gatePort, dependencies.connectionsPerNode),
            replaceConnections: () => pools.replaceConnections(target.address, target.gatePort),
            nextRequestId: dependencies.nextAttemptId,
            readFailure: ({ headers }) => readFailure(headers),
            responseIdHeader: REQUEST_ID_HEADER,
            getResponseId: (requestId) => requestId,
            createHeaders: (requestId) => createGateRequestHeaders(dependencies, target, attempt, requestId),
            onHeartbeat: progress.recordHeartbeat,
            onInactivity: (report) => {
                const wasSilent = progress.silent();
                logInactivity(report, wasSilent);
                return wasSilent;
            },
            onLoss: (report) => logInactivity(report, true),
        });
        const observeResponse = createResponseObserver(dependencies, target, attempt);
        const result = readOutcome(outcome, attempt, observeResponse);
        return open === undefined ? result : { ...result, open: toOpenAttempt(open, attempt, observeResponse) };
    };

    return async (target, attempt) =>
        target.nodeId === dependencies.localNodeId ?
            observeResult(await sendLocally(attempt), attempt) :
            sendToNode(target, attempt);
};
