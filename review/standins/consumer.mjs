// A consumer's connection: requests one after the other, each answer read in full.
import net from "node:net";

const parseHead = (text) => {
    const [line, ...lines] = text.split("\r\n");
    const headers = Object.fromEntries(lines.map((header) => {
        const colon = header.indexOf(":");
        return [header.slice(0, colon).toLowerCase(), header.slice(colon + 1).trim()];
    }));
    return { status: Number(line.split(" ")[1]), headers };
};

/** Reads a complete chunked body; undefined if it is not complete. */
const readChunks = (bytes) => {
    const parts = [];
    let at = 0;
    for (;;) {
        const end = bytes.indexOf("\r\n", at);
        if (end === -1) {
            return undefined;
        }
        const size = Number.parseInt(bytes.toString("latin1", at, end), 16);
        if (bytes.length < end + 2 + size + 2) {
            return undefined;
        }
        parts.push(bytes.subarray(end + 2, end + 2 + size));
        at = end + 2 + size + 2;
        if (size === 0) {
            return { body: Buffer.concat(parts), used: at };
        }
    }
};

/** Opens a connection to a daemon. */
export const openConnection = (host, port) => new Promise((resolve, reject) => {
    let pending = Buffer.alloc(0);
    let isClosed = false;
    const waiting = [];
    const socket = net.connect({ host, port, noDelay: true });

    const settle = (answer) => waiting.shift()?.(answer);
    const parse = () => {
        for (;;) {
            const end = pending.indexOf("\r\n\r\n");
            if (end === -1) {
                return;
            }
            const head = parseHead(pending.toString("latin1", 0, end));
            const rest = pending.subarray(end + 4);
            if (head.status < 200) {
                pending = rest;
                continue;
            }
            const isChunked = /chunked/i.test(head.headers["transfer-encoding"] ?? "");
            const length = Number(head.headers["content-length"] ?? 0);
            const read = isChunked ? readChunks(rest) : { body: rest.subarray(0, length), used: length };
            if (read === undefined || rest.length < read.used) {
                return;
            }
            pending = rest.subarray(read.used);
            settle({ ...head, body: read.body, at: performance.now() });
        }
    };
    socket.on("connect", () => resolve({
        socket,
        isClosed: () => isClosed,
        /** Writes bytes. Resolves when the connection has taken them. */
        write: (bytes) => new Promise((taken) => socket.write(bytes, () => taken())),
        /** Resolves with the next answer; undefined if the connection ends without one. */
        receive: () => isClosed ? Promise.resolve(undefined) : new Promise((later) => waiting.push(later)),
        close: () => socket.destroy(),
    }));
    socket.on("data", (bytes) => {
        pending = Buffer.concat([pending, bytes]);
        parse();
    });
    socket.on("error", (error) => reject(error));
    socket.on("close", () => {
        isClosed = true;
        while (waiting.length > 0) {
            settle(undefined);
        }
    });
});

/** Formats the head of a request. */
export const formatHead = (method, path, headers) =>
    `${method} ${path} HTTP/1.1\r\n${Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("")}\r\n`;
