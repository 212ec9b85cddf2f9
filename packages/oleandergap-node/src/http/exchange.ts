/**
 * Sends one request over a transport and receives its response.
 *
 * A failure is reported with the verdict that the state of the connection allows: `notRun` when no connection was
 * established, so that nothing was sent; `mayHaveRun` when the request was handed to a connection and no response head
 * arrived; `ran` when the head arrived and the body was cut off. A connection with an aborted exchange is destroyed and
 * never reused, because a late response to the old request would be read as the response to the next one.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { ResponseBodyLimits, RequestControl, RequestTransport, ResponseReceiver } from "oleandergap-transport";
import type { RequestFailure } from "oleandergap-types";
import { readResponseHeader, type UpstreamResponse, type ResponseHeaders } from "./upstreamResponse.js";
import { createReceivedBody, type ReceivedBody } from "./receivedBody.js";
import { createBodyFeed } from "./bodyFeed.js";
import type { RequestBody } from "./requestBody.js";

export interface ExchangeRequest {
    readonly transport: RequestTransport;
    readonly method: string;
    /** Path and query. */
    readonly path: string;
    /** Alternating names and values, without hop-by-hop headers. */
    readonly headers: readonly string[];
    readonly body: RequestBody;
    /** Returns whether the request may still be sent; see `OutgoingRequest`. */
    readonly mayStart?: (() => boolean) | undefined;
    /** Name of the response header that identifies the request, in lower case. */
    readonly responseIdHeader: string;
    /** Expected value of that header; a response with another id is rejected. Undefined when any value is accepted. */
    readonly responseId: string | undefined;
    /** Whether a response without an id is rejected as well. Nodes always send the id; targets do not have to. */
    readonly requireId: boolean;
    /** Whether the rest of a streaming body is sent only after the receiver has admitted the request. */
    readonly awaitAdmission: boolean;
    /** Limits of the response body. */
    readonly bodyLimits: ResponseBodyLimits;
    /**
     * Called for an informational response (a status below 200), which shows that the receiver is alive and has the
     * request.
     */
    readonly onInformationalResponse: (statusCode: number) => void;
}

export interface Exchange {
    /** Resolves with the response, whose body has not been consumed yet, or with the failure. Never rejects. */
    readonly outcome: Promise<Either<RequestFailure, UpstreamResponse>>;
    /** Aborts the exchange and destroys its connection. Once the response head has arrived, this cuts the body off. */
    readonly abort: (detail: string) => void;
}

/** Status of the informational response by which a gate reports that it has admitted the request and is alive. */
export const ADMITTED_STATUS = 102;

const FIRST_FINAL_STATUS = 200;

const cancelledBeforeSending: RequestFailure = {
    kind: "Refused",
    verdict: "notRun",
    reason: "Cancelled",
    retryAfterMs: 0,
};

const describeError = (error: Error): string => "code" in error ? `${String(error.code)}: ${error.message}` : error.message;

const isMismatchedResponse = (
    { responseIdHeader, responseId, requireId }: ExchangeRequest,
    headers: ResponseHeaders,
): boolean => {
    const id = readResponseHeader(headers, responseIdHeader);
    return id === undefined ? requireId : responseId !== undefined && id !== responseId;
};

/** Starts to send `request` and returns the running exchange. */
export const startExchange = (request: ExchangeRequest): Exchange => {
    let resolveOutcome: (outcome: Either<RequestFailure, UpstreamResponse>) => void = () => undefined;
    const outcome = new Promise<Either<RequestFailure, UpstreamResponse>>((resolve) => {
        resolveOutcome = resolve;
    });
    const feed = createBodyFeed(request.body, request.awaitAdmission);
    let control: RequestControl | undefined;
    let isSent = false;
    let body: ReceivedBody | undefined;
    let abortDetail: string | undefined;

    const failExchange = (detail: string): void => {
        feed.close();
        if (body !== undefined) {
            body.cutOff({ kind: "AnswerCut", verdict: "ran", detail });
        }
        else if (!isSent) {
            resolveOutcome(either.left({ kind: "ConnectFailed", verdict: "notRun", detail }));
        }
        else {
            resolveOutcome(either.left({ kind: "AnswerLost", verdict: "mayHaveRun", detail }));
        }
    };

    const abort = (detail: string): void => {
        if (abortDetail !== undefined) {
            return;
        }
        abortDetail = detail;
        control?.abort();
        if (isSent) {
            failExchange(detail);
            return;
        }
        feed.close();
        resolveOutcome(either.left(cancelledBeforeSending));
    };

    const handleResponseHead = (statusCode: number, headers: ResponseHeaders): void => {
        if (statusCode < FIRST_FINAL_STATUS) {
            if (statusCode === ADMITTED_STATUS) {
                feed.open();
            }
            request.onInformationalResponse(statusCode);
            return;
        }
        if (isMismatchedResponse(request, headers)) {
            abort("the answer belongs to another request");
            return;
        }
        body = createReceivedBody({
            pause: () => control?.pause(),
            resume: () => control?.resume(),
            abort,
        });
        resolveOutcome(either.right({ statusCode, headers, body }));
    };

    const receiver: ResponseReceiver = {
        onSent: () => {
            isSent = true;
        },
        onHead: handleResponseHead,
        onData: (chunk) => body?.push(chunk),
        onEnd: () => {
            feed.close();
            body?.finish();
        },
        onError: (error) => failExchange(describeError(error)),
    };

    try {
        control = request.transport.send({
            method: request.method,
            path: request.path,
            headers: request.headers,
            body: feed.body,
            ...request.mayStart === undefined ? {} : { mayStart: request.mayStart },
            ...request.bodyLimits,
        }, receiver);
    }
    catch (error) {
        failExchange(error instanceof Error ? describeError(error) : String(error));
    }
    return { outcome, abort };
};
