/**
 * Pools of connections to the gates of other nodes or to the local target.
 *
 * A connection can become unresponsive permanently while new connections work, because a device between the two ends
 * has lost its state. Requests on such a connection would repeatedly wait until their deadlines. Three measures prevent
 * that: a connection is closed after a few idle seconds, all connections to an address are replaced when one of them
 * was unresponsive, and all connections are replaced after this process was frozen, because timers could not close them
 * during the freeze.
 */
import { createConnector, createHttpPool, type HttpPool, type RequestTransport } from "oleandergap-transport";
import type { Clock, Milliseconds } from "oleandergap-types";

export interface ConnectionPoolsOptions {
    readonly clock: Clock;
    readonly connectTimeoutMs: Milliseconds;
    /** Idle time after which a connection is closed. */
    readonly idleMs: Milliseconds;
    /** Idle time after which a pool is closed. */
    readonly poolIdleMs: Milliseconds;
}

export interface ConnectionPools {
    /** Returns the pool of an address, with at most `connections` connections. */
    readonly getPool: (address: string, port: number, connections: number) => RequestTransport;
    /**
     * Replaces the connections to an address: requests in flight finish on the old connections, later requests use new
     * ones.
     */
    readonly replaceConnections: (address: string, port: number) => void;
    /**
     * Closes idle connections and idle pools, and replaces all connections after a freeze of this process. Called about
     * once a second.
     */
    readonly sweep: () => void;
    readonly size: () => number;
    /** Destroys all connections. */
    readonly destroy: () => Promise<void>;
}

interface PoolEntry {
    readonly pool: HttpPool;
    lastUsedAt: Milliseconds;
}

const formatKey = (address: string, port: number): string => `${address} ${port}`;

export const createConnectionPools = (options: ConnectionPoolsOptions): ConnectionPools => {
    const { clock, idleMs } = options;
    const connect = createConnector({ clock, timeoutMs: options.connectTimeoutMs });
    const entries = new Map<string, PoolEntry>();
    let lastSweepAt = clock.monotonic();

    const handleFreeze = (now: Milliseconds): void => {
        // The sweep runs about once a second, so a pause of this length means that the process was frozen.
        if (now - lastSweepAt > idleMs) {
            for (const { pool } of entries.values()) {
                pool.replaceConnections();
            }
        }
        lastSweepAt = Math.max(lastSweepAt, now);
    };

    const getEntry = (address: string, port: number): PoolEntry => {
        const key = formatKey(address, port);
        const existing = entries.get(key);
        if (existing !== undefined) {
            return existing;
        }
        const entry = { pool: createHttpPool({ clock, connect, address, port, idleMs }), lastUsedAt: 0 };
        entries.set(key, entry);
        return entry;
    };

    return {
        getPool: (address, port, connections) => {
            const now = clock.monotonic();
            if (now - lastSweepAt > idleMs) {
                handleFreeze(now);
            }
            const entry = getEntry(address, port);
            entry.lastUsedAt = now;
            entry.pool.limitConnections(connections);
            return entry.pool;
        },
        replaceConnections: (address, port) => {
            entries.get(formatKey(address, port))?.pool.replaceConnections();
        },
        sweep: () => {
            const now = clock.monotonic();
            handleFreeze(now);
            for (const [key, { pool, lastUsedAt }] of entries) {
                if (now - lastUsedAt > options.poolIdleMs && pool.isUnused()) {
                    entries.delete(key);
                    pool.replaceConnections();
                }
                else {
                    pool.sweep();
                }
            }
        },
        size: () => entries.size,
        destroy: async () => {
            const pools = [...entries.values()];
            entries.clear();
            for (const { pool } of pools) {
                pool.destroy();
            }
        },
    };
};
