/** Writes HTTP/1.1 requests (RFC 9112) to a connection. */
import type { Socket } from "node:net";
import type { OutgoingRequest, StreamedBody } from "./requestTransport.js";
import { FIELD_VALUE_PATTERN, HEXADECIMAL, TOKEN_PATTERN } from "./syntax.js";

const PATH_PATTERN = /^(?:\/|https?:\/\/)[\x21-\x7E\x80-\xFF]*$/;
const LINE_BREAK_OR_NUL_PATTERN = /[\r\n\0]/;

/** Methods whose requests usually have a body, so that a missing one is declared. */
const METHODS_WITH_BODY: ReadonlySet<string> = new Set(["POST", "PUT", "PATCH"]);

/** Maximum size of a body that is copied behind its head, so that both are written at once. */
const MAX_COPIED_BYTES = 16 * 1024;

const formatFraming = ({ method, body }: OutgoingRequest): string => {
    switch (body.kind) {
        case "Empty":
            return METHODS_WITH_BODY.has(method) ? "content-length: 0\r\n" : "";
        case "Buffered":
            return `content-length: ${body.bytes.length}\r\n`;
        case "Streamed":
            return body.length === undefined ? "transfer-encoding: chunked\r\n" : `content-length: ${body.length}\r\n`;
    }
};

/**
 * Returns the head of a request.
 *
 * @throws Error when a part of the head would break its framing.
 */
export const formatRequestHead = (request: OutgoingRequest): string => {
    const { method, path, headers } = request;
    if (!TOKEN_PATTERN.test(method) || !PATH_PATTERN.test(path)) {
        throw new Error(`the request line "${method} ${path.slice(0, 80)}" cannot be sent`);
    }
    let head = `${method} ${path} HTTP/1.1\r\nconnection: keep-alive\r\n`;
    for (let index = 0; index + 1 < headers.length; index += 2) {
        const name = headers[index] ?? "";
        const value = headers[index + 1] ?? "";
        if (LINE_BREAK_OR_NUL_PATTERN.test(name) || !FIELD_VALUE_PATTERN.test(value)) {
            throw new Error(`the value of the header "${name.slice(0, 80)}" cannot be sent`);
        }
        head += `${name}: ${value}\r\n`;
    }
    return `${head}${formatFraming(request)}\r\n`;
};

/** Writes a request whose body is in memory. */
const writeBufferedRequest = (socket: Socket, head: string, body: Buffer | undefined): void => {
    if (body === undefined || body.length === 0) {
        socket.write(head, "latin1");
        return;
    }
    if (body.length <= MAX_COPIED_BYTES) {
        const bytes = Buffer.allocUnsafe(head.length + body.length);
        bytes.write(head, 0, "latin1");
        body.copy(bytes, head.length);
        socket.write(bytes);
        return;
    }
    socket.cork();
    socket.write(head, "latin1");
    socket.write(body);
    socket.uncork();
};

const waitForDrain = (socket: Socket): Promise<void> =>
    new Promise((resolve) => {
        const settle = (): void => {
            socket.off("drain", settle);
            socket.off("close", settle);
            resolve();
        };
        socket.on("drain", settle);
        socket.on("close", settle);
    });

/** Writes a request whose body is streamed, and reads the next part only when the last one is on its way. */
const writeStreamedRequest = async (
    socket: Socket,
    head: string,
    body: StreamedBody,
    isActive: () => boolean,
): Promise<void> => {
    let writtenBytes = 0;
    const writeChunk = (chunk: Buffer): boolean => {
        writtenBytes += chunk.length;
        if (body.length !== undefined) {
            if (writtenBytes > body.length) {
                throw new Error("the body is longer than its declared length");
            }
            return socket.write(chunk);
        }
        socket.cork();
        socket.write(`${chunk.length.toString(HEXADECIMAL)}\r\n`, "latin1");
        socket.write(chunk);
        const hasRoom = socket.write("\r\n", "latin1");
        socket.uncork();
        return hasRoom;
    };

    socket.write(head, "latin1");
    for await (const chunk of body.chunks()) {
        if (!isActive()) {
            return;
        }
        // A chunk of no bytes would be the end of a chunked body.
        if (chunk.length > 0 && !writeChunk(chunk)) {
            await waitForDrain(socket);
        }
    }
    if (!isActive()) {
        return;
    }
    if (body.length === undefined) {
        socket.write("0\r\n\r\n", "latin1");
    }
    else if (writtenBytes !== body.length) {
        throw new Error("the body is shorter than its declared length");
    }
};

/**
 * Writes a request. Resolves when all of it was written.
 *
 * @param head See `formatRequestHead`
 * @param isActive Returns false when the request was given up, which ends the writing
 * @throws Error when a streamed body breaks off or does not have its declared length.
 */
export const writeRequest = (
    socket: Socket,
    { body }: OutgoingRequest,
    head: string,
    isActive: () => boolean,
): Promise<void> | undefined => {
    if (body.kind === "Streamed") {
        return writeStreamedRequest(socket, head, body, isActive);
    }
    writeBufferedRequest(socket, head, body.kind === "Buffered" ? body.bytes : undefined);
    return undefined;
};
