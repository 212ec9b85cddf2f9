/**
 * One request and its answer over a connection of an undici dispatcher.
 *
 * What can go wrong on a connection, and what is said of it: no connection was made, so that surely nothing was sent
 * (`notRun`); the request was handed to a connection and no answer's head came (`mayHaveRun`); the head came and the
 * body broke off (`ran`). A connection on which an exchange was given up is destroyed, never reused: a late answer to
 * the old request would otherwise be read as the answer to the next one.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { RequestFailure } from "oleandergap-types";
import type { Dispatcher } from "undici";
import { readAnswerHeader, type Answer, type AnswerHeaders } from "./answer.js";
import { createReceivedBody, type ReceivedBody } from "./receivedBody.js";
import { createBodyFeed } from "./bodyFeed.js";
import type { RequestBody } from "./requestBody.js";
import { readSocketEnd, wasReset } from "./socketEnd.js";

export interface ExchangeRequest {
    readonly dispatcher: Dispatcher;
    readonly method: string;
    /** Path and query. */
    readonly path: string;
    /** Names and values in turn, without hop-by-hop headers. */
    readonly headers: string[];
    readonly body: RequestBody;
    /** Header of the answer that names the request it belongs to, in lower case. */
    readonly answerIdHeader: string;
    /** What that header has to hold; an answer with another id is not delivered. Undefined when any will do. */
    readonly answerId: string | undefined;
    /** Whether an answer without an id is refused as well. Nodes always send it, targets need not. */
    readonly requireId: boolean;
    /** The rest of a streaming body is sent only after the other side said that it admitted the request. */
    readonly awaitAdmission: boolean;
    /** Longest silence within the answer's body, in milliseconds. */
    readonly bodySilenceMs: number;
    /** An informational answer came (a status below 200): the other side is alive and has the request. */
    readonly onInformation: (statusCode: number) => void;
}

export interface Exchange {
    /** The answer, with its body still to be taken, or why there is none. Never rejects. */
    readonly outcome: Promise<Either<RequestFailure, Answer>>;
    /** Gives the exchange up and destroys its connection. After the answer's head it breaks the body off. */
    readonly abort: (detail: string) => void;
}

/** Status of the informational answer with which a gate tells that it admitted the request and is alive. */
export const ADMITTED_STATUS = 102;

const FIRST_FINAL_STATUS = 200;

const cancelledBeforeSending: RequestFailure = {
    kind: "Refused",
    verdict: "notRun",
    reason: "Cancelled",
    retryAfterMs: 0,
};

const describeError = (error: Error): string => "code" in error ? `${String(error.code)}: ${error.message}` : error.message;

const isForeignAnswer = (
    { answerIdHeader, answerId, requireId }: ExchangeRequest,
    headers: AnswerHeaders,
): boolean => {
    const id = readAnswerHeader(headers, answerIdHeader);
    return id === undefined ? requireId : answerId !== undefined && id !== answerId;
};

/**
 * Whether an answer that is reported as whole ended only because its connection did. Without a length, the end of the
 * connection is the end of the answer, unless it was a reset; with chunks, the last one has to come first.
 */
const isCutShort = (headers: AnswerHeaders): boolean => {
    const end = readSocketEnd();
    if (end === undefined || readAnswerHeader(headers, "content-length") !== undefined) {
        return false;
    }
    const isChunked = readAnswerHeader(headers, "transfer-encoding") !== undefined;
    return isChunked || wasReset(end);
};

/**
 * The length of a streaming body has to be told: the other side would otherwise wait for as much as it keeps, while
 * this side sends no more than the beginning until it is admitted.
 */
const addLength = (headers: string[], body: RequestBody): string[] => {
    if (body.kind === "Streaming" && body.length !== undefined) {
        headers.push("content-length", String(body.length));
    }
    return headers;
};

/** Starts to send `request`. */
export const startExchange = (request: ExchangeRequest): Exchange => {
    let settle: (outcome: Either<RequestFailure, Answer>) => void = () => undefined;
    const outcome = new Promise<Either<RequestFailure, Answer>>((resolve) => {
        settle = resolve;
    });
    const feed = createBodyFeed(request.body, request.awaitAdmission);
    let controller: Dispatcher.DispatchController | undefined;
    let body: ReceivedBody | undefined;
    let abortDetail: string | undefined;
    let answerHeaders: AnswerHeaders = {};

    const abort = (detail: string): void => {
        if (abortDetail !== undefined) {
            return;
        }
        abortDetail = detail;
        feed.close();
        if (controller === undefined) {
            // Still waiting for a connection: it is taken back when its turn comes.
            settle(either.left(cancelledBeforeSending));
        }
        else {
            controller.abort(new Error(detail));
        }
    };

    const startAnswer = (statusCode: number, headers: AnswerHeaders): void => {
        if (statusCode < FIRST_FINAL_STATUS) {
            if (statusCode === ADMITTED_STATUS) {
                feed.open();
            }
            request.onInformation(statusCode);
            return;
        }
        if (isForeignAnswer(request, headers)) {
            abort("the answer belongs to another request");
            return;
        }
        answerHeaders = headers;
        body = createReceivedBody({
            pause: () => controller?.pause(),
            resume: () => controller?.resume(),
            abort,
        });
        settle(either.right({ statusCode, headers, body }));
    };

    const failExchange = (error: Error): void => {
        feed.close();
        const detail = abortDetail ?? describeError(error);
        if (body !== undefined) {
            body.breakOff({ kind: "AnswerCut", verdict: "ran", detail });
        }
        else if (controller === undefined) {
            settle(either.left({ kind: "ConnectFailed", verdict: "notRun", detail }));
        }
        else {
            settle(either.left({ kind: "AnswerLost", verdict: "mayHaveRun", detail }));
        }
    };

    const handler: Dispatcher.DispatchHandler = {
        onRequestStart: (started) => {
            if (abortDetail !== undefined) {
                started.abort(new Error(abortDetail));
                return;
            }
            controller = started;
        },
        onResponseStart: (_controller, statusCode, headers) => startAnswer(statusCode, headers),
        onResponseData: (_controller, chunk) => body?.push(chunk),
        onResponseEnd: () => {
            feed.close();
            if (isCutShort(answerHeaders)) {
                body?.breakOff({ kind: "AnswerCut", verdict: "ran", detail: "the connection ended within the answer" });
                return;
            }
            body?.finish();
        },
        onResponseError: (_controller, error) => failExchange(error),
    };

    try {
        request.dispatcher.dispatch({
            method: request.method,
            path: request.path,
            headers: addLength(request.headers, request.body),
            body: feed.body,
            headersTimeout: 0,
            bodyTimeout: request.bodySilenceMs,
        }, handler);
    }
    catch (error) {
        failExchange(error instanceof Error ? error : new Error(String(error)));
    }
    return { outcome, abort };
};
