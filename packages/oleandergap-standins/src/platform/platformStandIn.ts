/**
 * Stands in for the platform: a transactional table and an object store in memory behind one HTTP port, with the
 * platform's limits and, on demand, its faults. The control interface isn't touched by the faults:
 *
 * - `GET /control/counters`, `DELETE /control/counters`: reads them, sets them to zero;
 * - `GET /control/faults`, `PUT /control/faults`: reads the switches, replaces them;
 * - `POST /control/copy`, `POST /control/restore`: keeps a copy of all rows and objects, goes back to the last one.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Clock } from "oleandergap-types";
import { createTableState, type TableSnapshot } from "oleandergap-platform";
import { createSeededRandom, createSystemClock, createTokenBucket, type Random } from "oleandergap-utils";
import { closeAbruptly, listen, readJson, readPath, sendJson } from "../http/jsonHttp.js";
import { createCounterBook, type PlatformStandInCounters } from "./counters.js";
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

/** All rows and objects at a moment. */
export interface PlatformCopy {
    readonly table: TableSnapshot;
    readonly objects: ReadonlyMap<string, Uint8Array>;
}

/** A platform that listens. */
export interface PlatformStandIn {
    readonly address: string;
    readonly port: number;
    /** The entrances with the ports that they got. */
    readonly entrances: readonly Entrance[];
    /** The rows and objects themselves, past all limits and faults. */
    readonly state: PlatformState;
    readonly counters: () => PlatformStandInCounters;
    readonly resetCounters: () => void;
    readonly takeCopy: () => PlatformCopy;
    /** Goes back to a copy: a new era, in which versions are given out again. */
    readonly restore: (copy: PlatformCopy) => void;
    /** Replaces all switches; what is left out is off. */
    readonly setFaults: (faults: PlatformFaultsInput) => void;
    /** Ends at once and resets every connection. */
    readonly stop: () => Promise<void>;
}

/** What tests replace; by default the system's clock and random numbers from the options' seed. */
export interface PlatformStandInDependencies {
    readonly clock?: Clock;
    readonly random?: Random;
}

const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const CONFLICT = 409;
/** Calls that may come at once, as a share of what is allowed in a second. */
const BURST_SHARE = 0.25;
/** Idle connections are kept for long, so that the daemons' pools see few closings. */
const KEEP_ALIVE_MS = 60_000;

interface Platform extends CallContext {
    currentFaults: PlatformFaults;
    /** The last one kept by the control interface. */
    copy: PlatformCopy | undefined;
    readonly end: AbortController;
}

const createPlatform = (options: PlatformStandInOptions, dependencies: PlatformStandInDependencies): Platform => {
    const clock = dependencies.clock ?? createSystemClock();
    const end = new AbortController();
    const createBudget = (perSecond: number): ReturnType<typeof createTokenBucket> =>
        createTokenBucket({ clock, ratePerSecond: () => perSecond, burst: Math.max(1, perSecond * BURST_SHARE) });
    const platform: Platform = {
        state: { table: createTableState(), objects: new Map() },
        faults: () => platform.currentFaults,
        counters: createCounterBook(),
        readBudget: createBudget(options.limits.readsPerSecond),
        writeBudget: createBudget(options.limits.writesPerSecond),
        clock,
        random: dependencies.random ?? createSeededRandom(options.seed),
        lifetime: end.signal,
        currentFaults: noPlatformFaults,
        copy: undefined,
        end,
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

const restoreKept = (platform: Platform, response: ServerResponse): void => {
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
            restoreKept(platform, response);
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
        const served = readPath(request).startsWith("/control/") ?
            serveControl(platform, request, response) :
            serveCall(platform, undefined, request, response);
        served.catch((error: unknown) => {
            if (!response.headersSent && !response.destroyed) {
                sendJson(response, { error: String(error) }, BAD_REQUEST);
            }
        });
    });

const createEntranceServer = (platform: Platform, { name }: Entrance): Server => {
    const isCut = (): boolean => platform.currentFaults.cutEntrances.includes(name);
    const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (request, response) => {
        if (isCut()) {
            response.destroy();
            return;
        }
        serveCall(platform, name, request, response).catch(() => response.destroy());
    });
    server.on("connection", (socket) => {
        if (isCut()) {
            socket.destroy();
        }
    });
    return server;
};

/** Starts the platform; rejects when a port is taken or the options are wrong. */
export const startPlatformStandIn = async (
    settings: Parameters<typeof platformStandInOptionsSchema.parse>[0] = {},
    dependencies: PlatformStandInDependencies = {},
): Promise<PlatformStandIn> => {
    const options = platformStandInOptionsSchema.parse(settings);
    const platform = createPlatform(options, dependencies);
    const main = createMainServer(platform);
    const port = await listen(main, options.address, options.port);
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
            platform.end.abort();
            await Promise.all([main, ...entranceServers.map(({ server }) => server)].map(closeAbruptly));
        },
    };
};
