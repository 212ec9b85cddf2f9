/** Datagram transport over UDP. */
import { createSocket, type Socket } from "node:dgram";
import { isIPv6 } from "node:net";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Logger } from "oleandergap-logger";
import type { DatagramTransport, Endpoint, ReceiveDatagram, TransportError } from "./transport.js";

/** Size of the receive buffer in bytes, which holds a burst of several hundred datagrams while the process is busy. */
const RECEIVE_BUFFER_BYTES = 1_048_576;

export interface UdpTransportOptions {
    /** Address to bind. It is also the source address of sent datagrams. */
    readonly address: string;
    /** Port to bind; with 0, the operating system selects one. */
    readonly port: number;
    readonly logger: Logger;
}

const bind = (socket: Socket, { address, port }: UdpTransportOptions): Promise<Either<TransportError, Endpoint>> =>
    new Promise((resolve) => {
        const fail = (error: Error): void => {
            resolve(either.left({ kind: "BindFailed", detail: error.message }));
        };
        socket.once("error", fail);
        socket.bind({ address, port, exclusive: true }, () => {
            socket.off("error", fail);
            const bound = socket.address();
            resolve(either.right({ address: bound.address, port: bound.port }));
        });
    });

const enlargeBuffer = (socket: Socket, logger: Logger): void => {
    try {
        socket.setRecvBufferSize(RECEIVE_BUFFER_BYTES);
    }
    catch (error) {
        logger.debug("receive buffer not enlarged", { detail: String(error) });
    }
};

/**
 * Creates a UDP transport that binds exclusively: a second process on the same port fails instead of silently receiving
 * part of the datagrams.
 */
export const createUdpTransport = (options: UdpTransportOptions): DatagramTransport => {
    let socket: Socket | undefined;

    const close = (): void => {
        const closing = socket;
        socket = undefined;
        closing?.close();
    };

    const open = async (receive: ReceiveDatagram, signal: AbortSignal): Promise<Either<TransportError, Endpoint>> => {
        const opened = createSocket(isIPv6(options.address) ? "udp6" : "udp4");
        const bound = await bind(opened, options);
        if (either.isLeft(bound) || signal.aborted) {
            opened.close();
            return either.isLeft(bound) ? bound : either.left({ kind: "BindFailed", detail: "aborted while binding" });
        }
        socket = opened;
        enlargeBuffer(opened, options.logger);
        // A datagram that is rejected by the host of its receiver causes an error event on the socket, which would
        // terminate the process without a listener.
        opened.on("error", (error) => {
            options.logger.debug("socket error", { detail: error.message });
        });
        opened.on("message", (payload, sender) => {
            receive(payload, { address: sender.address, port: sender.port });
        });
        signal.addEventListener("abort", close, { once: true });
        return bound;
    };

    const send = (to: Endpoint, payload: Uint8Array): void => {
        try {
            socket?.send(payload, to.port, to.address, (error) => {
                if (error !== null) {
                    options.logger.debug("datagram not sent", { detail: error.message });
                }
            });
        }
        catch (error) {
            options.logger.debug("datagram not sent", { detail: String(error) });
        }
    };

    return { open: (receive, signal) => () => open(receive, signal), send };
};
