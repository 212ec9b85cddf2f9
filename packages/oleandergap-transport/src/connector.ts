/** Opens TCP connections within a time limit, and finds out how a connection ended. */
import { connect as connectSocket, type Socket } from "node:net";
import type { Clock, Milliseconds } from "oleandergap-types";
import { startReadAwareTimer } from "oleandergap-utils";

/** Time without data after which the operating system probes a connection. */
const KEEP_ALIVE_PROBE_MS: Milliseconds = 60_000;

/** Maximum number of bytes that are read at once, as in Node.js. */
const READ_BYTES = 64 * 1024;

/** A connection attempt was aborted because it took too long. */
export class ConnectTimeoutError extends Error {
    public readonly code = "CONNECT_TIMEOUT";
}

/** Receives what arrives on a connection. The bytes are overwritten after the call. */
export type ReceiveBytes = (bytes: Buffer) => void;

/** Starts to open a connection. */
export type OpenSocket = (address: string, port: number, receive: ReceiveBytes) => Socket;

/** Called once: with the error if the connection could not be opened. */
export type ConnectCallback = (error: Error | undefined) => void;

/** Opens a connection, and returns the socket, which is not connected yet. */
export type Connect = (address: string, port: number, receive: ReceiveBytes, callback: ConnectCallback) => Socket;

export interface ConnectorOptions {
    readonly clock: Clock;
    /** Time after which a connection attempt is aborted. */
    readonly timeoutMs: Milliseconds;
    readonly open?: OpenSocket;
}

/**
 * Buffer into which all connections are read, one after the other. With a buffer for each read, a response of a few
 * hundred bytes would cost 64 KiB.
 */
const readBuffer = Buffer.allocUnsafeSlow(READ_BYTES);

const openSocket: OpenSocket = (address, port, receive) => connectSocket({
    onread: {
        buffer: readBuffer,
        callback: (length, buffer) => {
            receive(Buffer.from(buffer.buffer, buffer.byteOffset, length));
            return true;
        },
    },
    host: address,
    port,
    noDelay: true,
    keepAlive: true,
    keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
    // The other direction has to stay open, because otherwise a write after the end would not show a reset.
    allowHalfOpen: true,
});

/** Creates the function that opens connections. */
export const createConnector = ({ clock, timeoutMs, open = openSocket }: ConnectorOptions): Connect =>
    (address, port, receive, callback) => {
        const socket = open(address, port, receive);
        const cancelTimer = startReadAwareTimer(clock, timeoutMs, () => {
            socket.destroy(new ConnectTimeoutError(`no connection within ${timeoutMs} ms`));
        });
        const finish = (error: Error | undefined): void => {
            cancelTimer();
            socket.off("connect", onConnect);
            socket.off("error", onError);
            socket.off("close", onClose);
            callback(error);
        };
        const onConnect = (): void => finish(undefined);
        const onError = (error: Error): void => finish(error);
        const onClose = (): void => finish(new Error("the connection was given up before it was open"));
        socket.once("connect", onConnect);
        socket.once("error", onError);
        socket.once("close", onClose);
        return socket;
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
export const wasReset = (socket: Socket): boolean => {
    if (socket.errored !== null) {
        return true;
    }
    socket.write(EMPTY_LINE);
    return socket.errored !== null;
};
