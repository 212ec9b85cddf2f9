/**
 * An HTTP server with the limits that all servers of a node share and with a graceful shutdown.
 *
 * Node.js parses the requests. Its strict parser rejects malformed lines, heads that are too long, and requests with
 * both a content length and a transfer encoding. Such a request never reaches the handler; the listener responds to it
 * and closes its connection.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import * as either from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import type { Clock, Milliseconds } from "oleandergap-types";
import type { ArrivalTally } from "./arrivalTally.js";
import { createConnectionReserve } from "./connectionReserve.js";
import { answerMalformedRequest, refuseMalformedRequest, type ClientError } from "./malformedRequests.js";
import { createPipelinedRequests } from "./pipelinedRequests.js";
import { createPollBatch } from "./pollBatch.js";
import type { TurnTask } from "./taskList.js";
import type { TurnLane } from "./turnQueue.js";

/** Maximum size of a request head, in bytes. */
const MAX_HEADER_BYTES = 16 * 1024;
/** Maximum time until the head of a request has arrived, in milliseconds. */
const HEAD_TIMEOUT_MS = 10_000;
/** Interval between the checks of the head timeout, in milliseconds. */
const HEAD_CHECK_INTERVAL_MS = 5_000;
/**
 * Keep-alive time of idle connections, in milliseconds. It is longer than the keep-alive time of every client in this
 * system, so that no client sends a request on a connection that the server is closing.
 */
const KEEP_ALIVE_MS = 65_000;
const TCP_KEEP_ALIVE_DELAY_MS = 15_000;
/** Number of iterations of the event loop after which it has certainly polled for input. */
const POLL_TURNS = 2;
const HEAD_TIMEOUT_CODE = "ERR_HTTP_REQUEST_TIMEOUT";

/** Describes the arrival of a request. */
export interface RequestArrival {
    /** Monotonic time at which the request head was read. */
    readonly receivedAt: Milliseconds;
    /** Whether this is the first request on its connection. */
    readonly isFirst: boolean;
    /** Whether the request waited for too long to be started. It should be refused with little work. */
    readonly isOverdue: boolean;
}

/** What is known of a request when its head is read. */
type ReadArrival = Omit<RequestArrival, "isOverdue">;

export type HandleRequest = (request: IncomingMessage, response: ServerResponse) => void;
/** Like `HandleRequest`, for handlers that also need the arrival of the request. */
export type HandleArrival = (request: IncomingMessage, response: ServerResponse, arrival: RequestArrival) => void;

export interface ListenerOptions {
    /** Name used in errors, for example `gateway`. */
    readonly name: string;
    readonly address: string;
    /** Port to listen on; 0 lets the operating system choose one. */
    readonly port: number;
    readonly maxConnections: number;
    /** Maximum number of connections that wait to be accepted; by default, the runtime's. */
    readonly acceptQueueLength?: number | undefined;
    readonly clock: Clock;
    readonly handle: HandleArrival;
    /** Schedules when a received request is handled. Without it, requests are handled immediately. */
    readonly turns?: TurnLane | undefined;
    /** Returns the priority of a request among those that wait to be handled; by default, all have the same. */
    readonly readPriority?: ((request: IncomingMessage) => number) | undefined;
    /** Counts connections and requests. */
    readonly tally?: ArrivalTally | undefined;
    /** Called when a connection is refused because `maxConnections` are open. */
    readonly onRefusedConnection?: () => void;
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
    /** Returns the number of requests that were received and whose response is not complete yet. */
    readonly inFlight: () => number;
    /** Sets `connection: close` on all responses from now on. */
    readonly announceClose: () => void;
    /**
     * Shuts down gracefully. Sets `connection: close` on all responses, keeps accepting connections for `lingerMs`,
     * then stops accepting. Idle connections are closed, and the promise resolves, once all responses are complete or
     * `signal` aborts.
     */
    readonly drain: (lingerMs: Milliseconds, signal: AbortSignal) => Promise<void>;
    /** Stops listening and destroys all remaining connections. */
    readonly destroy: () => void;
}

export const formatListenError = (error: ListenError): string =>
    `Cannot listen on ${error.address}:${error.port} (${error.name}): ${error.detail}`;

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
        server.listen({ port: options.port, host: options.address, backlog: options.acceptQueueLength });
    });

const readPort = (server: Server): number => {
    const address = server.address();
    return typeof address === "object" && address !== null ? address.port : 0;
};

/**
 * Resolves when the input that has arrived is read, or immediately if `signal` has aborted. Timers run before
 * connections that have been opened are accepted and requests that have arrived are read. Closing a socket at that
 * moment would reset them without a response. Each iteration of the event loop accepts one connection, so that it takes
 * as many iterations as there are connections; `countAccepted` returns how many were accepted so far.
 */
const readPendingInput = async (countAccepted: () => number, signal: AbortSignal): Promise<void> => {
    let accepted = countAccepted();
    let turnsLeft = POLL_TURNS;
    while (turnsLeft > 0 && !signal.aborted) {
        await new Promise((resolve) => setImmediate(resolve));
        turnsLeft = countAccepted() > accepted ? POLL_TURNS : turnsLeft - 1;
        accepted = countAccepted();
    }
};

const startImmediately = (start: TurnTask): boolean => start(false);

const IMMEDIATE_TURNS: TurnLane = {
    run: startImmediately,
    runFirst: startImmediately,
    recordConnection: () => undefined,
};

