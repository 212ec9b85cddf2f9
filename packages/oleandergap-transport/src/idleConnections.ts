/** The idle connections of a pool. The connection that was used last is used first, so that the others can expire. */
import type { Clock, Milliseconds } from "oleandergap-types";
import type { HttpConnection } from "./httpConnection.js";

/** A connection that can be kept while it is idle. */
export interface KeptConnection {
    readonly connection: HttpConnection;
    idleSince: Milliseconds;
}

export interface IdleConnections<Connection extends KeptConnection> {
    readonly add: (kept: Connection) => void;
    /** Removes and returns the connection that was used last, unless all were idle for too long. */
    readonly take: () => Connection | undefined;
    readonly remove: (kept: Connection) => void;
    readonly clear: () => void;
    /** Closes the connections that were idle for too long; also done at intervals of the idle time. */
    readonly sweep: () => void;
}

/**
 * Creates the list.
 *
 * @param idleMs Idle time after which a connection is not used any more
 */
export const createIdleConnections = <Connection extends KeptConnection>(
    clock: Clock,
    idleMs: Milliseconds,
): IdleConnections<Connection> => {
    let connections: Connection[] = [];
    let isSweepScheduled = false;

    const isExpired = ({ connection, idleSince }: KeptConnection): boolean =>
        clock.monotonic() - idleSince >= Math.min(idleMs, connection.remoteIdleMs() ?? idleMs);

    const sweep = (): void => {
        const expired = connections.filter(isExpired);
        connections = connections.filter((kept) => !expired.includes(kept));
        for (const { connection } of expired) {
            connection.retire();
        }
    };

    const scheduleSweep = (): void => {
        if (isSweepScheduled) {
            return;
        }
        isSweepScheduled = true;
        clock.after(idleMs, () => {
            isSweepScheduled = false;
            sweep();
            if (connections.length > 0) {
                scheduleSweep();
            }
        });
    };

    return {
        add: (kept) => {
            kept.idleSince = clock.monotonic();
            connections.push(kept);
            scheduleSweep();
        },
        take: () => {
            for (;;) {
                const kept = connections.pop();
                if (kept === undefined || !isExpired(kept)) {
                    return kept;
                }
                kept.connection.retire();
            }
        },
        remove: (kept) => {
            const index = connections.indexOf(kept);
            if (index !== -1) {
                connections.splice(index, 1);
            }
        },
        clear: () => {
            connections = [];
        },
        sweep,
    };
};
