/** A caller that sends requests behind others on one connection, for tests. */
import net from "node:net";
import { HOST } from "./gatewaySupport.js";
import { LOOPBACK, type Cleanup } from "./support.js";

/** A caller that sends requests behind others on one connection. */
export interface PipeliningCaller {
    readonly socket: net.Socket;
    readonly send: (...paths: readonly string[]) => void;
    readonly received: () => string;
    /** Returns the bodies of the responses received so far, in order. */
    readonly bodies: () => readonly string[];
    readonly isClosed: () => boolean;
}

/** Returns a request without a body as it is sent. `headers` are complete lines. */
export const createRequestText = (path: string, headers = ""): string => `GET /${path} HTTP/1.1\r\nhost: ${HOST}\r\n${headers}\r\n`;

/** Connects to a listener. */
export const connectCaller = (cleanup: Cleanup, port: number): PipeliningCaller => {
    const socket = net.connect(port, LOOPBACK);
    cleanup(() => socket.destroy());
    let received = "";
    let isClosed = false;
    socket.on("data", (chunk) => {
        received += chunk.toString("latin1");
    });
    socket.on("error", () => undefined);
    socket.on("close", () => {
        isClosed = true;
    });
    return {
        socket,
        send: (...paths) => {
            socket.write(paths.map((path) => createRequestText(path)).join(""));
        },
        received: () => received,
        bodies: () => [...received.matchAll(/<([^>]*)>/g)].map(([, body]) => body ?? ""),
        isClosed: () => isClosed,
    };
};
