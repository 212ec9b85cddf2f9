/**
 * Closes idle connections of a listener before its maximum number of connections is reached.
 *
 * Callers that are refused often open a connection for each retry and keep it open after the response. At the
 * maximum, the listener can only reset new connections, so that callers would be cut off for as long as others keep
 * connections that they do not use.
 */
import type { Socket } from "node:net";

/** Part of the maximum that is kept free, because several connections may be accepted before others have closed. */
const RESERVED_PART = 0.02;

/** The connections of one listener. */
export interface ConnectionReserve {
    /** Records a new connection. Closes those that have been idle for the longest time if too few places are free. */
    readonly recordOpen: (socket: Socket) => void;
    /** Records that a request was read on a connection. */
    readonly recordBusy: (socket: Socket) => void;
    /** Records that all requests of a connection were answered. */
    readonly recordIdle: (socket: Socket) => void;
}

/** Creates the reserve of a listener that accepts at most `maxConnections`. */
export const createConnectionReserve = (maxConnections: number): ConnectionReserve => {
    /** The connection that has been idle for the longest time comes first. */
    const idle = new Set<Socket>();
    const mostOpen = maxConnections - Math.max(1, Math.floor(maxConnections * RESERVED_PART));
    let open = 0;
    /** Closed connections count as open until the runtime reports their end. */
    let closing = 0;

    const closeLongestIdle = (): void => {
        for (const socket of idle) {
            if (open - closing <= mostOpen) {
                return;
            }
            idle.delete(socket);
            closing += 1;
            socket.once("close", () => {
                closing -= 1;
            });
            socket.destroy();
        }
    };

    return {
        recordOpen: (socket) => {
            open += 1;
            socket.once("close", () => {
                open -= 1;
                idle.delete(socket);
            });
            closeLongestIdle();
        },
        recordBusy: (socket) => {
            idle.delete(socket);
        },
        recordIdle: (socket) => {
            if (!socket.destroyed) {
                idle.add(socket);
            }
        },
    };
};
