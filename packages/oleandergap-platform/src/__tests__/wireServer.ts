/** HTTP server on loopback whose responses are controlled by a test. */
import { once } from "node:events";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

export interface WireServer {
    readonly port: number;
    /** Sets the handler of all requests from now on. */
    readonly respondWith: (handleRequest: RequestHandler) => void;
    /** Resolves when the next request has been received. */
    readonly waitForRequest: () => Promise<void>;
    /** Returns the number of connections accepted so far. */
    readonly connections: () => number;
    readonly close: () => Promise<void>;
}

export const createJsonHandler = (value: unknown, status = 200): RequestHandler => (_request, response) => {
    response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(value));
};

export const ignoreRequest: RequestHandler = () => undefined;

export const startWireServer = async (): Promise<WireServer> => {
    let handleRequest = ignoreRequest;
    let connections = 0;
    const sockets = new Set<Socket>();
    const server = createServer((request, response) => {
        request.resume();
        request.on("end", () => {
            handleRequest(request, response);
            server.emit("requestHandled");
        });
    });
    server.on("connection", (socket) => {
        connections += 1;
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return {
        port: (server.address() as AddressInfo).port,
        respondWith: (next) => {
            handleRequest = next;
        },
        waitForRequest: async () => {
            await once(server, "requestHandled");
        },
        connections: () => connections,
        close: async () => {
            sockets.forEach((socket) => socket.destroy());
            server.close();
            await once(server, "close");
        },
    };
};
