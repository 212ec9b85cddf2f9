/** How a failure is told to a caller or to another node: status, headers and a small JSON body; and read back. */
import { crashIdSchema } from "oleandergap-containment";
import {
    REASON_HEADER,
    refusalReasonSchema,
    RETRY_AFTER_HEADER,
    RETRY_AFTER_MS_HEADER,
    VERDICT_HEADER,
    verdictSchema,
    type Milliseconds,
    type RefusalReason,
    type RequestFailure,
} from "oleandergap-types";
import { readAnswerHeader, type AnswerHeaders } from "./answer.js";
import { CRASH_HEADER } from "./headers.js";

const MILLISECONDS_PER_SECOND = 1000;
/** Longest advice to come back later that is taken over from a target, in milliseconds. */
const MAX_RETRY_AFTER_MS = 600_000;

export const HTTP_STATUS = {
    badRequest: 400,
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
};

/** A failure ready to be written. */
export interface FailureAnswer {
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

/** The reason of a refusal, or the kind of any other failure. */
export const reasonOfFailure = (failure: RequestFailure): string =>
    failure.kind === "Refused" ? failure.reason : failure.kind;

const readRetryAfter = (failure: RequestFailure): number | undefined =>
    failure.kind === "Refused" || failure.kind === "DuplicateKey" ? failure.retryAfterMs : undefined;

const readDetail = (failure: RequestFailure): string | undefined => "detail" in failure ? failure.detail : undefined;

/** What the place that tells a failure knows beyond the failure itself. */
export interface FailureContext {
    /** Replaces the usual status, for example when the deadline has passed. */
    readonly statusCode?: number | undefined;
    /** When to come back, if the failure does not say so itself. */
    readonly retryAfterMs?: Milliseconds | undefined;
}

export const describeFailure = (failure: RequestFailure, context: FailureContext = {}): FailureAnswer => {
    const reason = reasonOfFailure(failure);
    const retryAfterMs = readRetryAfter(failure) ?? context.retryAfterMs;
    const statusCode = context.statusCode ?? statusOfFailure(failure);
    const detail = readDetail(failure);
    const body = JSON.stringify({ verdict: failure.verdict, reason, retryAfterMs, detail });
    const headers: Record<string, string> = {
        "content-type": "application/json",
        "content-length": String(Buffer.byteLength(body)),
        [VERDICT_HEADER]: failure.verdict,
        [REASON_HEADER]: reason,
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

const parseCount = (text: string | undefined): number | undefined =>
    text !== undefined && /^\d{1,9}$/.test(text) ? Number(text) : undefined;

/** When the sender of `headers` asks to come back, in milliseconds; 0 when it does not say. */
export const readRetryAfterMs = (headers: AnswerHeaders): number => {
    const milliseconds = parseCount(readAnswerHeader(headers, RETRY_AFTER_MS_HEADER));
    const seconds = parseCount(readAnswerHeader(headers, RETRY_AFTER_HEADER));
    return Math.min(milliseconds ?? (seconds ?? 0) * MILLISECONDS_PER_SECOND, MAX_RETRY_AFTER_MS);
};

/**
 * The failure that an answer from a gate stands for, or undefined when the answer is the target's own. Gates drop
 * these headers from what targets send, so a reason is always the gate's word.
 */
export const readFailure = (headers: AnswerHeaders): RequestFailure | undefined => {
    const reason = readAnswerHeader(headers, REASON_HEADER);
    if (reason === undefined) {
        return undefined;
    }
    const refusal = refusalReasonSchema.safeParse(reason);
    const retryAfterMs = readRetryAfterMs(headers);
    if (refusal.success) {
        return { kind: "Refused", verdict: "notRun", reason: refusal.data, retryAfterMs };
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
                crash: crashIdSchema.safeParse(readAnswerHeader(headers, CRASH_HEADER)).data,
            };
    }
};

/**
 * The refusal that a target itself expressed by the verdict header, for example when it sheds load. Only the target
 * can know that it did not run what it received.
 */
export const readTargetRefusal = (headers: AnswerHeaders): RequestFailure | undefined => {
    const verdict = verdictSchema.safeParse(readAnswerHeader(headers, VERDICT_HEADER));
    if (!verdict.success || verdict.data !== "notRun") {
        return undefined;
    }
    const reason = refusalReasonSchema.safeParse(readAnswerHeader(headers, REASON_HEADER));
    return {
        kind: "Refused",
        verdict: "notRun",
        reason: reason.success ? reason.data : "LimitReached",
        retryAfterMs: readRetryAfterMs(headers),
    };
};
