/**
 * How callers and targets say what the system needs to know. The node speaks its own headers to both by default; where
 * they follow another convention, an adapter passes in dialects of its own. Between nodes nothing changes.
 */
import type { IncomingMessage } from "node:http";
import type { Either } from "fp-ts/lib/Either.js";
import {
    IDEMPOTENCY_KEY_HEADER,
    REQUEST_ID_HEADER,
    RETRY_HEADER,
    TIMEOUT_HEADER,
    VERDICT_HEADER,
    VERSION_HEADER,
    type Head,
    type Milliseconds,
    type RequestFailure,
    type ServiceReference,
    type Verdict,
} from "oleandergap-types";
import type { AnswerHeaders } from "./answer.js";
import { readRequestHeader } from "./headers.js";
import { describeFailure, readTargetRefusal, type FailureAnswer, type FailureContext } from "./refusal.js";
import { parseTimeout } from "./timeoutHeader.js";

/** What a caller's answer tells besides the target's own headers. */
export interface AnswerNotes {
    readonly verdict: Verdict;
    /** The version that the request was served by, once it is known. */
    readonly version: Head | undefined;
    /** The caller's own id of its request. */
    readonly requestId: string | undefined;
    /** A hop below has retried, so that nobody above may. */
    readonly isRetried: boolean;
}

/** The headers between callers and a gateway. */
export interface CallerDialect {
    /** How long the caller waits; undefined when it does not say. */
    readonly readTimeout: (request: IncomingMessage) => Either<RequestFailure, Milliseconds | undefined>;
    /** The caller's own id of its request, if it gave one that may be echoed. */
    readonly readRequestId: (request: IncomingMessage) => string | undefined;
    readonly readIdempotencyKey: (request: IncomingMessage) => string | undefined;
    /** Whether a hop above forbids retries. */
    readonly forbidsRetries: (request: IncomingMessage) => boolean;
    /** Headers that the system sets itself towards targets, in lower case; what callers send under them is dropped. */
    readonly reservedHeaders: ReadonlySet<string>;
    readonly describeAnswer: (notes: AnswerNotes) => Record<string, string>;
    readonly describeFailure: (failure: RequestFailure, context: FailureContext) => FailureAnswer;
}

/** A request as it is about to be handed to the target. */
export interface TargetRequest {
    /** Names and values in turn, as the caller sent them, without those of the system. */
    readonly headers: readonly string[];
    /** The service that the caller belongs to. */
    readonly caller: ServiceReference;
    /** Id that the system gave to this try. */
    readonly tryId: string;
    /** Time that is left. */
    readonly remainingMs: Milliseconds;
    /** The lifetime of the target that the request is meant for, if targets name theirs. */
    readonly instanceId: string | undefined;
}

/** The headers between a gate and its target. */
export interface TargetDialect {
    /** Names and values in turn, to be sent besides the caller's headers. */
    readonly describeRequest: (request: TargetRequest) => readonly string[];
    /** Header by which the target's answer names the request that it belongs to, in lower case. */
    readonly answerIdHeader: string;
    /** The value of that header for this request; undefined when any value will do. */
    readonly expectAnswerId: (request: TargetRequest) => string | undefined;
    /** The refusal that an answer stands for; undefined when the target ran the request. */
    readonly readRefusal: (statusCode: number, headers: AnswerHeaders) => RequestFailure | undefined;
}

/** Both sides of a node. */
export interface Dialects {
    readonly caller: CallerDialect;
    readonly target: TargetDialect;
}

/** Ids of callers are echoed, so they are held to harmless characters. */
const REQUEST_ID_PATTERN = /^[A-Za-z0-9._~:+=/-]{1,128}$/;

const ownCallerDialect: CallerDialect = {
    readTimeout: (request) => parseTimeout(readRequestHeader(request, TIMEOUT_HEADER), undefined),
    readRequestId: (request) => {
        const id = readRequestHeader(request, REQUEST_ID_HEADER);
        return id !== undefined && REQUEST_ID_PATTERN.test(id) ? id : undefined;
    },
    readIdempotencyKey: (request) => readRequestHeader(request, IDEMPOTENCY_KEY_HEADER),
    forbidsRetries: (request) => readRequestHeader(request, RETRY_HEADER) === "no",
    reservedHeaders: new Set(),
    describeAnswer: ({ verdict, version, requestId, isRetried }) => ({
        ...requestId === undefined ? {} : { [REQUEST_ID_HEADER]: requestId },
        ...version === undefined ? {} : { [VERSION_HEADER]: `${version.partner}:${version.sequence}` },
        ...isRetried ? { [RETRY_HEADER]: "no" } : {},
        [VERDICT_HEADER]: verdict,
    }),
    describeFailure,
};

const ownTargetDialect: TargetDialect = {
    describeRequest: ({ tryId, remainingMs }) => [TIMEOUT_HEADER, String(remainingMs), REQUEST_ID_HEADER, tryId],
    answerIdHeader: REQUEST_ID_HEADER,
    expectAnswerId: ({ tryId }) => tryId,
    readRefusal: (_statusCode, headers) => readTargetRefusal(headers),
};

/** The headers that docs/REQUESTS.md describes. */
export const ownDialects: Dialects = { caller: ownCallerDialect, target: ownTargetDialect };
