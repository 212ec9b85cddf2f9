/** HTTP handler for requests from other nodes to the gate. It forwards requests only to the node's local target. */
import type { IncomingMessage, ServerResponse } from "node:http";
import * as either from "fp-ts/lib/Either.js";
import type { Logger } from "oleandergap-logger";
import type { LoadExchange } from "oleandergap-routing";
import {
    REQUEST_ID_HEADER,
    VERDICT_HEADER,
    type Clock,
    type Milliseconds,
    type RequestFailure,
    type ServiceReference,
} from "oleandergap-types";
import { toRequestResult, type RequestResult } from "../http/requestResult.js";
import {
    readRequestHeader,
    SENDER_BUSY_HEADER,
    SENT_AT_HEADER,
    SHARED_LOADS_HEADER,
    STARVED_HEADER,
} from "../http/headers.js";
import type { RequestArrival } from "../http/listener.js";
import { getAbortCause, type OpenRequests } from "../http/openRequests.js";
import { describeFailure, HTTP_STATUS, statusOfFailure } from "../http/refusal.js";
import { formatSharedLoads, parseSharedLoads } from "../http/sharedLoadsHeader.js";
import type { ReadAheadBudget } from "../http/readAhead.js";
import { receiveBody, toRequestFailure, type RequestBody } from "../http/requestBody.js";
import { discardRestOfRequest } from "../http/restOfRequest.js";
import { getAttemptSender } from "../http/attemptId.js";
import { createHeldBackDetector, parseSentAt } from "../http/transitDelay.js";
import { destroyResponse } from "../http/pipelinedRequests.js";
import { writeResponse, writeFailure } from "../http/writeResponse.js";
import type { OverloadMonitor } from "../overload/overloadMonitor.js";
import type { RecordAbandonedRequest } from "./abandonedRequestLog.js";
import type { ServeAtGate } from "./gateRequest.js";
import { parseRequestHead, readOverdueRequest, type GateRequestHead, type OverdueRequest } from "./gateRequestHead.js";
import { createGateResponseHeaders, type GateResponseHeaderDependencies } from "./gateResponseHeaders.js";
import { startRequestHeartbeats } from "./requestHeartbeats.js";

export interface GateHandlerDependencies extends GateResponseHeaderDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly openRequests: OpenRequests;
    /** Returns the id that the caller assigned to the request. */
    readonly readCallerRequestId: (request: IncomingMessage) => string | undefined;
    readonly serve: ServeAtGate;
    /** Refuses a request that waited for too long to be started; see `Gate`. */
    readonly refuseOverdue: (request: OverdueRequest) => RequestFailure;
    /** Records what the sender of a request reports of its load; undefined if it reports nothing. */
    readonly recordSenderLoad: OverloadMonitor["recordReport"];
    /** Shares the loads of the targets of a service in the local zone with other nodes. */
    readonly loadExchange: LoadExchange;
    readonly maxBodyBytes: number;
    /** Memory of the uploads that wait, at the gateway and at the gate. */
    readonly readAheadBudget: ReadAheadBudget;
    /** Timeout of a request that has no timeout header, in milliseconds. */
    readonly usualTimeoutMs: Milliseconds;
    /** See `EventLoopLagMonitor`. */
    readonly recentLag: () => Milliseconds;
    readonly countRequest: (end: RequestResult, duration: Milliseconds) => void;
    readonly recordAbandonedRequest: RecordAbandonedRequest;
}

/** The parts of a request that were received before it was refused. */
interface ReceivedParts {
    readonly head?: Pick<GateRequestHead, "kind" | "priority">;
    readonly body?: RequestBody;
}

/** A request whose head and buffered body were received. */
interface ReceivedRequest {
    readonly head: GateRequestHead;
    readonly body: RequestBody;
    readonly arrival: RequestArrival;
    readonly wasHeldBack: boolean;
}

/**
 * Time for which a request that was held back on its way waits for the end of its connection, which may follow a few
 * round trips later.
 */
const END_WAIT_MS: Milliseconds = 20;

const selectStatusCode = (failure: RequestFailure): number =>
    failure.kind === "Refused" && failure.reason === "NoTarget" ?
        HTTP_STATUS.misdirected :
        statusOfFailure(failure);

