/** Servers and clients on the loopback interface for the tests of this package. */
import http, { type IncomingHttpHeaders, type IncomingMessage, type ServerResponse } from "node:http";
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

export interface ReceivedResponse {
    readonly statusCode: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
    /** Whether the response was received completely. */
    readonly isComplete: boolean;
}

export interface CallOptions {
    readonly port: number;
    readonly method?: string;
    readonly path?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: Buffer | string;
    readonly signal?: AbortSignal;
}

const receive = (response: IncomingMessage, resolve: (received: ReceivedResponse) => void): void => {
    const chunks: Buffer[] = [];
    const finish = (): void => resolve({
        statusCode: response.statusCode ?? 0,
        headers: response.headers,
        body: Buffer.concat(chunks),
        isComplete: response.complete,
    });
    response.on("data", (chunk: Buffer) => chunks.push(chunk));
    response.on("error", () => undefined);
    response.on("close", finish);
};

/** Sends a request on a new connection. Rejects if there is no response at all. */
export const sendHttpRequest = ({ port, method = "GET", path = "/", headers = {}, body, signal }: CallOptions): Promise<ReceivedResponse> =>
    new Promise((resolve, reject) => {
        const request = http.request({
            host: LOOPBACK, port, method, path, headers, agent: false, ...(signal === undefined ? {} : { signal }),
        }, (response) => receive(response, resolve));
        request.on("error", reject);
        request.end(body);
    });

/** Sends `text` unchanged and returns everything that is received until the connection closes. */
export const callRaw = (port: number, text: string): Promise<string> =>
    new Promise((resolve) => {
        const socket = net.connect(port, LOOPBACK);
        let received = "";
        socket.on("data", (chunk) => {
            received += chunk.toString("latin1");
        });
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(received));
        socket.write(text);
    });

/** Polls `condition` every millisecond until it is true. The timeout of the test limits the wait. */
export const waitUntil = async (condition: () => boolean): Promise<void> => {
    while (!condition()) {
        await new Promise<void>((resolve) => setTimeout(resolve, 1));
    }
};
