/**
 * Records how a connection ended, for the code that handles its end.
 *
 * The HTTP client treats a response with `connection: close` as complete as soon as its connection ends, even if the
 * connection was reset or the last chunk is missing. A caller would receive a part of a document that is framed as the
 * complete document. The listeners of a socket run in the order in which they were added. The listener added here,
 * directly after the connection is established, therefore runs before the client's own listeners and records how the
 * connection ended.
 */
import { Socket } from "node:net";
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";
import { startReadAwareTimer } from "oleandergap-utils";
import { buildConnector, errors } from "undici";

/**
 * `Reset`: the connection failed with an error. `Finished`: the remote side closed it, as far as the runtime can tell.
 */
export type SocketEndKind = "Reset" | "Finished";

/** The end of a connection that is currently being handled. */
export interface SocketEnd {
    readonly kind: SocketEndKind;
    readonly socket: Socket;
}

let currentEnd: SocketEnd | undefined;

const recordEnd = (kind: SocketEndKind, socket: Socket): void => {
    currentEnd = { kind, socket };
    // Runs after all listeners of this event and before the next event.
    queueMicrotask(() => {
        currentEnd = undefined;
    });
};

/** Returns the connection end that is currently being handled; undefined while data arrives. */
export const getCurrentSocketEnd = (): SocketEnd | undefined => currentEnd;

/** Records the end of a socket. Must be called before any other listener is added. */
export const trackSocketEnd = (socket: Socket): void => {
    socket.on("error", () => recordEnd("Reset", socket));
    socket.on("end", () => recordEnd("Finished", socket));
};

/** Servers ignore an empty line between two requests (RFC 9112, section 2.2). */
const EMPTY_LINE = "\r\n";

/**
 * Returns whether a connection that seems to have finished was reset.
 *
 * When the last data and a reset arrive together, the runtime reports the data and then an end, but not the reset. A
 * write detects it: the operating system fails a write immediately after a reset, and accepts it if only the other
 * direction has ended.
 */
export const wasReset = ({ kind, socket }: SocketEnd): boolean => {
    if (kind === "Reset") {
        return true;
    }
    socket.write(EMPTY_LINE);
    return socket.errored !== null;
};

/** Dependencies of the connector. */
export interface TrackedConnectorOptions {
    readonly clock: Clock;
    /** Time after which a connection attempt is aborted. */
    readonly timeoutMs: Milliseconds;
    readonly build?: typeof buildConnector;
}

/**
 * Creates a connector that records how connections end and enforces the connect timeout. The library checks its own
 * timeout in steps of half a second: connections to an unreachable zone failed after 560 to 830 ms instead of 250 to
 * 500 ms. By then most callers had disconnected, so requests were not sent to other targets in time.
 */
export const createTrackedConnector = (
    { clock, timeoutMs, build = buildConnector }: TrackedConnectorOptions,
): buildConnector.connector => {
    // The other direction has to stay open, because otherwise a write after the end would not distinguish a reset.
    const connect = build({ timeout: 2 * timeoutMs, noDelay: true, keepAlive: true, allowHalfOpen: true });
    return (target, callback) => {
        let cancelTimer: CancelTimer = () => undefined;
        const pending: unknown = connect(target, (...result) => {
            cancelTimer();
            const [, socket] = result;
            if (socket instanceof Socket) {
                trackSocketEnd(socket);
            }
            callback(...result);
        });
        if (pending instanceof Socket) {
            cancelTimer = startReadAwareTimer(clock, timeoutMs, () => {
                pending.destroy(new errors.ConnectTimeoutError(`no connection within ${timeoutMs} ms`));
            });
        }
    };
};
