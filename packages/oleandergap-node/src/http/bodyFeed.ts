/**
 * Feeds a request's body into an exchange. Only the buffered prefix of a streaming body is sent until the receiver has
 * admitted the request.
 *
 * Without this, a large upload could not be retried at another target after a gate refuses it, because its first part
 * would already have been consumed. The caller would see a refused upload although another target had capacity for it.
 * Holding the rest back until admission keeps the request replayable.
 */
import type { OutgoingBody } from "oleandergap-transport";
import type { RequestBody, StreamingBody } from "./requestBody.js";

export interface BodyFeed {
    readonly body: OutgoingBody;
    /** Starts to send the rest of a streaming body. */
    readonly open: () => void;
    /**
     * Stops the feed. A body that still waits for admission breaks off. The rest of a body that this feed has begun to
     * send is dropped, because nobody else can send it.
     */
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

    let isClosed = false;
    let hasTakenRest = false;

    const generate = async function* (): AsyncGenerator<Buffer> {
        yield body.prefix;
        // The admission and the end of the exchange may have been read together.
        if (!await admission || isClosed) {
            throw new Error("the request was aborted before its body was sent completely");
        }
        hasTakenRest = !body.isRestTaken();
        yield* body.rest();
    };

    return {
        // With its length, the receiver does not wait for as many bytes as it buffers while only the prefix is sent.
        body: { kind: "Streamed", length: body.length, chunks: generate },
        open: () => resolveAdmission(true),
        close: () => {
            isClosed = true;
            resolveAdmission(false);
            if (hasTakenRest) {
                body.discardTakenRest();
            }
        },
    };
};

export const createBodyFeed = (body: RequestBody, awaitAdmission: boolean): BodyFeed =>
    body.kind === "Streaming" ? createStreamingFeed(body, awaitAdmission) : { body, open: noop, close: noop };
