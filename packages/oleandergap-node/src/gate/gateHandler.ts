/** HTTP handler for requests from other nodes to the gate. It forwards requests only to the node's local target. */
import type { IncomingMessage, ServerResponse } from "node:http";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Logger } from "oleandergap-logger";
import type { LoadExchange } from "oleandergap-routing";
import {
    CUSTOMER_HEADER,
    customerNameSchema,
    IDEMPOTENCY_KEY_HEADER,
    LOAD_HEADER,
    PACE_HEADER,
    REQUEST_ID_HEADER,
    SERVICE_HEADER,
    serviceReferenceSchema,
    TIMEOUT_HEADER,
    VERDICT_HEADER,
    type Clock,
    type CustomerName,
    type GateLoad,
    type LifetimeFeedback,
    type Milliseconds,
    type RequestFailure,
    type ServiceReference,
} from "oleandergap-types";
import { toRequestResult, type RequestResult } from "../http/requestResult.js";
import {
    ADMISSION_SHARE_HEADER,
    CALLER_HEADER,
    FEEDBACK_HEADER,
    IDEMPOTENT_HEADER,
    KIND_HEADER,
    OBJECTIVE_HEADER,
    readRequestHeader,
    selectRequestHeaders,
    SENDER_BUSY_HEADER,
    SENDER_STOPS_HEADER,
    SENT_SHARE_HEADER,
    SHARED_LOADS_HEADER,
    STARVED_HEADER,
    SUSPECT_HEADER,
} from "../http/headers.js";
import type { RequestArrival } from "../http/listener.js";
import type { OpenRequests } from "../http/openRequests.js";
import { isIdempotentMethod } from "../http/idempotentMethods.js";
import { formatShare, parseShare } from "../http/admissionShareHeader.js";
import { formatFeedback, parseFeedback } from "../http/feedbackHeader.js";
import { formatLoad, formatPace } from "../http/loadHeader.js";
import { describeFailure, HTTP_STATUS, statusOfFailure } from "../http/refusal.js";
import { formatSharedLoads, parseSharedLoads } from "../http/sharedLoadsHeader.js";
import { createCachedParser } from "../http/cachedParser.js";
import { receiveBody, toRequestFailure, type RequestBody } from "../http/requestBody.js";
import { discardRestOfRequest } from "../http/restOfRequest.js";
import { parseTimeout } from "../http/timeoutHeader.js";
import { destroyResponse } from "../http/pipelinedRequests.js";
import { writeResponse, writeFailure } from "../http/writeResponse.js";
import type { OverloadMonitor } from "../overload/overloadMonitor.js";
import { readGatePriority } from "./gatePriority.js";
import type { GateRequest, ServeAtGate } from "./gateRequest.js";
import { startRequestHeartbeats } from "./requestHeartbeats.js";

export interface GateHandlerDependencies {
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
    /** Returns the load of the gate; undefined while there is no target. */
    readonly load: (kind?: string) => GateLoad | undefined;
    /** Returns the share of the requests of a priority that nodes should send; undefined while there is no target. */
    readonly admissionShare: (priority: number) => number | undefined;
    /** Shares the loads of the targets of a service in the local zone with other nodes. */
    readonly loadExchange: LoadExchange;
    /** Returns what the target has stated about itself; undefined if there is nothing to report. */
    readonly feedback: () => LifetimeFeedback | undefined;
    readonly maxBodyBytes: number;
    /** Timeout of a request that has no timeout header, in milliseconds. */
    readonly usualTimeoutMs: Milliseconds;
    /** See `EventLoopLagMonitor`. */
    readonly recentLag: () => Milliseconds;
    readonly countRequest: (end: RequestResult, duration: Milliseconds) => void;
}

const createBadRequest = (detail: string): RequestFailure => ({ kind: "BadRequest", verdict: "notRun", detail });

const validateService = (text: string): ServiceReference | undefined => {
    const [partner, service, ...rest] = text.split("/");
    const parsed = serviceReferenceSchema.safeParse({ partner, service });
    return parsed.success && rest.length === 0 ? parsed.data : undefined;
};

