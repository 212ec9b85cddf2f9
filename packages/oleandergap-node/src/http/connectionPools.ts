/**
 * Pools of connections to the gates of other nodes or to the local target.
 *
 * A connection can go silent permanently while new connections work, because a device between the two ends has lost its
 * state. Requests on such a connection would repeatedly wait until their deadlines. Three measures prevent that: a
 * connection is closed after a few idle seconds, all connections to an address are replaced when one of them was
 * silent, and all connections are replaced after this process was frozen, because timers could not close them during
 * the freeze.
 */
import type { Clock, Milliseconds } from "oleandergap-types";
import { Pool, type Dispatcher } from "undici";
import { createWatchedConnector } from "./socketEnd.js";

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
    readonly take: (address: string, port: number, connections: number) => Dispatcher;
    /**
     * Replaces the connections to an address: requests in flight finish on the old connections, later requests use new
     * ones.
     */
    readonly renew: (address: string, port: number) => void;
    /** Closes idle pools and, after a freeze of this process, all connections. Called about once a second. */
    readonly sweep: () => void;
    readonly size: () => number;
    /** Destroys all connections. */
    readonly destroy: () => Promise<void>;
}

interface PoolEntry {
    readonly pool: Pool;
    readonly connections: number;
    usedAt: Milliseconds;
}

const formatOrigin = (address: string, port: number): string =>
    address.includes(":") ? `http://[${address}]:${port}` : `http://${address}:${port}`;

const ignore = (): void => undefined;

export const createConnectionPools = (options: ConnectionPoolsOptions): ConnectionPools => {
    const { clock } = options;
    const entries = new Map<string, PoolEntry>();
    let sweptAt = clock.monotonic();

    const openPool = (origin: string, connections: number): Pool =>
        new Pool(origin, {
            connections,
            pipelining: 1,
            keepAliveTimeout: options.idleMs,
            // The server's keep-alive hint may shorten the idle time, but not extend it.
            keepAliveMaxTimeout: options.idleMs,
            connect: createWatchedConnector({ clock, timeoutMs: options.connectTimeoutMs }),
        });

    const retire = (key: string, entry: PoolEntry): void => {
        entries.delete(key);
        entry.pool.close().catch(ignore);
    };

    const retireAll = (): void => {
        for (const [key, entry] of entries) {
            retire(key, entry);
        }
    };

    const noticeFreeze = (now: Milliseconds): void => {
        // The sweep runs about once a second, so a pause of this length means that the process was frozen.
        if (now - sweptAt > options.idleMs) {
            retireAll();
        }
        sweptAt = Math.max(sweptAt, now);
    };

    return {
        take: (address, port, connections) => {
            const now = clock.monotonic();
            if (now - sweptAt > options.idleMs) {
                noticeFreeze(now);
            }
            const origin = formatOrigin(address, port);
            const existing = entries.get(origin);
            if (existing !== undefined && existing.connections === connections) {
                existing.usedAt = now;
                return existing.pool;
            }
            if (existing !== undefined) {
                retire(origin, existing);
            }
            const pool = openPool(origin, connections);
            entries.set(origin, { pool, connections, usedAt: now });
            return pool;
        },
        renew: (address, port) => {
            const origin = formatOrigin(address, port);
            const entry = entries.get(origin);
            if (entry !== undefined) {
                retire(origin, entry);
            }
        },
        sweep: () => {
            const now = clock.monotonic();
            noticeFreeze(now);
            for (const [key, entry] of entries) {
                if (now - entry.usedAt > options.poolIdleMs) {
                    retire(key, entry);
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
