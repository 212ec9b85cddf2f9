/** What a node takes from its surroundings, each with the project's own way as the default. */
import {
    createEraWatch,
    createObjectStoreClient,
    createTableServiceClient,
    ERA_HEADER,
    type EraSource,
    type ObjectStoreClient,
    type PlatformOptions,
    type TableServiceClient,
} from "oleandergap-platform";
import { createConfigurationSource, type ConfigurationSource } from "oleandergap-configuration";
import type { Clock, ServiceReference } from "oleandergap-types";
import type { Logger } from "oleandergap-logger";
import type { Readiness } from "./admin/readiness.js";
import { ownDialects, type Dialects } from "./http/dialect.js";
import type { HandleArrival } from "./http/listener.js";
import type { NodeOptions } from "./options.js";
import type { TargetKeeper } from "./target/targetKeeper.js";

/** The platform as a node sees it. */
export interface PlatformPorts {
    readonly tableService: TableServiceClient;
    readonly objectStore: ObjectStoreClient;
    /** Where accepted versions are read. */
    readonly source: ConfigurationSource;
}

/** What the ports to the platform are made from. */
export interface PlatformContext {
    readonly options: NodeOptions;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly signal: AbortSignal;
}

/** Parts of the node that a further listener may need. */
export interface ListenerContext {
    readonly target: TargetKeeper;
    readonly readiness: () => Readiness;
    readonly createPartLogger: (part: string) => Logger;
}

/** A further HTTP server of the node. */
export interface ListenerPlan {
    /** Named in errors. */
    readonly name: string;
    readonly address: string;
    readonly port: number;
    readonly handle: HandleArrival;
}

/** The surroundings of one node. */
export interface NodeAdapters {
    readonly dialects: Dialects;
    readonly openPlatform: (context: PlatformContext) => PlatformPorts;
    /** The service of all callers at the gateway, where they all belong to this VM; else their address tells it. */
    readonly callerService: ServiceReference | undefined;
    readonly createListeners: (context: ListenerContext) => readonly ListenerPlan[];
}

const isSameServer = (left: PlatformOptions, right: PlatformOptions): boolean =>
    left.address === right.address && left.port === right.port;

/** The node's own headers, the two services of the platform at the addresses of the settings, no further listeners. */
export const ownAdapters: NodeAdapters = {
    dialects: ownDialects,
    openPlatform: ({ options, clock, logger, signal }) => {
        const { tableService: tableOptions, objectStore: objectOptions } = options.platform;
        const followEra = (): EraSource => ({ watch: createEraWatch(logger), header: ERA_HEADER });
        const tableEras = followEra();
        // What one service hears of a restore, the other needs to know; two stores have eras of their own.
        const objectEras = isSameServer(tableOptions, objectOptions) ? tableEras : followEra();
        const tableClient = createTableServiceClient({ ...tableOptions, clock, signal, eras: tableEras });
        const tableService: TableServiceClient = {
            ...tableClient,
            counters: () => ({ ...tableClient.counters(), ...tableEras.watch.counters() }),
        };
        const objectStore = createObjectStoreClient({ ...objectOptions, clock, signal, eras: objectEras });
        return { tableService, objectStore, source: createConfigurationSource({ tableService, objectStore }) };
    },
    callerService: undefined,
    createListeners: () => [],
};