const parseService = createCachedParser(validateService);

/** Reads a header that holds `partner/service`. */
const readService = (request: IncomingMessage, header: string): ServiceReference | undefined => {
    const text = readRequestHeader(request, header);
    return text === undefined ? undefined : parseService(text);
};

/**
 * Returns whether the request is idempotent. The gateway sets the header from the route, which is not known here. If
 * the header is missing, the HTTP method decides.
 */
const isIdempotentRequest = (request: IncomingMessage, method: string): boolean => {
    const headerValue = readRequestHeader(request, IDEMPOTENT_HEADER);
    return headerValue === undefined ? isIdempotentMethod(method) : headerValue === "yes";
};

const MILLISECONDS_PATTERN = /^-?\d{1,9}$/;

/** Reads a header that holds the time from `now` to a moment, in milliseconds. */
const readTimeFromNow = (request: IncomingMessage, header: string, now: Milliseconds): Milliseconds | undefined => {
    const headerValue = readRequestHeader(request, header);
    return headerValue !== undefined && MILLISECONDS_PATTERN.test(headerValue) ? now + Number(headerValue) : undefined;
};

const readCustomer = (request: IncomingMessage): CustomerName | undefined => {
    const name = readRequestHeader(request, CUSTOMER_HEADER);
    return name === undefined ? undefined : customerNameSchema.safeParse(name).data;
};

/** What is read of a request that is refused because it waited for too long to be started. */
export type OverdueRequest = Pick<GateRequest, "kind" | "priority" | "sentShare">;

const readOverdueRequest = (request: IncomingMessage): OverdueRequest => ({
    kind: readRequestHeader(request, KIND_HEADER) ?? "",
    priority: readGatePriority(request),
    sentShare: parseShare(readRequestHeader(request, SENT_SHARE_HEADER)),
});

type GateRequestHead = Omit<GateRequest, "body" | "onAdmitted" | "signal">;

/** The parts of a request that were received before it was refused. */
interface ReceivedParts {
    readonly head?: Pick<GateRequestHead, "kind" | "priority">;
    readonly body?: RequestBody;
}

/** How a request arrived. */
interface HeadArrival {
    /** Monotonic time at which the head was read. */
    readonly receivedAt: Milliseconds;
    /** Time for which the head may have waited to be read. */
    readonly lagMs: Milliseconds;
}

/** Parses the request head. The timeout starts when the head was read. */
const parseRequestHead = (
    request: IncomingMessage,
    usualTimeoutMs: Milliseconds,
    { receivedAt, lagMs }: HeadArrival,
): Either<RequestFailure, GateRequestHead> => {
    const service = readService(request, SERVICE_HEADER);
    const requestId = readRequestHeader(request, REQUEST_ID_HEADER);
    if (service === undefined || requestId === undefined) {
        return either.left(createBadRequest(`${SERVICE_HEADER} and ${REQUEST_ID_HEADER} are needed`));
    }
    const timeout = parseTimeout(readRequestHeader(request, TIMEOUT_HEADER), usualTimeoutMs);
    if (either.isLeft(timeout)) {
        return timeout;
    }
    const method = request.method ?? "";
    return either.right({
        service,
        caller: readService(request, CALLER_HEADER) ?? service,
        method,
        path: request.url ?? "/",
        headers: selectRequestHeaders(request),
        host: request.headers.host ?? "",
        idempotent: isIdempotentRequest(request, method),
        priority: readGatePriority(request),
        customer: readCustomer(request),
        kind: readRequestHeader(request, KIND_HEADER) ?? "",
        sentShare: parseShare(readRequestHeader(request, SENT_SHARE_HEADER)),
        isSuspect: readRequestHeader(request, SUSPECT_HEADER) !== undefined,
        knownFeedback: parseFeedback(readRequestHeader(request, FEEDBACK_HEADER)),
        idempotencyKey: readRequestHeader(request, IDEMPOTENCY_KEY_HEADER),
        requestId,
        deadline: receivedAt + timeout.right,
        // Counted from when it was read, a sender would seem to stop later than it does, and would interrupt the run.
        senderEndsAt: readTimeFromNow(request, SENDER_STOPS_HEADER, receivedAt - lagMs),
        objective: readTimeFromNow(request, OBJECTIVE_HEADER, receivedAt),
    });
};

