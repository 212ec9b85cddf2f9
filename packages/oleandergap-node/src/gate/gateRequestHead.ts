/** Reads the head of a request from another node to the gate. */
import type { IncomingMessage } from "node:http";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import {
    CUSTOMER_HEADER,
    customerNameSchema,
    IDEMPOTENCY_KEY_HEADER,
    REQUEST_ID_HEADER,
    SERVICE_HEADER,
    serviceReferenceSchema,
    TIMEOUT_HEADER,
    type CustomerName,
    type Milliseconds,
    type RequestFailure,
    type ServiceReference,
} from "oleandergap-types";
import { parseShare } from "../http/admissionShareHeader.js";
import { createCachedParser } from "../http/cachedParser.js";
import { parseFeedback } from "../http/feedbackHeader.js";
import {
    CALLER_HEADER,
    FEEDBACK_HEADER,
    IDEMPOTENT_HEADER,
    KIND_HEADER,
    OBJECTIVE_HEADER,
    PRIORITY_HEADER,
    readRequestHeader,
    selectRequestHeaders,
    SENDER_STOPS_HEADER,
    SENT_SHARE_HEADER,
    SUSPECT_HEADER,
} from "../http/headers.js";
import { isIdempotentMethod } from "../http/idempotentMethods.js";
import { parseTimeout } from "../http/timeoutHeader.js";
import type { GateRequest } from "./gateRequest.js";

const PRIORITY_PATTERN = /^\d{1,7}$/;

/** Returns the priority of a request at a gate; 0, the most urgent, if the header is missing or malformed. */
export const readGatePriority = (request: IncomingMessage): number => {
    const headerValue = readRequestHeader(request, PRIORITY_HEADER);
    return headerValue !== undefined && PRIORITY_PATTERN.test(headerValue) ? Number(headerValue) : 0;
};

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

/** Reads such a request. */
export const readOverdueRequest = (request: IncomingMessage): OverdueRequest => ({
    kind: readRequestHeader(request, KIND_HEADER) ?? "",
    priority: readGatePriority(request),
    sentShare: parseShare(readRequestHeader(request, SENT_SHARE_HEADER)),
});

/** A request at the gate without its body and its signals. */
export type GateRequestHead = Omit<GateRequest, "body" | "onAdmitted" | "signal">;

/** How a request arrived. */
export interface HeadArrival {
    /** Monotonic time at which the head was read. */
    readonly receivedAt: Milliseconds;
    /** Time for which the head may have waited to be read. */
    readonly lagMs: Milliseconds;
}

/** Parses the request head. The timeout starts when the head was read. */
export const parseRequestHead = (
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
