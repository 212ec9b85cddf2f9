/**
 * HTTP transport of the peer client, based on Node's HTTP client. The global `fetch` would add about 150 bytes of
 * browser headers to every request and limits neither the time nor the size of a response.
 */
import { request as startRequest, type Agent, type ClientRequest, type IncomingMessage } from "node:http";
import { pipeline, Transform } from "node:stream";
import { createGunzip } from "node:zlib";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds } from "oleandergap-types";
import { linkSignal, startInactivityTimeout, type ExceededLimit } from "oleandergap-utils";
import type { PeerError } from "./peerError.js";
import type { ProgressListener } from "./ports.js";

/** One request to a peer, and the limits of its response. */
export interface PeerExchange {
    readonly address: string;
    readonly port: number;
    readonly path: string;
    /** Authorization header, which proves that this node belongs to the fleet; undefined if no key is set. */
    readonly authorization: string | undefined;
    /** JSON body, or undefined for a request without input. */
    readonly body: string | undefined;
    /** Maximum size of the response, in bytes after decompression. */
    readonly answerBytes: number;
    /** Maximum wait for the start of the response and between two parts of it. */
    readonly timeoutMs: Milliseconds;
    /** Maximum total time. */
    readonly longestMs: Milliseconds;
    /** Cancels the exchange when aborted. */
    readonly signal: AbortSignal;
    readonly onProgress?: ProgressListener | undefined;
}

/** A complete, decompressed response. The HTTP status may be an error status. */
export interface ExchangeResponse {
    readonly status: number;
    readonly text: string;
}

/** The response, or the reason why there is none. */
export type ExchangeResult = Either<PeerError, ExchangeResponse>;

/** Bytes transferred over connections to peers, including HTTP headers but without TCP and IP headers. */
export interface ExchangeBytes {
    readonly sent: number;
    readonly received: number;
}

/** Dependencies of an exchange. */
export interface ExchangeDependencies {
    readonly agent: Agent;
    readonly clock: Clock;
    /** Called once per started exchange with its bytes. */
    readonly countBytes: (bytes: ExchangeBytes) => void;
}

const describeError = (error: Error): string => {
    const code: unknown = Reflect.get(error, "code");
    return typeof code === "string" ? `${code} ${error.message}` : error.message;
};

/** Creates a stream that passes data through and reports the share of the response that has arrived with each part. */
const createProgressReporter = (totalBytes: number, noteProgress: ProgressListener): Transform => {
    let arrivedBytes = 0;
    return new Transform({
        transform: (part: Buffer, _encoding, pass) => {
            arrivedBytes += part.length;
            noteProgress(totalBytes > 0 ? arrivedBytes / totalBytes : undefined);
            pass(undefined, part);
        },
    });
};

/**
 * Decompresses the body if necessary. If the connection breaks off, reading the returned stream fails; without this,
 * the exchange would hang.
 */
const decodeBody = (response: IncomingMessage, noteProgress: ProgressListener): NodeJS.ReadableStream => {
    const totalBytes = Number(response.headers["content-length"] ?? 0);
    const progressReporter = createProgressReporter(totalBytes, noteProgress);
    const ignore = (): void => undefined;
    return response.headers["content-encoding"] === "gzip" ?
        pipeline(response, progressReporter, createGunzip(), ignore) :
        pipeline(response, progressReporter, ignore);
};

const readResponse = async (
    response: IncomingMessage,
    limitBytes: number,
    noteProgress: ProgressListener,
): Promise<ExchangeResult> => {
    noteProgress();
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of decodeBody(response, noteProgress) as AsyncIterable<Buffer>) {
        size += chunk.length;
        if (size > limitBytes) {
            response.destroy();
            return either.left({ kind: "TooLarge", limitBytes });
        }
        chunks.push(chunk);
    }
    return either.right({ status: response.statusCode ?? 0, text: Buffer.concat(chunks).toString("utf8") });
};

const createHeaders = (
    { body, authorization }: Pick<PeerExchange, "body" | "authorization">,
): Record<string, string | number> => ({
    "accept-encoding": "gzip",
    ...(authorization === undefined ? {} : { authorization }),
    ...(body === undefined ? {} : { "content-type": "application/json" }),
    "content-length": body === undefined ? 0 : Buffer.byteLength(body),
});

const sendRequest = (
    exchange: PeerExchange,
    agent: Agent,
    signal: AbortSignal,
    noteProgress: ProgressListener,
): { readonly request: ClientRequest; readonly result: Promise<ExchangeResult> } => {
    const { address, port, path, body, answerBytes } = exchange;
    const headers = createHeaders(exchange);
    const request = startRequest({ host: address, port, path, method: "POST", agent, signal, headers });
    const result = new Promise<ExchangeResult>((resolve) => {
        const fail = (error: Error): void => {
            resolve(either.left({ kind: "Unreachable", detail: describeError(error) }));
        };
        request.once("error", fail);
        request.once("response", (response) => {
            readResponse(response, answerBytes, noteProgress).then(resolve, fail);
        });
    });
    request.end(body);
    return { request, result };
};

const measureBytes = (request: ClientRequest, before: ExchangeBytes): ExchangeBytes => ({
    sent: (request.socket?.bytesWritten ?? 0) - before.sent,
    received: (request.socket?.bytesRead ?? 0) - before.received,
});

/** Watches the request for its connection. Returns a getter of the bytes that the connection had carried before. */
const watchInitialBytes = (request: ClientRequest): () => ExchangeBytes => {
    let before: ExchangeBytes = { sent: 0, received: 0 };
    request.once("socket", (socket) => {
        before = { sent: socket.bytesWritten, received: socket.bytesRead };
    });
    return () => before;
};

const formatExceededLimit = (exceededLimit: ExceededLimit, { timeoutMs, longestMs }: PeerExchange): string =>
    exceededLimit === "silence" ? `no data for ${timeoutMs} ms` : `no complete response within ${longestMs} ms`;

/**
 * Sends one request and reads the complete response. A connection that stops delivering data is closed at the timeout,
 * so that the next exchange with that peer opens a new connection.
 */
export const exchangeWithPeer = async (
    exchange: PeerExchange,
    { agent, clock, countBytes }: ExchangeDependencies,
): Promise<ExchangeResult> => {
    if (exchange.signal.aborted) {
        return either.left({ kind: "Cancelled" });
    }
    const { timeoutMs, longestMs } = exchange;
    const link = linkSignal(exchange.signal);
    let exceededLimit: ExceededLimit | undefined;
    const watch = startInactivityTimeout({ clock, timeoutMs, longestMs }, (which) => {
        exceededLimit = which;
        link.abort();
    });
    const noteProgress: ProgressListener = (arrivedShare) => {
        watch.recordProgress();
        exchange.onProgress?.(arrivedShare);
    };
    const { request, result } = sendRequest(exchange, agent, link.signal, noteProgress);
    const getInitialBytes = watchInitialBytes(request);
    const outcome = await result;
    watch.cancel();
    link.release();
    countBytes(measureBytes(request, getInitialBytes()));
    if (either.isLeft(outcome) && exchange.signal.aborted) {
        return either.left({ kind: "Cancelled" });
    }
    if (either.isLeft(outcome) && exceededLimit !== undefined) {
        return either.left({ kind: "Unreachable", detail: formatExceededLimit(exceededLimit, exchange) });
    }
    return outcome;
};
