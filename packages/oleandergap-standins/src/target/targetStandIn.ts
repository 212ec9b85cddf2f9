/**
 * Stand-in for a partner's target. It has slots, a connection limit, skewed service times and a cold start. It sheds
 * load, reports an unreliable health status, drains its requests on a stop, and simulates faults.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock, Milliseconds } from "oleandergap-types";
import { createSeededRandom, createSystemClock, type Random } from "oleandergap-utils";
import { closeAbruptly, closeGracefully, listen, readPath, sendJson } from "../http/jsonHttp.js";
import { createAnnouncer, type Announcer } from "./announcer.js";
import { handleRequest, type RequestContext, type TargetCounters } from "./handleRequest.js";
import { createLaggingLoad } from "./laggingLoad.js";
import {
    noTargetFaults,
    targetFaultsSchema,
    targetOptionsSchema,
    type TargetFaults,
    type TargetOptions,
} from "./options.js";
import { createRunLog, type RunLog } from "./runLog.js";

/** A running target stand-in. It announces itself to its node, if it has one. */
export interface TargetStandIn {
    readonly options: TargetOptions;
    readonly address: string;
    readonly port: number;
    readonly runLog: RunLog;
    readonly counters: () => Readonly<TargetCounters>;
    /** Replaces all faults. Omitted faults are off. */
    readonly setFaults: (faults: Partial<TargetFaults>) => void;
    /**
     * Makes all open connections permanently unresponsive; new connections work. Returns the number of open
     * connections.
     */
    readonly silenceConnections: () => number;
    /** Announces that the target is leaving. It serves requests until `stop` is called. */
    readonly leave: () => Promise<void>;
    /**
     * Announces that the target is leaving, waits until no request is in flight, withdraws from the node, and closes.
     */
    readonly stop: () => Promise<void>;
    /** Stops permanently and immediately, and resets all connections without informing the node. */
    readonly crash: () => Promise<void>;
    /** Stops abruptly like `crash`, and restarts after the `crashDownMs` of its faults. */
    readonly restart: () => void;
}

/** Dependencies that tests replace. Defaults to the system clock and random numbers from the seed in the options. */
export interface TargetDependencies {
    readonly clock?: Clock;
    readonly random?: Random;
}

const SERVICE_UNAVAILABLE = 503;
const DRAIN_POLL_MS = 20;
/** Minimum time for which a leaving target waits for requests that were sent before it announced that it is leaving. */
const MIN_DRAIN_MS = 500;

const createCounters = (): TargetCounters => ({
    received: 0,
    started: 0,
    answered: 0,
    shed: 0,
    expired: 0,
    cancelled: 0,
    crashes: 0,
    receivedWhileLeaving: 0,
    lastReceivedWhileLeavingMs: 0,
    inFlight: 0,
    peakInFlight: 0,
});

interface TargetState extends RequestContext {
    crash: () => void;
    /** Monotonic time at which the target announced that it is leaving. */
    leavingSince: Milliseconds | undefined;
    currentFaults: TargetFaults;
    readonly sockets: Set<Socket>;
    readonly silencedSockets: WeakSet<Socket>;
    /** Lifetime of the simulated process. A target that restarts after a crash gets a new lifetime. */
    lifetime: AbortController;
    /** Number of lifetimes, including the current one. */
    lifetimeCount: number;
}

const createState = (options: TargetOptions, { clock, random }: TargetDependencies): TargetState => {
    const effectiveClock = clock ?? createSystemClock();
    const state: TargetState = {
        options,
        clock: effectiveClock,
        random: random ?? createSeededRandom(options.seed),
        runLog: createRunLog(),
        counters: createCounters(),
        startedAt: effectiveClock.monotonic(),
        faults: () => state.currentFaults,
        crash: () => undefined,
        leavingSince: undefined,
        currentFaults: noTargetFaults,
        sockets: new Set(),
        silencedSockets: new WeakSet(),
        lifetime: new AbortController(),
        lifetimeCount: 1,
    };
    return state;
};

const sendHealth = (state: TargetState, response: ServerResponse): void => {
    const { options, counters } = state;
    const isHealthy = options.healthBehaviour.health === "alwaysOk" ||
        (counters.inFlight < options.slots && state.leavingSince === undefined);
    sendJson(response, { status: isHealthy ? "ok" : "busy" }, isHealthy ? undefined : SERVICE_UNAVAILABLE);
};

const countArrival = (state: TargetState): void => {
    const { counters, clock, leavingSince } = state;
    counters.received += 1;
    if (leavingSince !== undefined) {
        counters.receivedWhileLeaving += 1;
        counters.lastReceivedWhileLeavingMs = clock.monotonic() - leavingSince;
    }
};

