/**
 * Reads and drops what a sender still sends of a request whose response is decided, for example of an upload that its
 * target has answered before it has arrived. The next request of the connection is read only behind it. A connection
 * that is closed instead with unread data is reset, and the response that was written before may be lost.
 */
import type { IncomingMessage } from "node:http";
import type { Clock, Milliseconds } from "oleandergap-types";
import type { BodyChunks } from "./readAhead.js";
import type { RequestBody } from "./requestBody.js";

/** Time after which a sender that has not sent the rest is disconnected. Callers wait for responses less long. */
const MAX_DISCARD_MS: Milliseconds = 30_000;

/** Limits of the rest of a request. */
export interface RestLimits {
    readonly clock: Clock;
    /** Maximum size of the complete body. */
    readonly maxBytes: number;
}

/**
 * Returns an iterator over the body. Ending it does not destroy the request, so that a refusal can still be written to
 * the sender.
 */
export const iterateChunks = (request: IncomingMessage): BodyChunks =>
    request.iterator({ destroyOnReturn: false }) as BodyChunks;

/**
 * Drops the chunks that are left. A sender that exceeds the limits is disconnected.
 *
 * @param receivedBytes Size of the part of the body that was read before
 */
export const discardChunks = async (
    request: IncomingMessage,
    chunks: Pick<BodyChunks, "next">,
    { clock, maxBytes }: RestLimits,
    receivedBytes: number,
): Promise<void> => {
    const disconnect = (): void => {
        request.destroy();
    };
    const cancel = clock.after(MAX_DISCARD_MS, disconnect);
    let total = receivedBytes;
    try {
        for (let next = await chunks.next(); next.done !== true; next = await chunks.next()) {
            total += next.value.length;
            if (total > maxBytes) {
                disconnect();
            }
        }
    }
    catch {
        // The connection has ended, and nothing is left to be read.
    }
    cancel();
};

/** Returns whether the request has a body of at least one byte, as far as its head tells. */
export const declaresBody = ({ headers }: IncomingMessage): boolean =>
    headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > 0;

const isDeclaredTooLarge = (request: IncomingMessage, maxBytes: number): boolean =>
    Number(request.headers["content-length"] ?? 0) > maxBytes;

/**
 * Starts to drop what no attempt has taken. Returns false if the rest cannot be read, so that the connection has to be
 * closed.
 *
 * @param body The received body; undefined if it was not received
 */
export const discardRestOfRequest = (
    request: IncomingMessage,
    body: RequestBody | undefined,
    limits: RestLimits,
): boolean => {
    if (body?.kind === "Streaming") {
        body.discardRest();
        return true;
    }
    if (request.complete || !declaresBody(request)) {
        return true;
    }
    if (request.readableDidRead || isDeclaredTooLarge(request, limits.maxBytes)) {
        return false;
    }
    void discardChunks(request, iterateChunks(request), limits, 0);
    return true;
};
