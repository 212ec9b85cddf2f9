/**
 * Runs one HTTP exchange with the platform under a time limit and a size limit. The result states whether any byte of
 * the request may have reached the platform; `classifyExchange` decides what that means for the caller.
 */
import { setMaxListeners } from "node:events";
import { startInactivityTimeout, type InactivityLimits } from "oleandergap-utils";
import type { Dispatcher } from "undici";

export type HttpMethod = "GET" | "POST" | "PUT";

/** Request to the platform. */
export interface ExchangeRequest {
    readonly method: HttpMethod;
    /** Path and query. */
    readonly path: string;
    readonly body?: string | Uint8Array;
}

/** Response headers by lower-case name. A header that was sent more than once has several values. */
export type ResponseHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

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

type UndiciHeaders = Parameters<NonNullable<Dispatcher.DispatchHandler["onResponseStart"]>>[2];

const STATUS_OK = 200;

/**
 * Returns whether the headers declare where the response body ends. A body that ends only with the connection looks
 * complete even when it was truncated, so a truncated object could be mistaken for the real one. Such a response is
 * not accepted.
 */
const hasDelimitedBody = (headers: UndiciHeaders): boolean =>
    headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;

const toDispatchOptions = ({ method, path, body }: ExchangeRequest): Dispatcher.DispatchOptions => ({
    method,
    path,
    body: body ?? null,
    headers: body === undefined ?
        {} :
        { "content-type": typeof body === "string" ? "application/json" : "application/octet-stream" },
});

/** An exchange in progress. Only the first event that ends it counts. */
interface RunningExchange {
    /** Defined once the request is being written to a connection. */
    controller: Dispatcher.DispatchController | undefined;
    isEnded: boolean;
    /** Records that a part of the response has arrived, which restarts the inactivity timeout. */
    readonly recordProgress: () => void;
    readonly end: (result: ExchangeResult) => void;
}

const abortExchange = (exchange: RunningExchange, detail: string, hasTimedOut = false): void => {
    const { controller } = exchange;
    exchange.end(controller === undefined ? { kind: "NotSent", detail } : { kind: "Lost", detail, hasTimedOut });
    // This also closes the connection, so that a late response cannot be mistaken for that of a later request.
    controller?.abort(new Error(detail));
};

const describeError = (error: unknown): string => {
    if (!(error instanceof Error)) {
        return String(error);
    }
    return error.message === "" ? error.name : error.message;
};

/** Creates the handler that collects the response. */
const createResponseHandler = (exchange: RunningExchange, maximumAnswerBytes: number): Dispatcher.DispatchHandler => {
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    let status = 0;
    let headers: ResponseHeaders = {};
    return {
        onRequestStart: (controller) => {
            if (exchange.isEnded) {
                controller.abort(new Error("the call was given up before it was sent"));
                return;
            }
            exchange.controller = controller;
        },
        onResponseStart: (_controller, statusCode, receivedHeaders) => {
            exchange.recordProgress();
            status = statusCode;
            headers = receivedHeaders;
            if (status === STATUS_OK && !hasDelimitedBody(receivedHeaders)) {
                abortExchange(exchange, "the answer does not say where it ends");
            }
        },
        onResponseData: (_controller, chunk) => {
            exchange.recordProgress();
            receivedBytes += chunk.length;
            if (receivedBytes > maximumAnswerBytes) {
                abortExchange(exchange, `the answer is longer than ${maximumAnswerBytes} bytes`);
                return;
            }
            chunks.push(chunk);
        },
        onResponseEnd: () => {
            exchange.end({ kind: "Answered", status, headers, body: Buffer.concat(chunks) });
        },
        onResponseError: (_controller, error) => {
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
        controller: undefined,
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

/** Runs one exchange on `dispatcher`. The promise never rejects. */
export const runExchange = (
    dispatcher: Dispatcher,
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
            dispatcher.dispatch(toDispatchOptions(request), createResponseHandler(exchange, limits.maximumAnswerBytes));
        }
        catch (error) {
            abortExchange(exchange, describeError(error));
        }
    });
