/**
 * The body of a response as it arrives from a connection. Chunks that arrive before a sink is attached are buffered up
 * to a limit. Then the connection is paused, so that memory use is bounded regardless of the size of the response.
 */
import type { RequestFailure } from "oleandergap-types";
import type { AnswerBody, AnswerSink } from "./answer.js";

/** Number of buffered bytes at which the connection is paused. */
const MAX_KEPT_BYTES = 64 * 1024;

/** Connection from which a body is received. */
export interface BodySource {
    readonly pause: () => void;
    readonly resume: () => void;
    /** Destroys the connection. */
    readonly abort: (detail: string) => void;
}

export interface ReceivedBody extends AnswerBody {
    readonly push: (chunk: Buffer) => void;
    readonly finish: () => void;
    readonly breakOff: (failure: RequestFailure) => void;
}

type End = { readonly kind: "Whole" } | { readonly kind: "Broken"; readonly failure: RequestFailure };

export const createReceivedBody = (source: BodySource): ReceivedBody => {
    let kept: Buffer[] = [];
    let keptBytes = 0;
    let paused = false;
    let sinkIsFull = false;
    let sink: AnswerSink | undefined;
    let end: End | undefined;
    let endDelivered = false;

    const pause = (): void => {
        if (!paused) {
            paused = true;
            source.pause();
        }
    };

    const deliverEnd = (): void => {
        if (sink === undefined || end === undefined || endDelivered || kept.length > 0) {
            return;
        }
        endDelivered = true;
        if (end.kind === "Whole") {
            sink.end();
        }
        else {
            sink.fail(end.failure);
        }
    };

    const flush = (): void => {
        const chunks = kept;
        kept = [];
        keptBytes = 0;
        for (const chunk of chunks) {
            if (sinkIsFull || sink === undefined) {
                kept.push(chunk);
                keptBytes += chunk.length;
            }
            else {
                sinkIsFull = !sink.write(chunk);
            }
        }
        deliverEnd();
        if (!sinkIsFull && paused && end === undefined) {
            paused = false;
            source.resume();
        }
    };

    const push = (chunk: Buffer): void => {
        if (sink !== undefined && !sinkIsFull) {
            sinkIsFull = !sink.write(chunk);
            if (sinkIsFull) {
                pause();
            }
            return;
        }
        kept.push(chunk);
        keptBytes += chunk.length;
        if (keptBytes >= MAX_KEPT_BYTES) {
            pause();
        }
    };

    const breakOff = (failure: RequestFailure): void => {
        if (end === undefined) {
            end = { kind: "Broken", failure };
            // The buffered chunks belong to a response that will never be complete, so they are dropped.
            kept = [];
            deliverEnd();
        }
    };

    return {
        push,
        breakOff,
        finish: () => {
            if (end === undefined) {
                end = { kind: "Whole" };
                deliverEnd();
            }
        },
        deliver: (taker) => {
            sink = taker;
            flush();
        },
        resume: () => {
            sinkIsFull = false;
            flush();
        },
        cancel: (detail) => {
            if (end === undefined) {
                breakOff({ kind: "AnswerCut", verdict: "ran", detail });
                source.abort(detail);
            }
        },
    };
};
