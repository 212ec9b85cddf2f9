/** Encodes a failure for a caller or another node as a status, headers and a small JSON body, and decodes it again. */
import { crashIdSchema } from "oleandergap-containment";
import {
    REASON_HEADER,
    refusalReasonSchema,
    RETRY_AFTER_HEADER,
    RETRY_AFTER_MS_HEADER,
    VERDICT_HEADER,
    type Milliseconds,
    type RefusalReason,
    type RequestFailure,
    type Verdict,
} from "oleandergap-types";
import { readResponseHeader, type ResponseHeaders } from "./upstreamResponse.js";
import { CRASH_HEADER, REQUEST_ONLY_HEADER } from "./headers.js";

const MILLISECONDS_PER_SECOND = 1000;
/** Maximum retry delay that is accepted from a target, in milliseconds. */
const MAX_RETRY_AFTER_MS = 600_000;

export const HTTP_STATUS = {
    badRequest: 400,
    unauthorized: 401,
    notFound: 404,
    conflict: 409,
    misdirected: 421,
    tooManyRequests: 429,
    badGateway: 502,
    unavailable: 503,
    gatewayTimeout: 504,
} as const;

const REFUSAL_STATUS: Readonly<Partial<Record<RefusalReason, number>>> = {
    UnknownService: HTTP_STATUS.notFound,
    DeadlinePassed: HTTP_STATUS.gatewayTimeout,
    DeadlineTooShort: HTTP_STATUS.gatewayTimeout,
    FairShareExceeded: HTTP_STATUS.tooManyRequests,
    LimitReached: HTTP_STATUS.tooManyRequests,
    QuotaExceeded: HTTP_STATUS.tooManyRequests,
    UnknownKey: HTTP_STATUS.unauthorized,
};

/** A failure encoded as an HTTP response. */
export interface FailureResponse {
    readonly statusCode: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
}

export const statusOfFailure = (failure: RequestFailure): number => {
    switch (failure.kind) {
        case "Refused":
            return REFUSAL_STATUS[failure.reason] ?? HTTP_STATUS.unavailable;
        case "ConnectFailed":
            return HTTP_STATUS.unavailable;
        case "AnswerLost":
        case "AnswerCut":
            return HTTP_STATUS.badGateway;
        case "DuplicateKey":
            return HTTP_STATUS.conflict;
        case "BadRequest":
            return HTTP_STATUS.badRequest;
    }
};

/**
 * Reason header of a refusal that applies only to this request, for nodes that do not know {@link REQUEST_ONLY_HEADER}.
 */
const REQUEST_ONLY_REASON: RefusalReason = "Draining";

/** Returns the reason of a refusal, or the kind of any other failure. */
export const reasonOfFailure = (failure: RequestFailure): string =>
    failure.kind === "Refused" ? failure.reason : failure.kind;

const getRetryAfter = (failure: RequestFailure): number | undefined =>
    failure.kind === "Refused" || failure.kind === "DuplicateKey" ? failure.retryAfterMs : undefined;

const getDetail = (failure: RequestFailure): string | undefined => "detail" in failure ? failure.detail : undefined;

/** Additional information of the caller of `describeFailure` that is not part of the failure. */
export interface FailureContext {
    /** Overrides the default status, for example when the deadline has passed. */
    readonly statusCode?: number | undefined;
    /** Retry delay to report if the failure does not contain one. */
    readonly retryAfterMs?: Milliseconds | undefined;
}

