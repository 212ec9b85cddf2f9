/** Client of both platform services, with shared connections and one read budget. */
import { createChannel, type ChannelOptions } from "./channel.js";
import type { PlatformCounters } from "./platformCounters.js";
import { createObjectStoreOnChannel, type ObjectStoreClient } from "./objectStoreClient.js";
import { createTableServiceOnChannel, type TableServiceClient } from "./tableServiceClient.js";

/** Both ports and the combined counters of their calls. */
export interface PlatformClient {
    readonly tableService: TableServiceClient;
    readonly objectStore: ObjectStoreClient;
    readonly counters: () => PlatformCounters;
}

/** Creates a client of a platform that serves both services at one address. */
export const createPlatformClient = (options: ChannelOptions): PlatformClient => {
    const channel = createChannel(options);
    return {
        tableService: createTableServiceOnChannel(channel),
        objectStore: createObjectStoreOnChannel(channel, options.eras?.watch),
        counters: channel.counters,
    };
};
