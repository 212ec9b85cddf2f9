/** Response of a target stand-in. It contains the target and the received request, so that callers can check both. */
import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";

/** Body of every response. */
export const echoSchema = z.object({
    target: z.string(),
    partner: z.string(),
    service: z.string(),
    method: z.string(),
    path: z.string(),
    runKey: z.string().optional(),
    requestId: z.string().optional(),
    bodyBytes: z.number().int().nonnegative(),
    /** SHA-256 of the request body, in hexadecimal. */
    bodyDigest: z.string(),
    padding: z.string().optional(),
});
/** Description of the target and of the request that it received. */
export type Echo = z.infer<typeof echoSchema>;

/** Size and SHA-256 of a complete body. */
export interface BodySummary {
    readonly bytes: number;
    readonly digest: string;
}

/**
 * Reads a request body in chunks, so that a large upload is never held in memory. Rejects if the body is incomplete.
 */
export const summariseBody = async (request: IncomingMessage): Promise<BodySummary> => {
    const hash = createHash("sha256");
    let bytes = 0;
    for await (const chunk of request) {
        const chunkBytes = chunk as Buffer;
        bytes += chunkBytes.length;
        hash.update(chunkBytes);
    }
    if (!request.complete) {
        throw new Error("the request body is incomplete");
    }
    return { bytes, digest: hash.digest("hex") };
};

const PADDING_CHUNK = "0123456789abcdef".repeat(1024);
const JSON_SUFFIX = "\"}";

/** Waits for `event` or until the connection is closed. */
const waitForEvent = (response: ServerResponse, event: "drain" | "finish"): Promise<void> =>
    new Promise((resolve) => {
        const onSettled = (): void => {
            response.off(event, onSettled);
            response.off("close", onSettled);
            resolve();
        };
        response.on(event, onSettled);
        response.on("close", onSettled);
    });

const writePadding = async (response: ServerResponse, length: number): Promise<void> => {
    for (let remaining = length; remaining > 0 && !response.destroyed; remaining -= PADDING_CHUNK.length) {
        if (!response.write(PADDING_CHUNK.slice(0, remaining))) {
            await waitForEvent(response, "drain");
        }
    }
};

/** Sends `echo` with `padding` extra characters. If `isTruncated` is set, resets the connection within the body. */
export const sendEcho = async (
    response: ServerResponse,
    echo: Echo,
    padding: number,
    headers: Readonly<Record<string, string>>,
    isTruncated: boolean,
): Promise<void> => {
    const jsonPrefix = `${JSON.stringify(echo).slice(0, -1)},"padding":"`;
    const length = Buffer.byteLength(jsonPrefix) + padding + JSON_SUFFIX.length;
    response.writeHead(200, { "content-type": "application/json", "content-length": length, ...headers });
    response.write(jsonPrefix);
    await writePadding(response, isTruncated ? Math.floor(padding / 2) : padding);
    if (isTruncated) {
        // Sends the chunks written so far before the connection is reset; otherwise the caller would receive no
        // response.
        setImmediate(() => response.destroy());
        return;
    }
    response.end(JSON_SUFFIX);
    if (!response.writableFinished && !response.destroyed) {
        await waitForEvent(response, "finish");
    }
};
