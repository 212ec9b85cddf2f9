/**
 * The body of a request. A small one is kept whole, so that the request can be sent again; a larger one streams
 * through, and can be sent again only as long as nothing beyond its kept beginning has been taken from the caller.
 */
import type { IncomingMessage } from "node:http";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds, RequestFailure } from "oleandergap-types";

/** Bytes of a request that are kept in order to send it again. */
export const REPLAY_BYTES = 64 * 1024;
/** Bytes that are kept at least of a body that is larger; its name is computed from so many, at each node. */
export const LEAST_KEPT_BYTES = 1024;

export type RequestBody =
    | { readonly kind: "Empty" }
    | { readonly kind: "Buffered"; readonly bytes: Buffer }
    | StreamingBody;

export interface StreamingBody {
    readonly kind: "Streaming";
    /** The beginning, which is kept. At least `LEAST_KEPT_BYTES`. */
    readonly prefix: Buffer;
    /** Size of the whole, when the caller told it. */
    readonly length: number | undefined;
    /**
     * What follows the beginning. Throws when the caller breaks off or sends too much, and for whoever takes it second:
     * two tries that shared it would each end a part of the body as if it were whole.
     */
    readonly rest: () => AsyncIterable<Buffer>;
    /** Whether `rest` has been taken. */
    readonly isBegun: () => boolean;
}

/** Whether the request could be sent once more, from its first byte. */
export const canSendAgain = (body: RequestBody): boolean => body.kind !== "Streaming" || !body.isBegun();

export type BodyProblem =
    /** The body is larger than the settings allow. */
    | { readonly kind: "TooLarge" }
    /** The caller went away before its request was whole. */
    | { readonly kind: "BrokenOff" }
    /** The deadline passed before the request had arrived. */
    | { readonly kind: "TooSlow" };

const NO_BODY: Either<BodyProblem, RequestBody> = either.right({ kind: "Empty" });

/** The request failure that a body problem amounts to. Nothing was sent on. */
export const toRequestFailure = (problem: BodyProblem): RequestFailure => {
    switch (problem.kind) {
        case "TooLarge":
            return { kind: "BadRequest", verdict: "notRun", detail: "the body is larger than allowed" };
        case "BrokenOff":
            return { kind: "Refused", verdict: "notRun", reason: "Cancelled", retryAfterMs: 0 };
        case "TooSlow":
            return { kind: "Refused", verdict: "notRun", reason: "DeadlinePassed", retryAfterMs: 0 };
    }
};

export interface BodyLimits {
    readonly clock: Clock;
    readonly maxBytes: number;
    /** Monotonic time by which the part that is kept must have arrived. */
    readonly deadline: Milliseconds;
}

const readDeclaredLength = (request: IncomingMessage): number | undefined => {
    const declared = request.headers["content-length"];
    return declared === undefined ? undefined : Number(declared);
};

/** Ending this iterator does not destroy the request, so that a refusal can still be written to the caller. */
const iterateChunks = (request: IncomingMessage): AsyncIterator<Buffer, undefined> =>
    request.iterator({ destroyOnReturn: false }) as AsyncIterator<Buffer, undefined>;

interface Remainder {
    readonly chunks: AsyncIterator<Buffer, undefined>;
    readonly receivedBytes: number;
    readonly maxBytes: number;
}

const takenBefore: AsyncIterable<Buffer> = {
    [Symbol.asyncIterator]: () => ({
        next: () => Promise.reject(new Error("another try of the request has taken the rest of its body")),
    }),
};

const createStreamingBody = (prefix: Buffer, length: number | undefined, remainder: Remainder): StreamingBody => {
    let begun = false;

    const readRest = async function* (): AsyncGenerator<Buffer> {
        let total = remainder.receivedBytes;
        for (;;) {
            const next = await remainder.chunks.next();
            if (next.done === true) {
                return;
            }
            total += next.value.length;
            if (total > remainder.maxBytes) {
                throw new Error("the body is larger than allowed");
            }
            yield next.value;
        }
    };

    return {
        kind: "Streaming",
        prefix,
        length,
        rest: () => {
            if (begun) {
                return takenBefore;
            }
            begun = true;
            return readRest();
        },
        isBegun: () => begun,
    };
};

const collectBody = async (
    request: IncomingMessage,
    length: number | undefined,
    maxBytes: number,
): Promise<Either<BodyProblem, RequestBody>> => {
    // Of a body that is known to be large, a piece is enough to begin with.
    const wanted = length === undefined || length <= REPLAY_BYTES ? REPLAY_BYTES : LEAST_KEPT_BYTES - 1;
    const chunks = iterateChunks(request);
    const collected: Buffer[] = [];
    let total = 0;
    try {
        while (total <= wanted) {
            const next = await chunks.next();
            if (next.done === true) {
                const bytes = Buffer.concat(collected);
                return bytes.length === 0 ? NO_BODY : either.right({ kind: "Buffered", bytes });
            }
            collected.push(next.value);
            total += next.value.length;
        }
    }
    catch {
        return either.left({ kind: "BrokenOff" });
    }
    if (total > maxBytes) {
        return either.left({ kind: "TooLarge" });
    }
    const prefix = Buffer.concat(collected);
    return either.right(createStreamingBody(prefix, length, { chunks, receivedBytes: total, maxBytes }));
};

/** Without a bound, a caller that stops within its body would hold its place for ever. */
const collectInTime = (
    request: IncomingMessage,
    length: number | undefined,
    { clock, maxBytes, deadline }: BodyLimits,
): Promise<Either<BodyProblem, RequestBody>> =>
    new Promise((resolve) => {
        const cancel = clock.after(deadline - clock.monotonic(), () => resolve(either.left({ kind: "TooSlow" })));
        void collectBody(request, length, maxBytes).then((body) => {
            cancel();
            resolve(body);
        });
    });

/**
 * Receives a body as far as it has to be kept. Answers at once when there is none, so that a request without a body
 * costs no turn of the event loop.
 */
export const receiveBody = (
    request: IncomingMessage,
    limits: BodyLimits,
): Either<BodyProblem, RequestBody> | Promise<Either<BodyProblem, RequestBody>> => {
    const length = readDeclaredLength(request);
    const isChunked = request.headers["transfer-encoding"] !== undefined;
    if (!isChunked && (length === undefined || length === 0)) {
        return NO_BODY;
    }
    if (length !== undefined && length > limits.maxBytes) {
        return either.left({ kind: "TooLarge" });
    }
    return collectInTime(request, length, limits);
};