const selectStatusCode = (failure: RequestFailure): number =>
    failure.kind === "Refused" && failure.reason === "NoTarget" ?
        HTTP_STATUS.misdirected :
        statusOfFailure(failure);

/** Creates the handler for requests from other nodes. */
export const createGateHandler = (dependencies: GateHandlerDependencies) => {
    const { clock, serve, loadExchange, maxBodyBytes: maxBytes } = dependencies;

    const createGateHeaders = (
        requestId: string | undefined,
        head?: Pick<GateRequestHead, "kind" | "priority">,
    ): Record<string, string> => {
        const headers: Record<string, string> = {};
        if (requestId !== undefined) {
            headers[REQUEST_ID_HEADER] = requestId;
        }
        const admissionShare = head && formatShare(dependencies.admissionShare(head.priority));
        if (admissionShare !== undefined) {
            headers[ADMISSION_SHARE_HEADER] = admissionShare;
        }
        const load = dependencies.load(head?.kind);
        if (load !== undefined) {
            headers[LOAD_HEADER] = formatLoad(load);
            const pace = formatPace(load);
            if (pace !== undefined) {
                headers[PACE_HEADER] = pace;
            }
        }
        const feedback = dependencies.feedback();
        if (feedback !== undefined) {
            headers[FEEDBACK_HEADER] = formatFeedback(feedback);
        }
        return headers;
    };

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
            discardRestOfRequest(response.req, body, { clock, maxBytes }),
        );

    const serveBody = async (response: ServerResponse, head: GateRequestHead, body: RequestBody): Promise<void> => {
        const requestHeartbeats = startRequestHeartbeats(clock, response, body.kind === "Streaming");
        const signal = dependencies.openRequests.open(response, dependencies.readCallerRequestId(response.req));
        const createLoadsHeader = receiveLoads(response.req, head.service);
        const startedAt = clock.monotonic();
        const outcome = await serve({ ...head, body, signal, onAdmitted: requestHeartbeats.markAdmitted });
        requestHeartbeats.stop();
        dependencies.countRequest(toRequestResult(outcome), clock.monotonic() - startedAt);
        if (either.isLeft(outcome)) {
            refuse(response, outcome.left, head.requestId, { head, body });
            return;
        }
        discardRestOfRequest(response.req, body, { clock, maxBytes });
        const starvedHeader = outcome.right.isStarved === true ? { [STARVED_HEADER]: "yes" } : {};
        writeResponse(response, outcome.right, {
            ...createGateHeaders(head.requestId, head),
            ...starvedHeader,
            ...createLoadsHeader(),
            [VERDICT_HEADER]: "ran",
        });
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
        { receivedAt, isOverdue }: RequestArrival,
    ): Promise<void> => {
        dependencies.recordSenderLoad(readRequestHeader(request, SENDER_BUSY_HEADER));
        if (isOverdue) {
            refuseOverdue(request, response);
            return;
        }
        const lagMs = dependencies.recentLag();
        const head = parseRequestHead(request, dependencies.usualTimeoutMs, { receivedAt, lagMs });
        if (either.isLeft(head)) {
            refuse(response, head.left, readRequestHeader(request, REQUEST_ID_HEADER));
            return;
        }
        const received = receiveBody(request, {
            clock,
            maxBytes,
            deadline: head.right.deadline,
        });
        const body = received instanceof Promise ? await received : received;
        if (either.isLeft(body)) {
            refuse(response, toRequestFailure(body.left), head.right.requestId);
            return;
        }
        await serveBody(response, head.right, body.right);
    };

    return (request: IncomingMessage, response: ServerResponse, arrival: RequestArrival): void => {
        handle(request, response, arrival).catch((error: unknown) => {
            dependencies.logger.error("A request failed unexpectedly.", { detail: String(error) });
            destroyResponse(response);
        });
    };
};
