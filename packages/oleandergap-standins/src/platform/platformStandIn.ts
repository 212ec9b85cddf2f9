/**
 * Platform stand-in: an in-memory transactional table and object store with the platform's HTTP interface and rate
 * limits, and with simulated faults. The faults do not affect the control interface, which only the main port serves:
 *
 * - `GET /control/counters`, `DELETE /control/counters`: returns the counters, resets them to zero;
 * - `GET /control/faults`, `PUT /control/faults`: returns the faults, replaces them;
 * - `POST /control/copy`, `POST /control/restore`: stores a copy of all rows and objects, restores the last copy.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Clock } from "oleandergap-types";
import { createTableState, type TableSnapshot } from "oleandergap-platform";
import { createSeededRandom, createSystemClock, createTokenBucket, type Random } from "oleandergap-utils";
import { closeAbruptly, listen, readJson, readPath, sendJson } from "../http/jsonHttp.js";
import { createCounterStore, type PlatformStandInCounters } from "./counters.js";
import type { PlatformState } from "./operations.js";
import {
    noPlatformFaults,
    platformFaultsSchema,
    platformStandInOptionsSchema,
    type Entrance,
    type PlatformFaults,
    type PlatformFaultsInput,
    type PlatformStandInOptions,
} from "./options.js";
import { serveCall, type CallContext } from "./serveCall.js";

/** Copy of all rows and objects at one point in time. */
export interface PlatformCopy {
    readonly table: TableSnapshot;
    readonly objects: ReadonlyMap<string, Uint8Array>;
}

/** A running platform stand-in. */
export interface PlatformStandIn {
    readonly address: string;
    readonly port: number;
    /** The entrances with their assigned ports. */
    readonly entrances: readonly Entrance[];
    /** Direct access to the rows and objects, without limits and faults. */
    readonly state: PlatformState;
    readonly counters: () => PlatformStandInCounters;
    readonly resetCounters: () => void;
    readonly takeCopy: () => PlatformCopy;
    /** Restores a copy. This starts a new era, in which row versions after the copy are assigned again. */
    readonly restore: (copy: PlatformCopy) => void;
    /** Replaces all faults. Omitted faults are off. */
    readonly setFaults: (faults: PlatformFaultsInput) => void;
    /** Stops immediately and resets all connections. */
    readonly stop: () => Promise<void>;
}

/** Dependencies that tests replace. Defaults to the system clock and random numbers from the seed in the options. */
export interface PlatformStandInDependencies {
    readonly clock?: Clock;
    readonly random?: Random;
}

const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const CONFLICT = 409;
/** Maximum burst of calls, as a share of the calls allowed per second. */
const BURST_SHARE = 0.25;
/**
 * Idle connections are kept open for a long time, so that the connection pools of the daemons rarely see one closed.
 */
const KEEP_ALIVE_MS = 60_000;

interface Platform extends CallContext {
    currentFaults: PlatformFaults;
    /** Last copy that was taken through the control interface. */
    copy: PlatformCopy | undefined;
    readonly lifetimeController: AbortController;
}

const createPlatform = (options: PlatformStandInOptions, dependencies: PlatformStandInDependencies): Platform => {
    const clock = dependencies.clock ?? createSystemClock();
    const lifetimeController = new AbortController();
    const createBudget = (perSecond: number): ReturnType<typeof createTokenBucket> =>
        createTokenBucket({ clock, ratePerSecond: () => perSecond, burst: Math.max(1, perSecond * BURST_SHARE) });
    const platform: Platform = {
        state: { table: createTableState(), objects: new Map() },
        faults: () => platform.currentFaults,
        counters: createCounterStore(),
        readBudget: createBudget(options.limits.readsPerSecond),
        writeBudget: createBudget(options.limits.writesPerSecond),
        clock,
        random: dependencies.random ?? createSeededRandom(options.seed),
        lifetime: lifetimeController.signal,
        currentFaults: noPlatformFaults,
        copy: undefined,
        lifetimeController,
    };
    return platform;
};

