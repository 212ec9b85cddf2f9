/** Parses the request headers that a target uses. */
import type { IncomingMessage } from "node:http";
import { IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, TIMEOUT_HEADER, type Milliseconds } from "oleandergap-types";

/**
 * Request header that identifies an operation that must not run twice, for requests without an idempotency key. The
 * caller stand-in sends it with each request. The system forwards it like any other header of the caller.
 */
export const RUN_KEY_HEADER = "stand-in-run-key";
/** Request header with the number of characters by which the target pads the response. */
export const ANSWER_PADDING_HEADER = "stand-in-answer-padding";

/** Parsed request headers that a target uses. */
export interface RequestHeaders {
    readonly runKey: string | undefined;
    readonly requestId: string | undefined;
    /** Remaining time that the caller waits, or undefined if the request does not contain it. */
    readonly timeoutMs: Milliseconds | undefined;
    readonly answerPadding: number;
}

const readTextHeader = (request: IncomingMessage, header: string): string | undefined => {
    const value = request.headers[header];
    return typeof value === "string" ? value : undefined;
};

const readNumberHeader = (request: IncomingMessage, header: string): number | undefined => {
    const text = readTextHeader(request, header);
    const value = text === undefined ? Number.NaN : Number(text);
    return Number.isFinite(value) ? value : undefined;
};

/** Parses the headers. Never throws: an invalid header counts as absent. */
export const readRequestHeaders = (request: IncomingMessage): RequestHeaders => ({
    runKey: readTextHeader(request, RUN_KEY_HEADER) ?? readTextHeader(request, IDEMPOTENCY_KEY_HEADER),
    requestId: readTextHeader(request, REQUEST_ID_HEADER),
    timeoutMs: readNumberHeader(request, TIMEOUT_HEADER),
    answerPadding: Math.max(0, readNumberHeader(request, ANSWER_PADDING_HEADER) ?? 0),
});
