/**
 * Runs one HTTP exchange with the platform under a time limit and a size limit. The result states whether any byte of
 * the request may have reached the platform; `classifyExchange` decides what that means for the caller.
 */
import { setMaxListeners } from "node:events";
import type {
    OutgoingBody,
    OutgoingRequest,
    RequestControl,
    RequestTransport,
    ResponseHeaders,
    ResponseReceiver,
} from "oleandergap-transport";
import { startInactivityTimeout, type InactivityLimits } from "oleandergap-utils";

export type { ResponseHeaders } from "oleandergap-transport";

export type HttpMethod = "GET" | "POST" | "PUT";

/** Request to the platform. */
export interface ExchangeRequest {
    readonly method: HttpMethod;
    /** Path and query. */
    readonly path: string;
    readonly body?: string | Uint8Array;
}

/** Result of an exchange, as far as this process can determine it. */
export type ExchangeResult =
    | {
        readonly kind: "Answered";
        readonly status: number;
        readonly headers: ResponseHeaders;
        readonly body: Buffer;
    }
    /** No byte of the request was sent or will be sent. */
    | { readonly kind: "NotSent"; readonly detail: string }
    /**
     * The request may have reached the platform. `hasTimedOut` is true when no data arrived within the time limit and
     * the connection reported no error.
     */
    | { readonly kind: "Lost"; readonly detail: string; readonly hasTimedOut: boolean };

/** Time and size limits of an exchange. */
export interface ExchangeLimits extends InactivityLimits {
    readonly maximumAnswerBytes: number;
}

const STATUS_OK = 200;

/**
 * Returns whether the headers declare where the response body ends. A body that ends only with the connection looks
 * complete even when it was truncated, so a truncated object could be mistaken for the real one. Such a response is
 * not accepted.
 */
const hasDelimitedBody = (headers: ResponseHeaders): boolean =>
    headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;

const toBody = (body: string | Uint8Array | undefined): OutgoingBody =>
    body === undefined ? { kind: "Empty" } : { kind: "Buffered", bytes: Buffer.from(body) };

const toOutgoingRequest = (
    { method, path, body }: ExchangeRequest,
    { longestMs }: ExchangeLimits,
): OutgoingRequest => ({
    method,
    path,
    headers: body === undefined ?
        [] :
        ["content-type", typeof body === "string" ? "application/json" : "application/octet-stream"],
    body: toBody(body),
    // The exchange has shorter timeouts of its own.
    bodySilenceMs: longestMs,
    bodyDeadline: Number.POSITIVE_INFINITY,
});

/** An exchange in progress. Only the first event that ends it counts. */
interface RunningExchange {
    /** Whether the request has been handed to a connection. */
    isSent: boolean;
    /** Defined once the request was passed to the transport. */
    control: RequestControl | undefined;
    isEnded: boolean;
    /** Records that a part of the response has arrived, which restarts the inactivity timeout. */
    readonly recordProgress: () => void;
    readonly end: (result: ExchangeResult) => void;
}

const abortExchange = (exchange: RunningExchange, detail: string, hasTimedOut = false): void => {
    exchange.end(exchange.isSent ? { kind: "Lost", detail, hasTimedOut } : { kind: "NotSent", detail });
    // This also closes the connection, so that a late response cannot be mistaken for that of a later request.
    exchange.control?.abort();
};

const describeError = (error: unknown): string => {
    if (!(error instanceof Error)) {
        return String(error);
    }
    return error.message === "" ? error.name : error.message;
};

/** Creates the receiver that collects the response. */
const createReceiver = (exchange: RunningExchange, maximumAnswerBytes: number): ResponseReceiver => {
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    let status = 0;
    let headers: ResponseHeaders = {};
    return {
        onSent: () => {
            exchange.isSent = true;
        },
        onHead: (statusCode, receivedHeaders) => {
            exchange.recordProgress();
            status = statusCode;
            headers = receivedHeaders;
            if (status === STATUS_OK && !hasDelimitedBody(receivedHeaders)) {
                abortExchange(exchange, "the answer does not say where it ends");
            }
        },
        onData: (chunk) => {
            exchange.recordProgress();
            receivedBytes += chunk.length;
            if (receivedBytes > maximumAnswerBytes) {
                abortExchange(exchange, `the answer is longer than ${maximumAnswerBytes} bytes`);
                return;
            }
            chunks.push(chunk);
        },
        onEnd: () => {
            exchange.end({ kind: "Answered", status, headers, body: Buffer.concat(chunks) });
        },
        onError: (error) => {
            abortExchange(exchange, describeError(error));
        },
    };
};

const startExchange = (
    limits: ExchangeLimits,
    signal: AbortSignal,
    resolve: (result: ExchangeResult) => void,
): RunningExchange => {
    const handleAbort = (): void => {
        abortExchange(exchange, "the call was cancelled");
    };
    const inactivityTimeout = startInactivityTimeout(limits, (exceededLimit) => {
        if (exceededLimit === "silence") {
            abortExchange(exchange, `no answer within ${limits.timeoutMs} ms`, true);
            return;
        }
        abortExchange(exchange, `the answer did not end within ${limits.longestMs} ms`);
    });
    const exchange: RunningExchange = {
        isSent: false,
        control: undefined,
        isEnded: false,
        recordProgress: inactivityTimeout.recordProgress,
        end: (result) => {
            exchange.isEnded = true;
            inactivityTimeout.cancel();
            signal.removeEventListener("abort", handleAbort);
            resolve(result);
        },
    };
    // Many calls share the abort signal of the process. Without this setting, the runtime reports a possible leak from
    // the eleventh listener on.
    setMaxListeners(0, signal);
    signal.addEventListener("abort", handleAbort, { once: true });
    return exchange;
};

/** Runs one exchange over `transport`. The promise never rejects. */
export const runExchange = (
    transport: RequestTransport,
    request: ExchangeRequest,
    limits: ExchangeLimits,
    signal: AbortSignal,
): Promise<ExchangeResult> =>
    new Promise((resolve) => {
        if (signal.aborted) {
            resolve({ kind: "NotSent", detail: "the call was cancelled" });
            return;
        }
        const exchange = startExchange(limits, signal, resolve);
        try {
            const receiver = createReceiver(exchange, limits.maximumAnswerBytes);
            exchange.control = transport.send(toOutgoingRequest(request, limits), receiver);
        }
        catch (error) {
            abortExchange(exchange, describeError(error));
        }
    });
