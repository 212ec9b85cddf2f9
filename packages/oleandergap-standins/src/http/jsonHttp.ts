/** Helpers for Node's HTTP server that the stand-ins share. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

const OK = 200;

/** Reads the whole body into memory. Intended for control requests and platform calls, not for uploads. */
export const readBody = async (request: IncomingMessage): Promise<Buffer> => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks);
};

/** Reads a JSON body. An empty body counts as `{}`. Rejects with a `SyntaxError` if the body is not JSON. */
export const readJson = async (request: IncomingMessage): Promise<unknown> => {
    const body = await readBody(request);
    return body.length === 0 ? {} : JSON.parse(body.toString("utf8")) as unknown;
};

/** Sends `value` as JSON and ends the response. */
export const sendJson = (
    response: ServerResponse,
    value: unknown,
    status: number = OK,
    headers: Readonly<Record<string, string>> = {},
): void => {
    const body = JSON.stringify(value);
    response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        ...headers,
    });
    response.end(body);
};

/** Starts to listen. Resolves with the port, rejects with the system error (for example `EADDRINUSE`). */
export const listen = (server: Server, address: string, port: number): Promise<number> =>
    new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host: address, port }, () => {
            server.off("error", reject);
            resolve((server.address() as AddressInfo).port);
        });
    });

/** Connections that are still open this long after a graceful close are considered unresponsive and are reset. */
const CLOSE_TIMEOUT_MS = 1000;

/** Stops listening and waits until all requests have ended. Closes idle connections immediately. */
export const closeGracefully = (server: Server): Promise<void> =>
    new Promise((resolve) => {
        const resetTimer = setTimeout(() => server.closeAllConnections(), CLOSE_TIMEOUT_MS);
        server.close(() => {
            clearTimeout(resetTimer);
            resolve();
        });
        server.closeIdleConnections();
    });

/** Stops listening and resets all connections, as a killed process would. */
export const closeAbruptly = (server: Server): Promise<void> =>
    new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
    });

/** Returns the path of a request without its query. */
export const readPath = (request: IncomingMessage): string => {
    const url = request.url ?? "/";
    const pathEnd = url.indexOf("?");
    return pathEnd < 0 ? url : url.slice(0, pathEnd);
};
