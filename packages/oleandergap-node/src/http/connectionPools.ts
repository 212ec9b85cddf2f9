/**
 * Pools of connections to the gates of other nodes or to the local target.
 *
 * A connection can become unresponsive permanently while new connections work, because a device between the two ends
 * has lost its state. Requests on such a connection would repeatedly wait until their deadlines. Three measures prevent
 * that: a connection is closed after a few idle seconds, all connections to an address are replaced when one of them
 * was unresponsive, and all connections are replaced after this process was frozen, because timers could not close them
 * during the freeze.
 */
import type { Clock, Milliseconds } from "oleandergap-types";
import { Pool, type Dispatcher } from "undici";
import { createTrackedConnector } from "./socketEnd.js";

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
    readonly getPool: (address: string, port: number, connections: number) => Dispatcher;
    /**
     * Replaces the connections to an address: requests in flight finish on the old connections, later requests use new
     * ones.
     */
    readonly replaceConnections: (address: string, port: number) => void;
    /** Closes idle pools and, after a freeze of this process, all connections. Called about once a second. */
    readonly sweep: () => void;
    readonly size: () => number;
    /** Destroys all connections. */
    readonly destroy: () => Promise<void>;
}

interface PoolEntry {
    readonly pool: Pool;
    readonly connections: number;
    lastUsedAt: Milliseconds;
}

const formatOrigin = (address: string, port: number): string =>
    address.includes(":") ? `http://[${address}]:${port}` : `http://${address}:${port}`;

const noop = (): void => undefined;

export const createConnectionPools = (options: ConnectionPoolsOptions): ConnectionPools => {
    const { clock } = options;
    const entries = new Map<string, PoolEntry>();
    let lastSweepAt = clock.monotonic();

    const createPool = (origin: string, connections: number): Pool =>
        new Pool(origin, {
            connections,
            pipelining: 1,
            keepAliveTimeout: options.idleMs,
            // The server's keep-alive hint may shorten the idle time, but not extend it.
            keepAliveMaxTimeout: options.idleMs,
            connect: createTrackedConnector({ clock, timeoutMs: options.connectTimeoutMs }),
        });

    const closePool = (key: string, entry: PoolEntry): void => {
        entries.delete(key);
        entry.pool.close().catch(noop);
    };

    const closeAllPools = (): void => {
        for (const [key, entry] of entries) {
            closePool(key, entry);
        }
    };

    const handleFreeze = (now: Milliseconds): void => {
        // The sweep runs about once a second, so a pause of this length means that the process was frozen.
        if (now - lastSweepAt > options.idleMs) {
            closeAllPools();
        }
        lastSweepAt = Math.max(lastSweepAt, now);
    };

    return {
        getPool: (address, port, connections) => {
            const now = clock.monotonic();
            if (now - lastSweepAt > options.idleMs) {
                handleFreeze(now);
            }
            const origin = formatOrigin(address, port);
            const existing = entries.get(origin);
            if (existing !== undefined && existing.connections === connections) {
                existing.lastUsedAt = now;
                return existing.pool;
            }
            if (existing !== undefined) {
                closePool(origin, existing);
            }
            const pool = createPool(origin, connections);
            entries.set(origin, { pool, connections, lastUsedAt: now });
            return pool;
        },
        replaceConnections: (address, port) => {
            const origin = formatOrigin(address, port);
            const entry = entries.get(origin);
            if (entry !== undefined) {
                closePool(origin, entry);
            }
        },
        sweep: () => {
            const now = clock.monotonic();
            handleFreeze(now);
            for (const [key, entry] of entries) {
                if (now - entry.lastUsedAt > options.poolIdleMs) {
                    closePool(key, entry);
                }
            }
        },
        size: () => entries.size,
        destroy: async () => {
            const pools = [...entries.values()];
            entries.clear();
            await Promise.all(pools.map((entry) => entry.pool.destroy()));
        },
    };
};
