/**
 * The body of a response as it arrives from a connection. Chunks that arrive before a sink is attached are buffered up
 * to a limit. Then the connection is paused, so that memory use is bounded regardless of the size of the response.
 */
import type { RequestFailure } from "oleandergap-types";
import type { ResponseBody, ResponseSink } from "./upstreamResponse.js";

/** Number of buffered bytes at which the connection is paused. */
const MAX_BUFFERED_BYTES = 64 * 1024;

/** Connection from which a body is received. */
export interface BodySource {
    readonly pause: () => void;
    readonly resume: () => void;
    /** Destroys the connection. */
    readonly abort: (detail: string) => void;
}

export interface ReceivedBody extends ResponseBody {
    readonly push: (chunk: Buffer) => void;
    readonly finish: () => void;
    readonly cutOff: (failure: RequestFailure) => void;
}

type BodyEnd = { readonly kind: "Complete" } | { readonly kind: "CutOff"; readonly failure: RequestFailure };

export const createReceivedBody = (source: BodySource): ReceivedBody => {
    let bufferedChunks: Buffer[] = [];
    let bufferedBytes = 0;
    let isPaused = false;
    let isSinkFull = false;
    let sink: ResponseSink | undefined;
    let bodyEnd: BodyEnd | undefined;
    let isEndDelivered = false;

    const pause = (): void => {
        if (!isPaused) {
            isPaused = true;
            source.pause();
        }
    };

    const deliverEnd = (): void => {
        if (sink === undefined || bodyEnd === undefined || isEndDelivered || bufferedChunks.length > 0) {
            return;
        }
        isEndDelivered = true;
        if (bodyEnd.kind === "Complete") {
            sink.end();
        }
        else {
            sink.fail(bodyEnd.failure);
        }
    };

    const flush = (): void => {
        const chunks = bufferedChunks;
        bufferedChunks = [];
        bufferedBytes = 0;
        for (const chunk of chunks) {
            if (isSinkFull || sink === undefined) {
                bufferedChunks.push(chunk);
                bufferedBytes += chunk.length;
            }
            else {
                isSinkFull = !sink.write(chunk);
            }
        }
        deliverEnd();
        if (!isSinkFull && isPaused && bodyEnd === undefined) {
            isPaused = false;
            source.resume();
        }
    };

    const push = (chunk: Buffer): void => {
        if (sink !== undefined && !isSinkFull) {
            isSinkFull = !sink.write(chunk);
            if (isSinkFull) {
                pause();
            }
            return;
        }
        bufferedChunks.push(chunk);
        bufferedBytes += chunk.length;
        if (bufferedBytes >= MAX_BUFFERED_BYTES) {
            pause();
        }
    };

    const cutOff = (failure: RequestFailure): void => {
        if (bodyEnd === undefined) {
            bodyEnd = { kind: "CutOff", failure };
            // The buffered chunks belong to a response that will never be complete, so they are dropped.
            bufferedChunks = [];
            deliverEnd();
        }
    };

    return {
        push,
        cutOff,
        finish: () => {
            if (bodyEnd === undefined) {
                bodyEnd = { kind: "Complete" };
                deliverEnd();
            }
        },
        deliver: (newSink) => {
            sink = newSink;
            flush();
        },
        resume: () => {
            isSinkFull = false;
            flush();
        },
        cancel: (detail) => {
            if (bodyEnd === undefined) {
                cutOff({ kind: "AnswerCut", verdict: "ran", detail });
                source.abort(detail);
            }
        },
    };
};
