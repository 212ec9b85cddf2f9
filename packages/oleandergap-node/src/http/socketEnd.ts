/**
 * Tells how a connection ended while the end is being handled.
 *
 * The HTTP client takes an answer with `connection: close` for whole as soon as its connection ends, also when it was
 * reset on the way or lacks its last chunk; a caller would receive a part of a document framed as all of it. Listeners
 * of a socket run in the order in which they were added and before anything else, so that the one added here, right
 * after the connection is made, tells the client's own handling what it is about.
 */
import { Socket } from "node:net";
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";
import { afterReading } from "oleandergap-utils";
import { buildConnector, errors } from "undici";

/** `Reset`: with an error. `Finished`: the other side sent its end, as far as the runtime can tell. */
export type SocketEndKind = "Reset" | "Finished";

/** The end of a connection, while it is handled. */
export interface SocketEnd {
    readonly kind: SocketEndKind;
    readonly socket: Socket;
}

let current: SocketEnd | undefined;

const note = (kind: SocketEndKind, socket: Socket): void => {
    current = { kind, socket };
    // Runs after all listeners of this event and before the next one.
    queueMicrotask(() => {
        current = undefined;
    });
};

/** The end that is being handled now; undefined while data arrives. */
export const readSocketEnd = (): SocketEnd | undefined => current;

/** Watches a socket that nobody else listens to yet. */
export const watchSocketEnd = (socket: Socket): void => {
    socket.on("error", () => note("Reset", socket));
    socket.on("end", () => note("Finished", socket));
};

/** Between two requests, servers skip an empty line (RFC 9112, section 2.2). */
const EMPTY_LINE = "\r\n";

/**
 * Whether a connection that seems to have finished was reset.
 *
 * When the last data and a reset arrive together, the runtime reports the data and then an end, and never the reset.
 * The system knows better: a write fails at once after a reset, and succeeds while only the other direction has ended.
 */
export const wasReset = ({ kind, socket }: SocketEnd): boolean => {
    if (kind === "Reset") {
        return true;
    }
    socket.write(EMPTY_LINE);
    return socket.errored !== null;
};

/** What connections are made with. */
export interface WatchedConnectorOptions {
    readonly clock: Clock;
    /** A connection that is not open after this time is given up. */
    readonly timeoutMs: Milliseconds;
    readonly build?: typeof buildConnector;
}

/**
 * Makes connections whose ends are watched, and gives them up in time. The library's own time limit is counted in
 * steps of half a second: connections to a zone that was cut off were given up after 560 to 830 ms instead of 250 to
 * 500, when most callers had left already, so that nothing was sent elsewhere in time.
 */
export const createWatchedConnector = (
    { clock, timeoutMs, build = buildConnector }: WatchedConnectorOptions,
): buildConnector.connector => {
    // Without the other direction being kept open, a write after the end would tell nothing.
    const connect = build({ timeout: 2 * timeoutMs, noDelay: true, keepAlive: true, allowHalfOpen: true });
    return (target, callback) => {
        let cancelTimer: CancelTimer = () => undefined;
        const pending: unknown = connect(target, (...result) => {
            cancelTimer();
            const [, socket] = result;
            if (socket instanceof Socket) {
                watchSocketEnd(socket);
            }
            callback(...result);
        });
        if (pending instanceof Socket) {
            cancelTimer = afterReading(clock, timeoutMs, () => {
                pending.destroy(new errors.ConnectTimeoutError(`no connection within ${timeoutMs} ms`));
            });
        }
    };
};
