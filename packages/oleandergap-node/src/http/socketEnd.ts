/**
 * Tells how a connection ended while the end is being handled.
 *
 * The HTTP client takes an answer with `connection: close` for whole as soon as its connection ends, also when it was
 * reset on the way or lacks its last chunk; a caller would receive a part of a document framed as all of it. Listeners
 * of a socket run in the order in which they were added and before anything else, so that the one added here, right
 * after the connection is made, tells the client's own handling what it is about.
 */
import { Socket } from "node:net";
import { buildConnector } from "undici";

/** `Reset`: with an error. `Finished`: the other side sent its end. */
export type SocketEnd = "Reset" | "Finished";

let current: SocketEnd | undefined;

const note = (end: SocketEnd): void => {
    current = end;
    // Runs after all listeners of this event and before the next one.
    queueMicrotask(() => {
        current = undefined;
    });
};

/** The end that is being handled now; undefined while data arrives. */
export const readSocketEnd = (): SocketEnd | undefined => current;

/** Watches a socket that nobody else listens to yet. */
export const watchSocketEnd = (socket: Socket): void => {
    socket.on("error", () => note("Reset"));
    socket.on("end", () => note("Finished"));
};

/** Makes connections whose ends are watched. */
export const createWatchedConnector = (options: buildConnector.BuildOptions): buildConnector.connector => {
    const connect = buildConnector(options);
    return (target, callback) => {
        connect(target, (...result) => {
            const [, socket] = result;
            if (socket instanceof Socket) {
                watchSocketEnd(socket);
            }
            callback(...result);
        });
    };
};