/** Starts a server that listens on the address and port of `options`. */
export const startListener = (options: ListenerOptions): TaskEither<ListenError, Listener> => async () => {
    const { turns = IMMEDIATE_TURNS, tally } = options;
    /** Connections on which a request has been received before. */
    const usedSockets = new WeakSet<Socket>();
    /** Connections of which a request has been handled. */
    const startedSockets = new WeakSet<Socket>();
    let activeRequests = 0;
    let acceptedConnections = 0;
    let isDraining = false;
    let onIdle: (() => void) | undefined;

    const addToPollBatch = createPollBatch();
    /**
     * Runs a task once the end of its connection is known, if it arrived together with the request: the end is read in
     * the iteration after the request.
     */
    const runAfterPoll: TurnLane["run"] = (task, priority) => addToPollBatch(() => turns.run(task, priority));
    const runLater = options.turns === undefined ? turns.run : runAfterPoll;

    const pipelinedRequests = createPipelinedRequests(() => isDraining);
    const connectionReserve = createConnectionReserve(options.maxConnections);

    const handleInTurn = (request: IncomingMessage, response: ServerResponse, arrival: ReadArrival): void => {
        activeRequests++;
        response.once("close", () => {
            activeRequests--;
            if (!pipelinedRequests.hasOpenRequests(request.socket)) {
                connectionReserve.recordIdle(request.socket);
            }
            if (activeRequests === 0) {
                onIdle?.();
            }
        });
        tally?.recordRead();
        // Those read together with the first request of a connection wait as long as it does.
        const run = startedSockets.has(request.socket) ? runLater : turns.runFirst;
        run((isOverdue) => {
            startedSockets.add(request.socket);
            // A request without a caller is handled as well, so that it is counted and logged, although its response
            // cannot be delivered.
            const hasCaller = !request.socket.readableEnded && !request.socket.destroyed;
            const waitMs = options.clock.monotonic() - arrival.receivedAt;
            tally?.recordStart({ waitMs, isOverdue, hasSender: hasCaller });
            options.handle(request, response, { ...arrival, isOverdue });
            return hasCaller;
        }, options.readPriority?.(request));
    };

    const handle = (request: IncomingMessage, response: ServerResponse): void => {
        const arrival = { receivedAt: options.clock.monotonic(), isFirst: !usedSockets.has(request.socket) };
        usedSockets.add(request.socket);
        connectionReserve.recordBusy(request.socket);
        pipelinedRequests.add({ request, response, handle: () => handleInTurn(request, response, arrival) });
    };

    const server = createServer({
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: HEAD_TIMEOUT_MS,
        connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS,
        // Uploads may take until their deadlines, which the handlers enforce.
        requestTimeout: 0,
        keepAliveTimeout: KEEP_ALIVE_MS,
        keepAlive: true,
        keepAliveInitialDelay: TCP_KEEP_ALIVE_DELAY_MS,
        noDelay: true,
        insecureHTTPParser: false,
    }, handle);
    server.maxConnections = options.maxConnections;
    server.on("clientError", (error: ClientError, socket: Socket) => {
        // The rest of a head may be unread because requests before it are held; its caller is not slow.
        if (error.code === HEAD_TIMEOUT_CODE && pipelinedRequests.hasOpenRequests(socket)) {
            return;
        }
        pipelinedRequests.addMalformed(socket, {
            refuse: () => refuseMalformedRequest(error, socket),
            answer: (response) => answerMalformedRequest(error, response),
        });
    });
    server.on("connection", (socket: Socket) => {
        acceptedConnections++;
        connectionReserve.recordOpen(socket);
        tally?.recordConnection();
        turns.recordConnection();
    });
    server.on("drop", () => options.onRefusedConnection?.());

    const error = await waitForListening(server, options);
    if (error !== undefined) {
        return either.left(error);
    }
    server.on("error", () => undefined);

    const waitUntilIdle = (signal: AbortSignal): Promise<void> =>
        new Promise((resolve) => {
            if (activeRequests === 0 || signal.aborted) {
                resolve();
                return;
            }
            onIdle = resolve;
            signal.addEventListener("abort", () => resolve(), { once: true });
        });

    /**
     * Closing a keep-alive connection immediately would cut off a request that its caller has just written: the caller
     * would see a reset and could not determine whether the request ran. During the linger time, such requests get a
     * response with `connection: close`.
     *
     * The server's own `close` also closes connections that it considers idle, as soon as their responses were ended. A
     * response that the client has not read yet, for example because of a congested link, would be cut off. Therefore
     * only the listening socket is closed first, and idle connections are closed once every response has been read.
     */
    const drain = async (lingerMs: Milliseconds, signal: AbortSignal): Promise<void> => {
        isDraining = true;
        await options.clock.sleep(lingerMs, signal);
        await readPendingInput(() => acceptedConnections, signal);
        NetServer.prototype.close.call(server);
        do {
            await waitUntilIdle(signal);
            await readPendingInput(() => acceptedConnections, signal);
        } while (activeRequests > 0 && !signal.aborted);
        server.closeIdleConnections();
    };

    return either.right({
        port: readPort(server),
        inFlight: () => activeRequests,
        announceClose: () => {
            isDraining = true;
        },
        drain,
        destroy: () => {
            server.close();
            server.closeAllConnections();
        },
    });
};
