/** Pool of HTTP connections to the platform. All connections are replaced at once when one stops responding. */
import { createConnector, createHttpPool, type RequestTransport } from "oleandergap-transport";
import type { Clock, Milliseconds } from "oleandergap-types";
import type { PlatformOptions } from "./options.js";

/** Endpoint, limits and lifetime of the connections. */
export interface ReplaceablePoolOptions extends PlatformOptions {
    readonly clock: Clock;
    /** Closes the connections when it aborts. */
    readonly signal?: AbortSignal;
}

/**
 * A pool whose connections can be replaced. Each exchange stays on the connection that it was started on. The pool adds
 * the `host` header.
 */
export interface ReplaceablePool extends RequestTransport {
    /** Returns how often the connections were replaced. */
    readonly generation: () => number;
    /** Replaces the connections of `generation`. Does nothing if they were already replaced. */
    readonly replace: (generation: number) => void;
}

/** Idle time after which a connection is closed. Shorter than the 5 s after which Node.js servers close theirs. */
const IDLE_MS: Milliseconds = 4000;

/** Creates the pool. Connections are opened on first use. `onReplace` is called at each replacement. */
export const createReplaceablePool = (options: ReplaceablePoolOptions, onReplace: () => void): ReplaceablePool => {
    const { clock, address, port, connections, timeoutMs } = options;
    const pool = createHttpPool({
        clock,
        connect: createConnector({ clock, timeoutMs }),
        address,
        port,
        idleMs: IDLE_MS,
    });
    pool.limitConnections(connections);
    const host = address.includes(":") ? `[${address}]:${port}` : `${address}:${port}`;
    let generation = 0;

    /**
     * A network device between the two ends may drop the state of a connection. The connection then never responds
     * again although new ones work, and every call on it would time out although the platform is healthy. Connections
     * that were opened at the same time are probably affected as well. Therefore the next call uses a new connection,
     * and calls in flight finish on the old ones.
     */
    const replace = (unresponsiveGeneration: number): void => {
        if (unresponsiveGeneration !== generation) {
            return;
        }
        generation += 1;
        onReplace();
        pool.replaceConnections();
    };

    options.signal?.addEventListener("abort", () => {
        pool.replaceConnections();
    }, { once: true });

    return {
        send: (request, receiver) => {
            if (options.signal?.aborted === true) {
                throw new Error("the connections to the platform are closed");
            }
            return pool.send({ ...request, headers: ["host", host, ...request.headers] }, receiver);
        },
        generation: () => generation,
        replace,
    };
};
