/** Simulates a node that is behind: real sockets of callers on simulated time, which passes as the process works. */
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { IncomingMessage } from "node:http";
import net from "node:net";
import * as either from "fp-ts/lib/Either.js";
import type { Milliseconds } from "oleandergap-types";
import { createManualClock } from "oleandergap-utils";
import { startListener } from "../http/listener.js";
import { ACCEPT_QUEUE_LENGTH } from "../listeners.js";
import { createTurnQueue, type TurnLane } from "../http/turnQueue.js";
import { LOOPBACK, type Cleanup } from "./support.js";

/** Time of the processor for a request that is served. */
export const SERVE_MS: Milliseconds = 4;
/** Time of the processor for a request that is refused because too little of its time is left. */
const REFUSE_MS: Milliseconds = 1.2;
/** Time of the processor for a request whose caller has disconnected. */
export const CANCEL_MS: Milliseconds = 0.8;
/** Time of the processor to accept a connection. */
export const ACCEPT_MS: Milliseconds = 0.8;
/** Time of the processor for an iteration of the event loop. */
const TURN_MS: Milliseconds = 0.1;
/** Time that a run takes at the target. */
const RUN_MS: Milliseconds = 60;
/** Time after which a caller disconnects. */
export const CALLER_TIMEOUT_MS: Milliseconds = 400;
/** Usual time between two calls. To serve all of them takes 0.7 of the processor's time. */
export const CALL_INTERVAL_MS: Milliseconds = SERVE_MS / 0.7;
const PAUSE_STEP_MS: Milliseconds = 50;
/** Time between two connections of a flood that takes 0.8 of the processor's time. */
const FLOOD_INTERVAL_MS: Milliseconds = (ACCEPT_MS + CANCEL_MS) / 0.8;
const FLOOD_TIMEOUT_MS: Milliseconds = 50;
const REQUEST_HEAD = "GET / HTTP/1.1\r\nhost: a.example\r\n\r\n";
const REFUSAL = "refusal";

/** How a call ended so far. */
export type CallResult = "Waiting" | "Answered" | "Refused" | "GivenUp";

interface Call {
    readonly startedAt: Milliseconds;
    /** Time after which the caller disconnects, on its clock. */
    readonly endsAt: Milliseconds;
    /** How often the caller still comes again if the call fails. */
    readonly repeatsLeft: number;
    readonly socket: net.Socket;
    result: CallResult;
}

/** How callers behave. */
export interface BacklogOptions {
    /** Time between two calls of callers. */
    readonly callIntervalMs?: Milliseconds;
    /** How often a caller comes again after a call that failed. */
    readonly repeats?: number;
    /** Whether callers come again on new connections rather than on those that they kept. */
    readonly repeatsOnNewConnections?: boolean;
    /** Time between two requests of other nodes; by default, there are none. */
    readonly nodeCallIntervalMs?: Milliseconds;
    /** Whether other nodes keep their connections. They lose those of requests that they give up in any case. */
    readonly nodesKeepConnections?: boolean;
    /** Time after which other nodes give a request up. It is shorter than that of callers if they sent it late. */
    readonly nodeTimeoutMs?: Milliseconds;
}

/** The simulated node with its callers. */
export interface BacklogSimulation {
    /** Starts the calls. Callers keep their connections while they are answered. */
    readonly startCalls: () => void;
    /** Opens connections that callers keep. */
    readonly openConnections: (count: number) => void;
    /** Callers that open a connection each and disconnect soon. */
    readonly startFlood: (durationMs: Milliseconds) => void;
    /** Lets time pass without processor time for the node. */
    readonly pause: (durationMs: Milliseconds) => Promise<void>;
    readonly run: (durationMs: Milliseconds) => Promise<void>;
    /** Returns the results of the calls that started within `durationMs` from `from`, without those of a flood. */
    readonly resultsSince: (from: Milliseconds, durationMs: Milliseconds) => readonly CallResult[];
    /** Returns the same of the requests of other nodes. */
    readonly nodeResultsSince: (from: Milliseconds, durationMs: Milliseconds) => readonly CallResult[];
    readonly now: () => Milliseconds;
}

