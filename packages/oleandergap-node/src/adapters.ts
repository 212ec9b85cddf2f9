/** Adapters between a node and its environment, with the project's own implementations as defaults. */
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
import type { RolloutOrder } from "oleandergap-rollout";
import type { Clock, ServiceReference } from "oleandergap-types";
import type { Logger } from "oleandergap-logger";
import type { Readiness } from "./admin/readiness.js";
import { defaultDialects, type Dialects } from "./http/dialect.js";
import type { HandleArrival } from "./http/listener.js";
import type { NodeOptions } from "./options.js";
import type { LocalTargetManager } from "./target/localTargetManager.js";

/** Listeners to the orders of roll-outs. */
export interface OrderListeners {
    /** Runs for an order that the operator gave while this process was reading the orders. */
    readonly onGiven: (order: RolloutOrder) => void;
    /** Runs for an order that was there when this process read the orders for the first time, or after a restore. */
    readonly onFound: (order: RolloutOrder) => void;
}

/** The services of the platform that a node uses. */
export interface PlatformPorts {
    readonly tableService: TableServiceClient;
    readonly objectStore: ObjectStoreClient;
    /** Source of the accepted configuration versions. */
    readonly source: ConfigurationSource;
    /** Calls the listeners with each roll-out that the platform's operator orders. Absent if it orders none. */
    readonly subscribeToOrders?: (listeners: OrderListeners) => void;
    /** Calls the listener after the platform's table was restored from a backup. */
    readonly subscribeToRestores: (listener: () => void) => void;
}

/** Dependencies of the platform ports. */
export interface PlatformContext {
    readonly options: NodeOptions;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly signal: AbortSignal;
}

/** Parts of the node that an additional listener may use. */
export interface ListenerContext {
    readonly target: LocalTargetManager;
    readonly readiness: () => Readiness;
    readonly createPartLogger: (part: string) => Logger;
}

/** Definition of an additional HTTP server of the node. */
export interface ListenerDefinition {
    /** Name for error messages. */
    readonly name: string;
    readonly address: string;
    readonly port: number;
    readonly handle: HandleArrival;
}

/** The adapters of one node. */
export interface NodeAdapters {
    readonly dialects: Dialects;
    readonly openPlatform: (context: PlatformContext) => PlatformPorts;
    /**
     * Service of all callers at the gateway, if all of them run on this VM. If undefined, the service is looked up by
     * the caller's address.
     */
    readonly callerService: ServiceReference | undefined;
    readonly createListeners: (context: ListenerContext) => readonly ListenerDefinition[];
}

const isSameServer = (left: PlatformOptions, right: PlatformOptions): boolean =>
    left.address === right.address && left.port === right.port;

/** The project's own headers, the two platform services at the addresses in the settings, no additional listeners. */
export const defaultAdapters: NodeAdapters = {
    dialects: defaultDialects,
    openPlatform: ({ options, clock, logger, signal }) => {
        const { tableService: tableOptions, objectStore: objectOptions } = options.platform;
        const createEraSource = (): EraSource => ({ watch: createEraWatch(logger), header: ERA_HEADER });
        const tableEras = createEraSource();
        // If both services run on one server, they share its eras: a restore that one client detects concerns the other
        // client too. Two servers have independent eras.
        const objectEras = isSameServer(tableOptions, objectOptions) ? tableEras : createEraSource();
        const tableClient = createTableServiceClient({ ...tableOptions, clock, signal, eras: tableEras });
        const tableService: TableServiceClient = {
            ...tableClient,
            counters: () => ({ ...tableClient.counters(), ...tableEras.watch.counters() }),
        };
        const objectStore = createObjectStoreClient({ ...objectOptions, clock, signal, eras: objectEras });
        return {
            tableService,
            objectStore,
            source: createConfigurationSource({ tableService, objectStore }),
            subscribeToRestores: tableEras.watch.subscribe,
        };
    },
    callerService: undefined,
    createListeners: () => [],
};
