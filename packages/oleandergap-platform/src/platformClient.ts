/** Both services of the platform over the same connections and under one read budget. */
import { createChannel, type ChannelOptions } from "./channel.js";
import type { PlatformCounters } from "./platformCounters.js";
import { createObjectStoreOn, type ObjectStoreClient } from "./objectStoreClient.js";
import { createTableServiceOn, type TableServiceClient } from "./tableServiceClient.js";

/** Both ports, and the counters of all their calls. */
export interface PlatformClient {
    readonly tableService: TableServiceClient;
    readonly objectStore: ObjectStoreClient;
    readonly counters: () => PlatformCounters;
}

/** Suits a platform that serves both at one address. */
export const createPlatformClient = (options: ChannelOptions): PlatformClient => {
    const channel = createChannel(options);
    return {
        tableService: createTableServiceOn(channel),
        objectStore: createObjectStoreOn(channel, options.eras?.watch),
        counters: channel.counters,
    };
};
