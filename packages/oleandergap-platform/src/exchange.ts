/**
 * One HTTP exchange with the platform: a request, a time limit, a size limit, and what is known when it ends. The
 * result says whether any byte may have reached the platform; what that means for the caller is decided elsewhere.
 */
import { setMaxListeners } from "node:events";
import { watchSilence, type SilenceLimits } from "oleandergap-utils";
import type { Dispatcher } from "undici";

export type HttpMethod = "GET" | "POST" | "PUT";

/** What is sent to the platform. */
export interface ExchangeRequest {
    readonly method: HttpMethod;
    /** Path and query. */
    readonly path: string;
    readonly body?: string | Uint8Array;
}

/** By lower-case name; a header that is sent more than once has several texts. */
export type AnswerHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

/** How an exchange ended, as far as this process can tell. */
export type ExchangeResult =
    | {
        readonly kind: "Answered";
        readonly status: number;
        readonly headers: AnswerHeaders;
        readonly body: Buffer;
    }
    /** No byte of the request has left, and none will. */
    | { readonly kind: "NotSent"; readonly detail: string }
    /** The request may have arrived. `isSilent` when time ran out while the connection gave no error. */
    | { readonly kind: "Lost"; readonly detail: string; readonly isSilent: boolean };

/** Bounds in time and size. */
export interface ExchangeLimits extends SilenceLimits {
    readonly maximumAnswerBytes: number;
}

type ResponseHeaders = Parameters<NonNullable<Dispatcher.DispatchHandler["onResponseStart"]>>[2];

const STATUS_OK = 200;

/**
 * An answer that ends only by the connection's end looks whole when it was cut short; one would see a truncated object
 * taken for the real one. Such an answer is not accepted.
 */
const hasKnownEnd = (headers: ResponseHeaders): boolean =>
    headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;

const toDispatchOptions = ({ method, path, body }: ExchangeRequest): Dispatcher.DispatchOptions => ({
    method,
    path,
    body: body ?? null,
    headers: body === undefined ?
        {} :
        { "content-type": typeof body === "string" ? "application/json" : "application/octet-stream" },
});

/** One exchange under way; it ends once, by whatever comes first. */
interface RunningExchange {
    /** Known once the request is written to a connection. */
    controller: Dispatcher.DispatchController | undefined;
    isEnded: boolean;
    /** Notes that some of the answer has come. */
    readonly noteProgress: () => void;
    readonly end: (result: ExchangeResult) => void;
}

const giveUp = (exchange: RunningExchange, detail: string, isSilent = false): void => {
    const { controller } = exchange;
    exchange.end(controller === undefined ? { kind: "NotSent", detail } : { kind: "Lost", detail, isSilent });
    // Ends the connection as well, so that a late answer cannot be taken for that of a later request.
    controller?.abort(new Error(detail));
};

const describeError = (error: unknown): string => {
    if (!(error instanceof Error)) {
        return String(error);
    }
    return error.message === "" ? error.name : error.message;
};

/** Collects the answer. */
const createHandler = (exchange: RunningExchange, maximumAnswerBytes: number): Dispatcher.DispatchHandler => {
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    let status = 0;
    let headers: AnswerHeaders = {};
    return {
        onRequestStart: (controller) => {
            if (exchange.isEnded) {
                controller.abort(new Error("the call was given up before it was sent"));
                return;
            }
            exchange.controller = controller;
        },
        onResponseStart: (_controller, statusCode, received) => {
            exchange.noteProgress();
            status = statusCode;
            headers = received;
            if (status === STATUS_OK && !hasKnownEnd(received)) {
                giveUp(exchange, "the answer does not say where it ends");
            }
        },
        onResponseData: (_controller, chunk) => {
            exchange.noteProgress();
            receivedBytes += chunk.length;
            if (receivedBytes > maximumAnswerBytes) {
                giveUp(exchange, `the answer is longer than ${maximumAnswerBytes} bytes`);
                return;
            }
            chunks.push(chunk);
        },
        onResponseEnd: () => {
            exchange.end({ kind: "Answered", status, headers, body: Buffer.concat(chunks) });
        },
        onResponseError: (_controller, error) => {
            giveUp(exchange, describeError(error));
        },
    };
};

const startExchange = (
    limits: ExchangeLimits,
    signal: AbortSignal,
    resolve: (result: ExchangeResult) => void,
): RunningExchange => {
    const giveUpOnAbort = (): void => {
        giveUp(exchange, "the call was cancelled");
    };
    const watch = watchSilence(limits, (passed) => {
        if (passed === "silence") {
            giveUp(exchange, `no answer within ${limits.timeoutMs} ms`, true);
            return;
        }
        giveUp(exchange, `the answer did not end within ${limits.longestMs} ms`);
    });
    const exchange: RunningExchange = {
        controller: undefined,
        isEnded: false,
        noteProgress: watch.noteProgress,
        end: (result) => {
            exchange.isEnded = true;
            watch.cancel();
            signal.removeEventListener("abort", giveUpOnAbort);
            resolve(result);
        },
    };
    // Many calls share the signal of their process; without this, the runtime warns of a leak from the eleventh on.
    setMaxListeners(0, signal);
    signal.addEventListener("abort", giveUpOnAbort, { once: true });
    return exchange;
};

/** Runs one exchange on `dispatcher`. Never rejects. */
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
            dispatcher.dispatch(toDispatchOptions(request), createHandler(exchange, limits.maximumAnswerBytes));
        }
        catch (error) {
            giveUp(exchange, describeError(error));
        }
    });