const createRequestHandler = (state: TargetState) => {
    const { options, counters, clock, lifetime } = state;
    const readCurrentLoad = (): { inFlight: number; slots: number } => ({
        inFlight: counters.inFlight,
        slots: options.slots,
    });
    const readLaggingLoad =
        createLaggingLoad(readCurrentLoad, options.healthBehaviour.loadLagMs, clock, lifetime.signal);
    return (request: IncomingMessage, response: ServerResponse): void => {
        if (state.currentFaults.silent || state.silencedSockets.has(request.socket)) {
            request.socket.setTimeout(0);
            return;
        }
        switch (readPath(request)) {
            case "/health":
                sendHealth(state, response);
                return;
            case "/load":
                sendJson(response, readLaggingLoad());
                return;
            default:
                countArrival(state);
                void handleRequest(state, request, response);
        }
    };
};

const createTargetServer = (state: TargetState): Server => {
    const server = createServer({ keepAliveTimeout: state.options.keepAliveMs }, createRequestHandler(state));
    server.maxConnections = state.options.connections;
    // A large upload over a slow connection may take longer than Node's default timeout of five minutes.
    server.requestTimeout = 0;
    server.on("connection", (socket) => {
        state.sockets.add(socket);
        socket.once("close", () => state.sockets.delete(socket));
    });
    return server;
};

const silenceOpenConnections = (state: TargetState): number => {
    for (const socket of state.sockets) {
        state.silencedSockets.add(socket);
        socket.setTimeout(0);
    }
    return state.sockets.size;
};

const createTargetAnnouncer = (state: TargetState, port: number): Announcer | undefined => {
    const { id, node, partner, service, address, version, slots, connections, announceEveryMs } = state.options;
    return node === undefined ? undefined : createAnnouncer({
        node,
        intervalMs: announceEveryMs,
        clock: state.clock,
        createAnnouncement: () => ({
            partner,
            service,
            address,
            port,
            slots,
            connections,
            leaving: state.leavingSince !== undefined,
            instanceId: `${id}/${state.lifetimeCount}`,
            ...version === undefined ? {} : { version },
        }),
    });
};

const waitUntilIdle = async (state: TargetState): Promise<void> => {
    const leavingSince = state.leavingSince ?? 0;
    const neverAborted = new AbortController().signal;
    while (state.counters.inFlight > 0 || state.clock.monotonic() - leavingSince < MIN_DRAIN_MS) {
        await state.clock.sleep(DRAIN_POLL_MS, neverAborted);
    }
};

/** Starts a target stand-in. Rejects if its port is in use or its options are invalid. */
export const startTargetStandIn = async (
    settings: Parameters<typeof targetOptionsSchema.parse>[0],
    dependencies: TargetDependencies = {},
): Promise<TargetStandIn> => {
    const options = targetOptionsSchema.parse(settings);
    const state = createState(options, dependencies);
    let server = createTargetServer(state);
    const port = await listen(server, options.address, options.port);
    const announcer = createTargetAnnouncer(state, port);
    announcer?.start(state.lifetime.signal);
    let isStopped = false;

    const shutDownAbruptly = async (): Promise<void> => {
        state.lifetime.abort();
        await closeAbruptly(server);
    };

    const startServerAgain = async (): Promise<void> => {
        state.lifetime = new AbortController();
        state.lifetimeCount += 1;
        server = createTargetServer(state);
        await listen(server, options.address, port);
        announcer?.start(state.lifetime.signal);
    };

    const crashAndRestart = async (): Promise<void> => {
        if (state.lifetime.signal.aborted) {
            return;
        }
        const downMs = state.currentFaults.crashDownMs;
        await shutDownAbruptly();
        await state.clock.sleep(downMs, new AbortController().signal);
        if (!isStopped) {
            await startServerAgain();
        }
    };
    state.crash = () => {
        void crashAndRestart();
    };

    const leave = async (): Promise<void> => {
        state.leavingSince ??= state.clock.monotonic();
        await announcer?.announce();
    };

    const stop = async (): Promise<void> => {
        isStopped = true;
        await leave();
        await waitUntilIdle(state);
        state.lifetime.abort();
        await announcer?.withdraw();
        await closeGracefully(server);
    };

    return {
        options,
        address: options.address,
        port,
        runLog: state.runLog,
        counters: () => state.counters,
        setFaults: (faults) => {
            state.currentFaults = targetFaultsSchema.parse(faults);
        },
        silenceConnections: () => silenceOpenConnections(state),
        leave,
        stop,
        restart: state.crash,
        crash: async () => {
            isStopped = true;
            await shutDownAbruptly();
        },
    };
};
