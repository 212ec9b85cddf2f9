/** Servers on the loopback interface for the tests of this package. */
import http, { type IncomingMessage, type ServerResponse } from "node:http";
import net from "node:net";

export const LOOPBACK = "127.0.0.1";

/** Registers a function that runs after the test. The functions run in reverse order. */
export type Cleanup = (end: () => unknown) => void;

export const createCleanup = (): { readonly add: Cleanup; readonly run: () => Promise<void> } => {
    const callbacks: (() => unknown)[] = [];
    return {
        add: (callback) => {
            callbacks.push(callback);
        },
        run: async () => {
            for (const callback of callbacks.splice(0).reverse()) {
                await callback();
            }
        },
    };
};

/** Returns ports that are currently free. */
export const reservePorts = async (count: number): Promise<readonly number[]> => {
    const servers = await Promise.all(Array.from({ length: count }, () => new Promise<net.Server>((resolve) => {
        const server = net.createServer();
        server.listen(0, LOOPBACK, () => resolve(server));
    })));
    const ports = servers.map((server) => (server.address() as net.AddressInfo).port);
    await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
    return ports;
};

/** Starts an HTTP server as a target. Returns its port. */
export const startTarget = async (
    cleanup: Cleanup,
    handle: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<number> => {
    const server = http.createServer(handle);
    await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
    cleanup(() => {
        server.close();
        server.closeAllConnections();
    });
    return (server.address() as net.AddressInfo).port;
};

/** Starts a TCP server as a target that violates the HTTP protocol. Returns its port. */
export const startRawTarget = async (cleanup: Cleanup, handle: (socket: net.Socket) => void): Promise<number> => {
    const sockets = new Set<net.Socket>();
    const server = net.createServer((socket) => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        handle(socket);
    });
    await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
    cleanup(() => {
        server.close();
        sockets.forEach((socket) => socket.destroy());
    });
    return (server.address() as net.AddressInfo).port;
};

/** Polls `condition` every millisecond until it is true. The timeout of the test limits the wait. */
export const waitUntil = async (condition: () => boolean): Promise<void> => {
    while (!condition()) {
        await new Promise<void>((resolve) => setTimeout(resolve, 1));
    }
};