export const describeFailure = (failure: RequestFailure, context: FailureContext = {}): FailureResponse => {
    const reason = reasonOfFailure(failure);
    const retryAfterMs = getRetryAfter(failure) ?? context.retryAfterMs;
    const statusCode = context.statusCode ?? statusOfFailure(failure);
    const detail = getDetail(failure);
    const body = JSON.stringify({ verdict: failure.verdict, reason, retryAfterMs, detail });
    const isRequestOnly = reason === "StopTooSoon";
    const headers: Record<string, string> = {
        "content-type": "application/json",
        "content-length": String(Buffer.byteLength(body)),
        [VERDICT_HEADER]: failure.verdict,
        [REASON_HEADER]: isRequestOnly ? REQUEST_ONLY_REASON : reason,
        ...isRequestOnly ? { [REQUEST_ONLY_HEADER]: "yes" } : {},
    };
    if (failure.kind === "AnswerLost" && failure.crash !== undefined) {
        headers[CRASH_HEADER] = failure.crash;
    }
    if (retryAfterMs !== undefined) {
        headers[RETRY_AFTER_HEADER] = String(Math.ceil(retryAfterMs / MILLISECONDS_PER_SECOND));
        headers[RETRY_AFTER_MS_HEADER] = String(Math.ceil(retryAfterMs));
    }
    return { statusCode, headers, body };
};

const parseNonNegativeInteger = (text: string | undefined): number | undefined =>
    text !== undefined && /^\d{1,9}$/.test(text) ? Number(text) : undefined;

/** Returns the retry delay that the sender of `headers` requests, in milliseconds; 0 when it specifies none. */
export const readRetryAfterMs = (headers: ResponseHeaders): number => {
    const milliseconds = parseNonNegativeInteger(readResponseHeader(headers, RETRY_AFTER_MS_HEADER));
    const seconds = parseNonNegativeInteger(readResponseHeader(headers, RETRY_AFTER_HEADER));
    return Math.min(milliseconds ?? (seconds ?? 0) * MILLISECONDS_PER_SECOND, MAX_RETRY_AFTER_MS);
};

/**
 * Returns the failure that a response from a gate represents, or undefined when the response comes from the target.
 * Gates remove these headers from responses of targets, so a reason header is always set by the gate.
 */
export const readFailure = (headers: ResponseHeaders): RequestFailure | undefined => {
    const reason = readResponseHeader(headers, REASON_HEADER);
    if (reason === undefined) {
        return undefined;
    }
    const refusal = refusalReasonSchema.safeParse(reason);
    const retryAfterMs = readRetryAfterMs(headers);
    if (refusal.success) {
        const isRequestOnly = refusal.data === REQUEST_ONLY_REASON &&
            readResponseHeader(headers, REQUEST_ONLY_HEADER) !== undefined;
        return { kind: "Refused", verdict: "notRun", reason: isRequestOnly ? "StopTooSoon" : refusal.data, retryAfterMs };
    }
    switch (reason) {
        case "ConnectFailed":
            return { kind: "ConnectFailed", verdict: "notRun", detail: "the gate could not connect to its target" };
        case "BadRequest":
            return { kind: "BadRequest", verdict: "notRun", detail: "the gate refused the request" };
        case "DuplicateKey":
            return { kind: "DuplicateKey", verdict: "mayHaveRun", retryAfterMs };
        case "AnswerCut":
            return { kind: "AnswerCut", verdict: "ran", detail: "the request ran, and its answer is not at hand" };
        default:
            return {
                kind: "AnswerLost",
                verdict: "mayHaveRun",
                detail: `the gate reported ${reason}`,
                crash: crashIdSchema.safeParse(readResponseHeader(headers, CRASH_HEADER)).data,
            };
    }
};

/**
 * Returns the refusal that a target itself expressed by the verdict header, for example when it sheds load. Only the
 * target can guarantee that it did not run a request that it received.
 */
export const readTargetRefusal = (headers: ResponseHeaders): RequestFailure | undefined => {
    const notRun: Verdict = "notRun";
    if (readResponseHeader(headers, VERDICT_HEADER) !== notRun) {
        return undefined;
    }
    const reason = refusalReasonSchema.safeParse(readResponseHeader(headers, REASON_HEADER));
    return {
        kind: "Refused",
        verdict: "notRun",
        reason: reason.success ? reason.data : "LimitReached",
        retryAfterMs: readRetryAfterMs(headers),
    };
};
