/**
 * An HTTP server with the limits that all of a node's servers share, and a stop that cuts nothing off.
 *
 * Parsing is Node's: its strict parser refuses a request with both a length and a transfer encoding, an over-long head
 * and malformed lines. Such a request never reaches the handler; it is answered here, and its connection is closed.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import * as either from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import { REASON_HEADER, VERDICT_HEADER, type Clock, type Milliseconds } from "oleandergap-types";
import type { TurnQueue } from "./turnQueue.js";

/** Longest head of a request, in bytes. */
const MAX_HEADER_BYTES = 16 * 1024;
/** Time in which the head of a request must arrive. */
const HEAD_TIMEOUT_MS = 10_000;
/** Distance of the checks for that time. */
const HEAD_CHECK_INTERVAL_MS = 5_000;
/** Idle connections are kept longer than any client of ours keeps them, so that a request never meets a close. */
const KEEP_ALIVE_MS = 65_000;
const TCP_KEEP_ALIVE_DELAY_MS = 15_000;
const HEADER_OVERFLOW_CODE = "HPE_HEADER_OVERFLOW";

/** How a request came to be handled. */
export interface RequestArrival {
    /** Monotonic time at which its head was read. */
    readonly receivedAt: Milliseconds;
    /** The first request of its connection. */
    readonly isFirst: boolean;
}

export type HandleRequest = (request: IncomingMessage, response: ServerResponse) => void;
/** Like `HandleRequest`, for who wants to know of the arrival as well. */
export type HandleArrival = (request: IncomingMessage, response: ServerResponse, arrival: RequestArrival) => void;

export interface ListenerOptions {
    /** Named in errors, for example `gateway`. */
    readonly name: string;
    readonly address: string;
    /** 0 lets the system choose. */
    readonly port: number;
    readonly maxConnections: number;
    readonly clock: Clock;
    readonly handle: HandleArrival;
    /** Decides when a request that was received is handled; at once without it. */
    readonly turns?: Pick<TurnQueue, "run" | "runFirst"> | undefined;
}

export interface ListenError {
    readonly kind: "ListenFailed";
    readonly name: string;
    readonly address: string;
    readonly port: number;
    readonly detail: string;
}

export interface Listener {
    readonly port: number;
    /** Requests that have been received and not yet answered whole. */
    readonly inFlight: () => number;
    /** Tells every caller from now on to close its connection after the answer. */
    readonly announceClose: () => void;
    /**
     * Tells every caller to close its connection after the answer, for `linger` goes on accepting, then closes idle
     * connections, and resolves when all requests are answered whole or `signal` aborts.
     */
    readonly drain: (linger: Milliseconds, signal: AbortSignal) => Promise<void>;
    /** Destroys what is left. */
    readonly destroy: () => void;
}

export const formatListenError = (error: ListenError): string =>
    `Cannot listen on ${error.address}:${error.port} (${error.name}): ${error.detail}`;

const refuseMalformed = (error: Error & { readonly code?: string }, socket: Socket): void => {
    if (!socket.writable) {
        socket.destroy();
        return;
    }
    const status = error.code === HEADER_OVERFLOW_CODE ?
        "431 Request Header Fields Too Large" :
        "400 Bad Request";
    const lines = [
        `HTTP/1.1 ${status}`,
        `${VERDICT_HEADER}: notRun`,
        `${REASON_HEADER}: BadRequest`,
        "content-length: 0",
        "connection: close",
    ];
    socket.end(`${lines.join("\r\n")}\r\n\r\n`);
};

const waitForListening = (server: Server, options: ListenerOptions): Promise<ListenError | undefined> =>
    new Promise((resolve) => {
        server.once("error", (error) => resolve({
            kind: "ListenFailed",
            name: options.name,
            address: options.address,
            port: options.port,
            detail: error.message,
        }));
        server.once("listening", () => resolve(undefined));
        server.listen(options.port, options.address);
    });

const readPort = (server: Server): number => {
    const address = server.address();
    return typeof address === "object" && address !== null ? address.port : 0;
};

const startAtOnce = (start: () => boolean): boolean => start();

/** Starts to listen. */
export const startListener = (options: ListenerOptions): TaskEither<ListenError, Listener> => async () => {
    const { turns = { run: startAtOnce, runFirst: startAtOnce } } = options;
    /** Connections that have brought a request before. */
    const knownSockets = new WeakSet<Socket>();
    let inFlight = 0;
    let draining = false;
    let onEmpty: (() => void) | undefined;

    const handle = (request: IncomingMessage, response: ServerResponse): void => {
        inFlight++;
        response.once("close", () => {
            inFlight--;
            if (inFlight === 0) {
                onEmpty?.();
            }
        });
        if (draining) {
            response.setHeader("connection", "close");
        }
        const arrival = { receivedAt: options.clock.monotonic(), isFirst: !knownSockets.has(request.socket) };
        const run = arrival.isFirst ? turns.runFirst : turns.run;
        knownSockets.add(request.socket);
        run(() => {
            // Handled all the same: it is counted and logged, and no answer of it can arrive.
            const hasCaller = !request.socket.readableEnded && !request.socket.destroyed;
            options.handle(request, response, arrival);
            return hasCaller;
        });
    };

    const server = createServer({
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: HEAD_TIMEOUT_MS,
        connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS,
        // Uploads take as long as their deadline allows; the handlers watch it.
        requestTimeout: 0,
        keepAliveTimeout: KEEP_ALIVE_MS,
        keepAlive: true,
        keepAliveInitialDelay: TCP_KEEP_ALIVE_DELAY_MS,
        noDelay: true,
        insecureHTTPParser: false,
    }, handle);
    server.maxConnections = options.maxConnections;
    server.on("clientError", refuseMalformed);

    const error = await waitForListening(server, options);
    if (error !== undefined) {
        return either.left(error);
    }
    server.on("error", () => undefined);

    const waitUntilEmpty = (signal: AbortSignal): Promise<void> =>
        new Promise((resolve) => {
            if (inFlight === 0 || signal.aborted) {
                resolve();
                return;
            }
            onEmpty = resolve;
            signal.addEventListener("abort", () => resolve(), { once: true });
        });

    /**
     * Closing a kept connection at once would cut off a request that its caller has just written: the caller sees a
     * reset and cannot tell whether it ran. While the server lingers, such requests are answered and told to close.
     *
     * The server's own `close` also closes connections that it takes for idle, and it does so as soon as their answers
     * were ended: one that still waits for its reader, as behind a full link, would break off. Only the socket that
     * accepts is closed therefore, and idle connections once every answer has been taken.
     */
    const drain = async (linger: Milliseconds, signal: AbortSignal): Promise<void> => {
        draining = true;
        await options.clock.sleep(linger, signal);
        NetServer.prototype.close.call(server);
        await waitUntilEmpty(signal);
        server.closeIdleConnections();
    };

    return either.right({
        port: readPort(server),
        inFlight: () => inFlight,
        announceClose: () => {
            draining = true;
        },
        drain,
        destroy: () => {
            server.close();
            server.closeAllConnections();
        },
    });
};