const takeCopy = ({ state }: Platform): PlatformCopy =>
    ({ table: state.table.takeSnapshot(), objects: new Map(state.objects) });

const restore = ({ state }: Platform, { table, objects }: PlatformCopy): void => {
    state.table.restore(table);
    state.objects.clear();
    objects.forEach((body, key) => state.objects.set(key, body));
};

const restoreLastCopy = (platform: Platform, response: ServerResponse): void => {
    if (platform.copy === undefined) {
        sendJson(response, { error: "no copy was kept" }, CONFLICT);
        return;
    }
    restore(platform, platform.copy);
    sendJson(response, { era: platform.state.table.era() });
};

const serveControl = async (
    platform: Platform,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> => {
    switch (`${request.method ?? ""} ${readPath(request)}`) {
        case "GET /control/counters":
            sendJson(response, platform.counters.read());
            return;
        case "DELETE /control/counters":
            platform.counters.reset();
            sendJson(response, platform.counters.read());
            return;
        case "PUT /control/faults":
            platform.currentFaults = platformFaultsSchema.parse(await readJson(request));
            sendJson(response, platform.currentFaults);
            return;
        case "POST /control/copy":
            platform.copy = takeCopy(platform);
            sendJson(response, { era: platform.state.table.era(), rows: platform.state.table.size() });
            return;
        case "POST /control/restore":
            restoreLastCopy(platform, response);
            return;
        case "GET /control/faults":
            sendJson(response, platform.currentFaults);
            return;
        default:
            sendJson(response, { error: "no such control" }, NOT_FOUND);
    }
};

const createMainServer = (platform: Platform): Server =>
    createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (request, response) => {
        const serving = readPath(request).startsWith("/control/") ?
            serveControl(platform, request, response) :
            serveCall(platform, undefined, request, response);
        serving.catch((error: unknown) => {
            if (!response.headersSent && !response.destroyed) {
                sendJson(response, { error: String(error) }, BAD_REQUEST);
            }
        });
    });

const createEntranceServer = (platform: Platform, { name }: Entrance): Server => {
    const isCutOff = (): boolean => platform.currentFaults.cutEntrances.includes(name);
    const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (request, response) => {
        if (isCutOff()) {
            response.destroy();
            return;
        }
        serveCall(platform, name, request, response).catch(() => response.destroy());
    });
    server.on("connection", (socket) => {
        if (isCutOff()) {
            socket.destroy();
        }
    });
    return server;
};

/** Starts the platform stand-in. Rejects if a port is in use or the options are invalid. */
export const startPlatformStandIn = async (
    settings: Parameters<typeof platformStandInOptionsSchema.parse>[0] = {},
    dependencies: PlatformStandInDependencies = {},
): Promise<PlatformStandIn> => {
    const options = platformStandInOptionsSchema.parse(settings);
    const platform = createPlatform(options, dependencies);
    const mainServer = createMainServer(platform);
    const port = await listen(mainServer, options.address, options.port);
    const entranceServers = options.entrances.map((entrance) =>
        ({ entrance, server: createEntranceServer(platform, entrance) }));
    const entrances = await Promise.all(entranceServers.map(async ({ entrance, server }) => ({
        ...entrance,
        port: await listen(server, entrance.address, entrance.port),
    })));

    return {
        address: options.address,
        port,
        entrances,
        state: platform.state,
        counters: platform.counters.read,
        resetCounters: platform.counters.reset,
        takeCopy: () => takeCopy(platform),
        restore: (copy) => {
            restore(platform, copy);
        },
        setFaults: (faults) => {
            platform.currentFaults = platformFaultsSchema.parse(faults);
        },
        stop: async () => {
            platform.lifetimeController.abort();
            await Promise.all([mainServer, ...entranceServers.map(({ server }) => server)].map(closeAbruptly));
        },
    };
};
