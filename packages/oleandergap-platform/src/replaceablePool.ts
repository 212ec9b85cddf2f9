/** Pool of HTTP connections to the platform. All connections are replaced at once when one stops responding. */
import { Pool } from "undici";
import type { PlatformOptions } from "./options.js";

/** Endpoint, limits and lifetime of the connections. */
export interface ReplaceablePoolOptions extends PlatformOptions {
    /** Closes the connections when it aborts. */
    readonly signal?: AbortSignal;
}

/** A pool that can be replaced. Each exchange stays on the pool that it was started on. */
export interface ReplaceablePool {
    readonly current: () => Pool;
    /** Opens a new pool in place of `unresponsivePool`. Does nothing if that pool was already replaced. */
    readonly replace: (unresponsivePool: Pool) => void;
}

const formatOrigin = (address: string, port: number): string =>
    address.includes(":") ? `http://[${address}]:${port}` : `http://${address}:${port}`;

/** Creates the pool. Connections are opened on first use. `onReplace` is called at each replacement. */
export const createReplaceablePool = (options: ReplaceablePoolOptions, onReplace: () => void): ReplaceablePool => {
    const { address, port, connections, timeoutMs } = options;

    // The library's own timeouts are disabled, because each exchange has one that uses the clock of this process.
    const openPool = (): Pool =>
        new Pool(formatOrigin(address, port), {
            connections,
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
            connect: { timeout: timeoutMs },
        });
    let current = openPool();

    const closePool = (pool: Pool): void => {
        pool.close().catch(() => undefined);
    };

    /**
     * A network device between the two ends may drop the state of a connection. The connection then never responds
     * again although new ones work, and every call on it would time out although the platform is healthy. Connections
     * that were opened at the same time are probably affected as well. Therefore the next call uses a new connection,
     * and calls in flight finish on the old pool.
     */
    const replace = (unresponsivePool: Pool): void => {
        if (current !== unresponsivePool) {
            return;
        }
        current = openPool();
        onReplace();
        closePool(unresponsivePool);
    };

    options.signal?.addEventListener("abort", () => {
        closePool(current);
    }, { once: true });

    return { current: () => current, replace };
};
