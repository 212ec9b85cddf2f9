/**
 * Stands in for a partner's target: it has slots, a limit of connections, skewed service times and a cold start, sheds
 * load, tells little truth about its health, drains, and has faults on demand.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock, Milliseconds } from "oleandergap-types";
import { createSeededRandom, createSystemClock, type Random } from "oleandergap-utils";
import { closeAbruptly, closeGracefully, listen, readPath, sendJson } from "../http/jsonHttp.js";
import { createAnnouncer, type Announcer } from "./announcer.js";
import { handleExchange, type ExchangeContext, type TargetCounters } from "./exchange.js";
import { createLaggingLoad } from "./laggingLoad.js";
import {
    noTargetFaults,
    targetFaultsSchema,
    targetOptionsSchema,
    type TargetFaults,
    type TargetOptions,
} from "./options.js";
import { createRunLog, type RunLog } from "./runLog.js";

/** A target that listens and, if it has a node, announces itself. */
export interface TargetStandIn {
    readonly options: TargetOptions;
    readonly address: string;
    readonly port: number;
    readonly runLog: RunLog;
    readonly counters: () => Readonly<TargetCounters>;
    /** Replaces all switches; what is left out is off. */
    readonly setFaults: (faults: Partial<TargetFaults>) => void;
    /** The connections that are open now go silent for good; new ones work. Returns how many there were. */
    readonly silenceConnections: () => number;
    /** Says that the target is leaving; it goes on serving until `stop`. */
    readonly leave: () => Promise<void>;
    /** Leaves, waits until nothing is in flight, closes, and withdraws from the node. */
    readonly stop: () => Promise<void>;
    /** Ends at once and resets every connection; the node isn't told. */
    readonly crash: () => Promise<void>;
    /** Ends in the same way, and starts again after the time that its switches name. */
    readonly restart: () => void;
}

/** What tests replace; by default the system's clock and random numbers from the options' seed. */
export interface TargetDependencies {
    readonly clock?: Clock;
    readonly random?: Random;
}

const NOT_WELL = 503;
const DRAIN_POLL_MS = 20;
/** A leaving target waits this long for requests that were on their way when it said so. */
const MIN_LEAVE_MS = 500;

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

interface TargetState extends ExchangeContext {
    crash: () => void;
    /** Monotonic time at which the target said that it leaves. */
    leavingSince: Milliseconds | undefined;
    currentFaults: TargetFaults;
    readonly sockets: Set<Socket>;
    readonly silenced: WeakSet<Socket>;
    /** Of the process that the target plays; a target that was ended by a request gets a new one. */
    lifetime: AbortController;
    /** Lifetimes so far. */
    lifetimes: number;
}

const createState = (options: TargetOptions, { clock, random }: TargetDependencies): TargetState => {
    const usedClock = clock ?? createSystemClock();
    const state: TargetState = {
        options,
        clock: usedClock,
        random: random ?? createSeededRandom(options.seed),
        runLog: createRunLog(),
        counters: createCounters(),
        startedAt: usedClock.monotonic(),
        faults: () => state.currentFaults,
        crash: () => undefined,
        leavingSince: undefined,
        currentFaults: noTargetFaults,
        sockets: new Set(),
        silenced: new WeakSet(),
        lifetime: new AbortController(),
        lifetimes: 1,
    };
    return state;
};

const answerHealth = (state: TargetState, response: ServerResponse): void => {
    const { options, counters } = state;
    const well = options.healthBehaviour.health === "alwaysOk" ||
        (counters.inFlight < options.slots && state.leavingSince === undefined);
    sendJson(response, { status: well ? "ok" : "busy" }, well ? undefined : NOT_WELL);
};

const countArrival = (state: TargetState): void => {
    const { counters, clock, leavingSince } = state;
    counters.received += 1;
    if (leavingSince !== undefined) {
        counters.receivedWhileLeaving += 1;
        counters.lastReceivedWhileLeavingMs = clock.monotonic() - leavingSince;
    }
};

const createHandler = (state: TargetState) => {
    const { options, counters, clock, lifetime } = state;
    const readLoad = (): { inFlight: number; slots: number } => ({
        inFlight: counters.inFlight,
        slots: options.slots,
    });
    const lateLoad = createLaggingLoad(readLoad, options.healthBehaviour.loadLagMs, clock, lifetime.signal);
    return (request: IncomingMessage, response: ServerResponse): void => {
        if (state.currentFaults.silent || state.silenced.has(request.socket)) {
            request.socket.setTimeout(0);
            return;
        }
        switch (readPath(request)) {
            case "/health":
                answerHealth(state, response);
                return;
            case "/load":
                sendJson(response, lateLoad());
                return;
            default:
                countArrival(state);
                void handleExchange(state, request, response);
        }
    };
};

const createTargetServer = (state: TargetState): Server => {
    const server = createServer({ keepAliveTimeout: state.options.keepAliveMs }, createHandler(state));
    server.maxConnections = state.options.connections;
    // A large upload over a slow line may take longer than Node's default of five minutes.
    server.requestTimeout = 0;
    server.on("connection", (socket) => {
        state.sockets.add(socket);
        socket.once("close", () => state.sockets.delete(socket));
    });
    return server;
};

const silenceOpenConnections = (state: TargetState): number => {
    for (const socket of state.sockets) {
        state.silenced.add(socket);
        socket.setTimeout(0);
    }
    return state.sockets.size;
};

const createTargetAnnouncer = (state: TargetState, port: number): Announcer | undefined => {
    const { id, node, partner, service, address, slots, connections, announceEveryMs } = state.options;
    return node === undefined ? undefined : createAnnouncer({
        node,
        everyMs: announceEveryMs,
        clock: state.clock,
        announcement: () => ({
            partner,
            service,
            address,
            port,
            slots,
            connections,
            leaving: state.leavingSince !== undefined,
            instanceId: `${id}/${state.lifetimes}`,
        }),
    });
};

const waitUntilIdle = async (state: TargetState): Promise<void> => {
    const leftAt = state.leavingSince ?? 0;
    const never = new AbortController().signal;
    while (state.counters.inFlight > 0 || state.clock.monotonic() - leftAt < MIN_LEAVE_MS) {
        await state.clock.sleep(DRAIN_POLL_MS, never);
    }
};

/** Starts a target; rejects when its port is taken or its options are wrong. */
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

    const end = async (): Promise<void> => {
        state.lifetime.abort();
        await closeAbruptly(server);
    };

    const startAgain = async (): Promise<void> => {
        state.lifetime = new AbortController();
        state.lifetimes += 1;
        server = createTargetServer(state);
        await listen(server, options.address, port);
        announcer?.start(state.lifetime.signal);
    };

    const crashAndReturn = async (): Promise<void> => {
        if (state.lifetime.signal.aborted) {
            return;
        }
        const downMs = state.currentFaults.crashDownMs;
        await end();
        await state.clock.sleep(downMs, new AbortController().signal);
        if (!isStopped) {
            await startAgain();
        }
    };
    state.crash = () => {
        void crashAndReturn();
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
            await end();
        },
    };
};
