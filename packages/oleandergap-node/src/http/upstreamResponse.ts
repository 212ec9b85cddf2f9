/** A response that is being forwarded: its head, and a body that is streamed chunk by chunk. */
import type { ResponseHeaders } from "oleandergap-transport";
import type { RequestFailure } from "oleandergap-types";

export type { ResponseHeaders } from "oleandergap-transport";

/** Receives the body of a response. Exactly one of `end` and `fail` is called, exactly once and as the last call. */
export interface ResponseSink {
    /** Returns false when the sink is full; the body then pauses until `resume` is called. */
    readonly write: (chunk: Buffer) => boolean;
    /** Called when the response is complete. */
    readonly end: () => void;
    /** Called when the response was cut off; the chunks written so far are only a part of it. */
    readonly fail: (failure: RequestFailure) => void;
}

export interface ResponseBody {
    /** Starts to write the body to `sink`. Must be called at most once. */
    readonly deliver: (sink: ResponseSink) => void;
    /** Continues to write after `write` returned false. */
    readonly resume: () => void;
    /** Aborts the response: destroys its connection and calls `fail` unless the body has already ended. */
    readonly cancel: (detail: string) => void;
}

export interface UpstreamResponse {
    readonly statusCode: number;
    readonly headers: ResponseHeaders;
    readonly body: ResponseBody;
    /** True if the target failed because an outgoing call that it made was not served. */
    readonly isStarved?: boolean | undefined;
}

/** Returns the first value of a header, or undefined when the response does not contain it. */
export const readResponseHeader = (headers: ResponseHeaders, name: string): string | undefined => {
    const headerValue = headers[name];
    return typeof headerValue === "object" ? headerValue[0] : headerValue;
};

/** Creates a response body from bytes that are completely in memory. */
export const createBufferedBody = (bytes: Buffer): ResponseBody => ({
    deliver: (sink) => {
        if (bytes.length > 0) {
            sink.write(bytes);
        }
        sink.end();
    },
    resume: () => undefined,
    cancel: () => undefined,
});

export interface BodyObserver {
    readonly onChunk?: (chunk: Buffer) => void;
    /** Called once, when the body has ended, was cut off (with the failure) or was cancelled. */
    readonly onFinish: (failure: RequestFailure | undefined) => void;
}

/**
 * Wraps a body so that `observer` is notified of its chunks and its end. Used to free a slot or to store a copy once
 * the response has been forwarded.
 */
export const observeBody = (body: ResponseBody, observer: BodyObserver): ResponseBody => {
    let isFinished = false;
    const finish = (failure: RequestFailure | undefined): void => {
        if (!isFinished) {
            isFinished = true;
            observer.onFinish(failure);
        }
    };
    return {
        deliver: (sink) => {
            body.deliver({
                write: (chunk) => {
                    observer.onChunk?.(chunk);
                    return sink.write(chunk);
                },
                end: () => {
                    finish(undefined);
                    sink.end();
                },
                fail: (failure) => {
                    finish(failure);
                    sink.fail(failure);
                },
            });
        },
        resume: body.resume,
        cancel: (detail) => {
            finish({ kind: "AnswerCut", verdict: "ran", detail });
            body.cancel(detail);
        },
    };
};

/** Maximum number of bytes of an unwanted body that are read so that its connection can be reused. */
const MAX_DISCARDED_BYTES = 16 * 1024;

/** Discards the body. A short body is read to its end so that the connection can be reused. */
export const discardBody = (response: UpstreamResponse): void => {
    let discardedBytes = 0;
    response.body.deliver({
        write: (chunk) => {
            discardedBytes += chunk.length;
            if (discardedBytes > MAX_DISCARDED_BYTES) {
                response.body.cancel("the response is not needed");
            }
            return true;
        },
        end: () => undefined,
        fail: () => undefined,
    });
};