/** Creates the handler for requests from other nodes. */
export const createGateHandler = (dependencies: GateHandlerDependencies) => {
    const { clock, serve, loadExchange, maxBodyBytes: maxBytes } = dependencies;

    const createGateHeaders = createGateResponseHeaders(dependencies);
    const detectHeldBack = createHeldBackDetector();
    const limits = { clock, maxBytes, readAheadBudget: dependencies.readAheadBudget };

    /** Records the loads that a request shares. Returns a function that creates the headers of the response to it. */
    const receiveLoads = (
        request: IncomingMessage,
        service: ServiceReference,
    ): (() => Readonly<Record<string, string>>) => {
        const received = parseSharedLoads(readRequestHeader(request, SHARED_LOADS_HEADER));
        if (received === undefined) {
            return () => ({});
        }
        loadExchange.recordSharedLoads(service, received);
        return () => {
            const loads = loadExchange.shareLoads(service);
            return loads.length === 0 ? {} : { [SHARED_LOADS_HEADER]: formatSharedLoads(loads) };
        };
    };

    const refuse = (
        response: ServerResponse,
        failure: RequestFailure,
        requestId: string | undefined,
        { head, body }: ReceivedParts = {},
    ): void =>
        writeFailure(
            response,
            describeFailure(failure, { statusCode: selectStatusCode(failure) }),
            createGateHeaders(requestId, head),
            discardRestOfRequest(response.req, body, limits),
        );

    const serveBody = async (
        response: ServerResponse,
        { head, body, arrival, wasHeldBack }: ReceivedRequest,
    ): Promise<void> => {
        const requestHeartbeats = startRequestHeartbeats(clock, response, body.kind === "Streaming");
        const callerRequestId = dependencies.readCallerRequestId(response.req);
        const signal = dependencies.openRequests.open(response, callerRequestId);
        const createLoadsHeader = receiveLoads(response.req, head.service);
        const startedAt = clock.monotonic();
        if (wasHeldBack) {
            await clock.sleep(END_WAIT_MS, signal);
        }
        let runStartedAt: Milliseconds | undefined;
        const onAdmitted = (): void => {
            runStartedAt = clock.monotonic();
            requestHeartbeats.markAdmitted();
        };
        const outcome = await serve({ ...head, body, signal, onAdmitted });
        requestHeartbeats.stop();
        if (signal.aborted && getAbortCause(signal) === "CallerDisconnected") {
            dependencies.recordAbandonedRequest({
                id: callerRequestId,
                ...arrival,
                startedAt: runStartedAt,
                leftMs: head.deadline - clock.monotonic(),
            });
        }
        dependencies.countRequest(toRequestResult(outcome), clock.monotonic() - startedAt);
        if (either.isLeft(outcome)) {
            refuse(response, outcome.left, head.requestId, { head, body });
            return;
        }
        discardRestOfRequest(response.req, body, limits);
        const starvedHeader = outcome.right.isStarved === true ? { [STARVED_HEADER]: "yes" } : {};
        writeResponse(response, outcome.right, {
            ...createGateHeaders(head.requestId, head),
            ...starvedHeader,
            ...createLoadsHeader(),
            [VERDICT_HEADER]: "ran",
        });
    };

    const isHeldBack = (request: IncomingMessage, requestId: string, { receivedAt }: RequestArrival): boolean => {
        const sentAt = parseSentAt(readRequestHeader(request, SENT_AT_HEADER));
        return sentAt !== undefined && detectHeldBack({ sender: getAttemptSender(requestId), sentAt, receivedAt });
    };

    const refuseOverdue = (request: IncomingMessage, response: ServerResponse): void => {
        const overdue = readOverdueRequest(request);
        const failure = dependencies.refuseOverdue(overdue);
        dependencies.countRequest({ kind: "Failed", failure }, 0);
        refuse(response, failure, readRequestHeader(request, REQUEST_ID_HEADER), { head: overdue });
    };

    const handle = async (
        request: IncomingMessage,
        response: ServerResponse,
        arrival: RequestArrival,
    ): Promise<void> => {
        dependencies.recordSenderLoad(readRequestHeader(request, SENDER_BUSY_HEADER));
        if (arrival.isOverdue) {
            refuseOverdue(request, response);
            return;
        }
        const lagMs = dependencies.recentLag();
        const head = parseRequestHead(request, dependencies.usualTimeoutMs, { receivedAt: arrival.receivedAt, lagMs });
        if (either.isLeft(head)) {
            refuse(response, head.left, readRequestHeader(request, REQUEST_ID_HEADER));
            return;
        }
        const received = receiveBody(request, { ...limits, deadline: head.right.deadline });
        const body = received instanceof Promise ? await received : received;
        if (either.isLeft(body)) {
            refuse(response, toRequestFailure(body.left), head.right.requestId);
            return;
        }
        const wasHeldBack = isHeldBack(request, head.right.requestId, arrival);
        await serveBody(response, { head: head.right, body: body.right, arrival, wasHeldBack });
    };

    return (request: IncomingMessage, response: ServerResponse, arrival: RequestArrival): void => {
        handle(request, response, arrival).catch((error: unknown) => {
            dependencies.logger.error("A request failed unexpectedly.", { detail: String(error) });
            destroyResponse(response);
        });
    };
};
