/**
 * Header conventions (dialects) between a node and its callers and targets. By default both use the project's own
 * headers; an adapter passes in other dialects for callers and targets that follow another convention. The headers
 * between nodes are always the same.
 */
import type { IncomingMessage } from "node:http";
import type { Either } from "fp-ts/lib/Either.js";
import {
    CUSTOMER_HEADER,
    CUSTOMER_KEY_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    parseRequestLimit,
    parseTargetReport,
    REQUEST_ID_HEADER,
    RETRY_HEADER,
    TARGET_LEAVING_HEADER,
    TARGET_LIMIT_HEADER,
    TARGET_LOAD_HEADER,
    TIMEOUT_HEADER,
    VERDICT_HEADER,
    VERSION_HEADER,
    type CustomerName,
    type Head,
    type Milliseconds,
    type ReportReading,
    type RequestFailure,
    type ServiceReference,
    type TargetFeedback,
    type Verdict,
} from "oleandergap-types";
import { readResponseHeader, type ResponseHeaders } from "./upstreamResponse.js";
import { readRequestHeader } from "./headers.js";
import { describeFailure, readTargetRefusal, type FailureResponse, type FailureContext } from "./refusal.js";
import { parseTimeout } from "./timeoutHeader.js";

/** Metadata that the gateway adds to a response besides the target's own headers. */
export interface ResponseMetadata {
    readonly verdict: Verdict;
    /** Configuration version that the request was served by; undefined until it has been determined. */
    readonly version: Head | undefined;
    /** Request id that the caller assigned. */
    readonly requestId: string | undefined;
    /** Whether a downstream hop has already retried, so that no upstream hop may retry again. */
    readonly isRetried: boolean;
}

/** Header convention between callers and a gateway. */
export interface CallerDialect {
    /** Returns the timeout that the caller specified; undefined when it specified none. */
    readonly readTimeout: (request: IncomingMessage) => Either<RequestFailure, Milliseconds | undefined>;
    /** Returns the request id that the caller assigned, if it is safe to echo. */
    readonly readRequestId: (request: IncomingMessage) => string | undefined;
    readonly readIdempotencyKey: (request: IncomingMessage) => string | undefined;
    /**
     * Returns the customer's key that the caller sent; undefined if the caller sent none, and a text that is no key if
     * it sent something else than one key. Absent in dialects without customers.
     */
    readonly readCustomerKey?: (request: IncomingMessage) => string | undefined;
    /** Returns whether an upstream hop forbids retries. */
    readonly forbidsRetries: (request: IncomingMessage) => boolean;
    /**
     * Names of headers that the gate itself sends to targets, in lower case. Values that callers send under these names
     * are dropped.
     */
    readonly reservedHeaders: ReadonlySet<string>;
    /**
     * The same for requests of tables with customers: also the headers of the key and of the customer's name. Without
     * customers, these belong to callers and targets. Absent if there are no further ones.
     */
    readonly reservedHeadersWithCustomers?: ReadonlySet<string>;
    readonly describeResponse: (metadata: ResponseMetadata) => Record<string, string>;
    readonly describeFailure: (failure: RequestFailure, context: FailureContext) => FailureResponse;
}

/** A request that is about to be sent to the target. */
export interface TargetRequest {
    /** Alternating names and values as the caller sent them, without the headers of this system. */
    readonly headers: readonly string[];
    /** Service that the caller belongs to. */
    readonly caller: ServiceReference;
    /** Customer whose caller sent the request; undefined for requests that belong to no customer. */
    readonly customer: CustomerName | undefined;
    /** Id that the system assigned to this attempt. */
    readonly attemptId: string;
    /** Time until the deadline. */
    readonly remainingMs: Milliseconds;
    /** Id of the target instance that the request is meant for, if targets announce one. */
    readonly instanceId: string | undefined;
}

/** Header convention between a gate and its target. */
export interface TargetDialect {
    /** Returns alternating names and values to send in addition to the caller's headers. */
    readonly describeRequest: (request: TargetRequest) => readonly string[];
    /** Name of the response header that identifies the request, in lower case. */
    readonly responseIdHeader: string;
    /** Returns the expected value of that header; undefined when any value is accepted. */
    readonly expectResponseId: (request: TargetRequest) => string | undefined;
    /** Returns the refusal that a response represents; undefined when the target ran the request. */
    readonly readRefusal: (statusCode: number, headers: ResponseHeaders) => RequestFailure | undefined;
    /**
     * Returns what the target states about itself in a response, including a refusal; undefined when another target
     * sent the response.
     */
    readonly readFeedback: (statusCode: number, headers: ResponseHeaders) => TargetFeedback | undefined;
    /**
     * Returns the load that the target reports in a response, or undefined if it reports none or another target sent
     * the response. Absent in dialects whose targets report none.
     */
    readonly readReport?: (statusCode: number, headers: ResponseHeaders) => ReportReading | undefined;
}

/** Dialects of both sides of a node. */
export interface Dialects {
    readonly caller: CallerDialect;
    readonly target: TargetDialect;
}

/** Caller ids are echoed in responses, so only harmless characters are accepted. */
const REQUEST_ID_PATTERN = /^[A-Za-z0-9._~:+=/-]{1,128}$/;

const defaultCallerDialect: CallerDialect = {
    readTimeout: (request) => parseTimeout(readRequestHeader(request, TIMEOUT_HEADER), undefined),
    readRequestId: (request) => {
        const id = readRequestHeader(request, REQUEST_ID_HEADER);
        return id !== undefined && REQUEST_ID_PATTERN.test(id) ? id : undefined;
    },
    readIdempotencyKey: (request) => readRequestHeader(request, IDEMPOTENCY_KEY_HEADER),
    readCustomerKey: (request) => readRequestHeader(request, CUSTOMER_KEY_HEADER),
    forbidsRetries: (request) => readRequestHeader(request, RETRY_HEADER) === "no",
    reservedHeaders: new Set(),
    describeResponse: ({ verdict, version, requestId, isRetried }) => ({
        ...requestId === undefined ? {} : { [REQUEST_ID_HEADER]: requestId },
        ...version === undefined ? {} : { [VERSION_HEADER]: `${version.partner}:${version.sequence}` },
        ...isRetried ? { [RETRY_HEADER]: "no" } : {},
        [VERDICT_HEADER]: verdict,
    }),
    describeFailure,
};

/** Pace in a report of a target whose work takes its usual time. */
const USUAL_PACE = 1;

const defaultTargetDialect: TargetDialect = {
    describeRequest: ({ attemptId, remainingMs, customer }) => [
        TIMEOUT_HEADER, String(remainingMs),
        REQUEST_ID_HEADER, attemptId,
        ...customer === undefined ? [] : [CUSTOMER_HEADER, customer],
    ],
    responseIdHeader: REQUEST_ID_HEADER,
    expectResponseId: ({ attemptId }) => attemptId,
    readRefusal: (_statusCode, headers) => readTargetRefusal(headers),
    readFeedback: (_statusCode, headers) => ({
        requestLimit: parseRequestLimit(readResponseHeader(headers, TARGET_LIMIT_HEADER)),
        isLeaving: readResponseHeader(headers, TARGET_LEAVING_HEADER) === "yes",
    }),
    readReport: (_statusCode, headers) =>
        parseTargetReport(readResponseHeader(headers, TARGET_LOAD_HEADER), USUAL_PACE),
};

/** Dialects that use the headers described in docs/REQUESTS.md. */
export const defaultDialects: Dialects = { caller: defaultCallerDialect, target: defaultTargetDialect };