const DEFAULT_OPTIONS: Required<BacklogOptions> = {
    callIntervalMs: CALL_INTERVAL_MS,
    repeats: 1,
    repeatsOnNewConnections: false,
    nodeCallIntervalMs: Number.POSITIVE_INFINITY,
    nodesKeepConnections: true,
    nodeTimeoutMs: CALLER_TIMEOUT_MS,
};

/** Starts the listeners of a node. */
export const createBacklogSimulation = async (
    cleanup: Cleanup,
    options: BacklogOptions = {},
): Promise<BacklogSimulation> => {
    const {
        callIntervalMs, repeats, repeatsOnNewConnections, nodeCallIntervalMs, nodesKeepConnections, nodeTimeoutMs,
    } = { ...DEFAULT_OPTIONS, ...options };
    const clock = createManualClock();
    let now = clock.monotonic();
    let isPaused = false;
    const heldTurns: (() => void)[] = [];
    const idleSockets: net.Socket[] = [];
    const idleNodeSockets: net.Socket[] = [];
    const calls: Call[] = [];
    const floodCalls: Call[] = [];
    const nodeCalls: Call[] = [];
    let nextCallAt = Number.POSITIVE_INFINITY;
    let nextFloodCallAt = Number.POSITIVE_INFINITY;
    let floodEndsAt = Number.NEGATIVE_INFINITY;
    let nextNodeCallAt = Number.POSITIVE_INFINITY;
    /** One entry for each failed call of a caller that comes again: how often it may still do so. */
    let pendingRepeats: number[] = [];

    const isTooLate = (receivedAt: Milliseconds): boolean => receivedAt + CALLER_TIMEOUT_MS - now < RUN_MS;

    const costOf = ({ socket }: IncomingMessage, isRefused: boolean): Milliseconds => {
        if (socket.readableEnded || socket.destroyed) {
            return CANCEL_MS;
        }
        return isRefused ? REFUSE_MS : SERVE_MS;
    };

    const turnQueue = createTurnQueue({
        clock: { monotonic: () => now },
        runNextTurn: (task) => isPaused ? heldTurns.push(task) : setImmediate(task),
    });
    /** Starts a listener and returns its port. */
    const listen = async (turns: TurnLane): Promise<number> => {
        const listener = await startListener({
            name: "test",
            address: LOOPBACK,
            port: 0,
            maxConnections: 10_000,
            acceptQueueLength: ACCEPT_QUEUE_LENGTH,
            clock: { ...clock, monotonic: () => now },
            turns,
            handle: (request, response, { receivedAt, isOverdue }) => {
                const isRefused = isOverdue || isTooLate(receivedAt);
                now += costOf(request, isRefused);
                response.end(isRefused ? REFUSAL : "answer");
            },
        })();
        if (either.isLeft(listener)) {
            throw new Error(listener.left.detail);
        }
        cleanup(listener.right.destroy);
        return listener.right.port;
    };
    const callerPort = await listen(turnQueue.callers);
    const nodePort = await listen(turnQueue.nodes);

    const chargeAccept = (message: unknown): void => {
        const { localPort } = (message as { readonly socket: net.Socket }).socket;
        if ((localPort === callerPort || localPort === nodePort) && !isPaused) {
            now += ACCEPT_MS;
        }
    };
    subscribe("net.server.socket", chargeAccept);
    cleanup(() => unsubscribe("net.server.socket", chargeAccept));

    const connect = (port = callerPort): net.Socket => {
        const socket = net.connect(port, LOOPBACK);
        socket.on("error", () => undefined);
        cleanup(() => socket.destroy());
        return socket;
    };

    const startCall = (timeoutMs: Milliseconds, repeatsLeft: number, socket: net.Socket): Call => {
        const call: Call = { startedAt: now, endsAt: now + timeoutMs, repeatsLeft, socket, result: "Waiting" };
        socket.once("data", (bytes: Buffer) => {
            call.result = bytes.toString("latin1").endsWith(REFUSAL) ? "Refused" : "Answered";
            if (call.result === "Refused") {
                recordFailure(call);
            }
            (socket.remotePort === callerPort ? idleSockets : idleNodeSockets).push(socket);
        });
        if (socket.connecting) {
            socket.once("connect", () => socket.write(REQUEST_HEAD));
        }
        else {
            socket.write(REQUEST_HEAD);
        }
        return call;
    };

    const recordFailure = ({ repeatsLeft }: Call): void => {
        if (repeatsLeft > 0) {
            pendingRepeats.push(repeatsLeft - 1);
        }
    };

    const giveUpLateCalls = (): void => {
        for (const call of [...calls, ...floodCalls, ...nodeCalls]) {
            if (call.result === "Waiting" && call.endsAt <= now) {
                call.result = "GivenUp";
                call.socket.removeAllListeners("data");
                call.socket.destroy();
                recordFailure(call);
            }
        }
    };

    const repeatCalls = (): void => {
        const repeated = pendingRepeats;
        pendingRepeats = [];
        for (const repeatsLeft of repeated) {
            const kept = repeatsOnNewConnections ? undefined : idleSockets.pop();
            calls.push(startCall(CALLER_TIMEOUT_MS, repeatsLeft, kept ?? connect()));
        }
    };

    const actAsCallers = (): void => {
        giveUpLateCalls();
        repeatCalls();
        for (; nextCallAt <= now; nextCallAt += callIntervalMs) {
            calls.push(startCall(CALLER_TIMEOUT_MS, repeats, idleSockets.pop() ?? connect()));
        }
        for (; nextNodeCallAt <= now; nextNodeCallAt += nodeCallIntervalMs) {
            const kept = nodesKeepConnections ? idleNodeSockets.pop() : undefined;
            nodeCalls.push(startCall(nodeTimeoutMs, 0, kept ?? connect(nodePort)));
        }
        for (; nextFloodCallAt <= now && now < floodEndsAt; nextFloodCallAt += FLOOD_INTERVAL_MS) {
            floodCalls.push(startCall(FLOOD_TIMEOUT_MS, 0, connect()));
        }
    };

    const selectResults = (of: readonly Call[], from: Milliseconds, durationMs: Milliseconds): readonly CallResult[] =>
        of.filter(({ startedAt }) => startedAt >= from && startedAt < from + durationMs).map(({ result }) => result);

    const takeTurn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

    return {
        startCalls: () => {
            nextCallAt = now;
            nextNodeCallAt = Number.isFinite(nodeCallIntervalMs) ? now : nextNodeCallAt;
        },
        openConnections: (count) => {
            for (let index = 0; index < count; index++) {
                const socket = connect();
                socket.once("connect", () => idleSockets.push(socket));
            }
        },
        startFlood: (durationMs) => {
            nextFloodCallAt = now;
            floodEndsAt = now + durationMs;
        },
        pause: async (durationMs) => {
            isPaused = true;
            for (const endsAt = now + durationMs; now < endsAt; now += PAUSE_STEP_MS) {
                actAsCallers();
                await takeTurn();
            }
            isPaused = false;
            heldTurns.splice(0).forEach((task) => setImmediate(task));
        },
        run: async (durationMs) => {
            for (const endsAt = now + durationMs; now < endsAt; now += TURN_MS) {
                actAsCallers();
                await takeTurn();
            }
        },
        resultsSince: (from, durationMs) => selectResults(calls, from, durationMs),
        nodeResultsSince: (from, durationMs) => selectResults(nodeCalls, from, durationMs),
        now: () => now,
    };
};
