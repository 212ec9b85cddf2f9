/** An answer on its way to whoever asked: its head, and a body that is handed on piece by piece. */
import type { RequestFailure } from "oleandergap-types";

/** Header names in lower case. */
export type AnswerHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Receives the body of an answer. Exactly one of `end` and `fail` is called, once, and nothing after it. */
export interface AnswerSink {
    /** Returns false when the sink is full; the body then stops until it is resumed. */
    readonly write: (chunk: Buffer) => boolean;
    /** The answer is whole. */
    readonly end: () => void;
    /** The answer broke off; what was written so far is only a part of it. */
    readonly fail: (failure: RequestFailure) => void;
}

export interface AnswerBody {
    /** Starts handing the body to `sink`. Called at most once. */
    readonly deliver: (sink: AnswerSink) => void;
    /** Goes on after `write` returned false. */
    readonly resume: () => void;
    /** Gives the answer up: its connection is destroyed, and `fail` is called unless the body has ended. */
    readonly cancel: (detail: string) => void;
}

export interface Answer {
    readonly statusCode: number;
    readonly headers: AnswerHeaders;
    readonly body: AnswerBody;
    /** The target failed because a call that it made was not served. */
    readonly isStarved?: boolean | undefined;
}

/** The first value of a header, or undefined when the answer does not carry it. */
export const readAnswerHeader = (headers: AnswerHeaders, name: string): string | undefined => {
    const value = headers[name];
    return typeof value === "object" ? value[0] : value;
};

/** A body that is at hand as a whole. */
export const createWholeBody = (bytes: Buffer): AnswerBody => ({
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
    /** The body ended, broke off (with the failure) or was cancelled; called once. */
    readonly onFinish: (failure: RequestFailure | undefined) => void;
}

/** The same body, watched on its way: used to free a slot, or to keep a copy, when the answer is through. */
export const observeBody = (body: AnswerBody, observer: BodyObserver): AnswerBody => {
    let finished = false;
    const finish = (failure: RequestFailure | undefined): void => {
        if (!finished) {
            finished = true;
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

/** Longest body that is read to its end only to keep its connection, in bytes. */
const MAX_DISCARDED_BYTES = 16 * 1024;

/** Drops the body. A short one is read to its end, so that the connection can be used again. */
export const discardBody = (answer: Answer): void => {
    let discardedBytes = 0;
    answer.body.deliver({
        write: (chunk) => {
            discardedBytes += chunk.length;
            if (discardedBytes > MAX_DISCARDED_BYTES) {
                answer.body.cancel("the answer is not needed");
            }
            return true;
        },
        end: () => undefined,
        fail: () => undefined,
    });
};
