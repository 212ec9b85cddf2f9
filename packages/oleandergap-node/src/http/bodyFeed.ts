/**
 * Feeds a request's body into an exchange. Only the buffered prefix of a streaming body is sent until the receiver has
 * admitted the request.
 *
 * Without this, a large upload could not be retried at another target after a gate refuses it, because its first part
 * would already have been consumed. The caller would see a refused upload although another target had capacity for it.
 * Holding the rest back until admission keeps the request replayable.
 */
import { Readable } from "node:stream";
import type { RequestBody, StreamingBody } from "./requestBody.js";

export interface BodyFeed {
    /** Body as undici expects it: null, a buffer or a stream. */
    readonly body: Buffer | Readable | null;
    /** Starts to send the rest of a streaming body. */
    readonly open: () => void;
    /** Stops the feed. A stream that still waits for admission fails. */
    readonly close: () => void;
}

const noop = (): void => undefined;

const createStreamingFeed = (body: StreamingBody, awaitAdmission: boolean): BodyFeed => {
    let resolveAdmission: (isAdmitted: boolean) => void = noop;
    const admission = new Promise<boolean>((resolve) => {
        resolveAdmission = resolve;
    });
    if (!awaitAdmission) {
        resolveAdmission(true);
    }

    const generate = async function* (): AsyncGenerator<Buffer> {
        yield body.prefix;
        if (!await admission) {
            throw new Error("the request was aborted before its body was sent completely");
        }
        yield* body.rest();
    };

    const stream = Readable.from(generate(), { objectMode: false });
    // The exchange may already have ended when the feed is closed. The stream error would then have no other listener
    // and would terminate the process.
    stream.on("error", noop);
    return { body: stream, open: () => resolveAdmission(true), close: () => resolveAdmission(false) };
};

export const createBodyFeed = (body: RequestBody, awaitAdmission: boolean): BodyFeed => {
    switch (body.kind) {
        case "Empty":
            return { body: null, open: noop, close: noop };
        case "Buffered":
            return { body: body.bytes, open: noop, close: noop };
        case "Streaming":
            return createStreamingFeed(body, awaitAdmission);
    }
};
