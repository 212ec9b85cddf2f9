/**
 * The body of a request. A small body is buffered completely so that the request can be sent again. A larger body is
 * streamed; the request can be sent again only until data beyond the buffered prefix has been read from the caller.
 */
import type { IncomingMessage } from "node:http";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Milliseconds, RequestFailure } from "oleandergap-types";
import { readAhead, type BodyChunks, type ReadAheadBudget } from "./readAhead.js";
import { getAbortCause } from "./openRequests.js";
import { declaresBody, discardChunks, iterateChunks, type RestLimits } from "./restOfRequest.js";

/** Maximum size of a body that is buffered completely for replay, in bytes. */
export const MAX_REPLAY_BYTES = 64 * 1024;
/**
 * Minimum size of the buffered prefix of a larger body, in bytes. Each node computes the fingerprint of the request
 * from this many bytes.
 */
export const MIN_PREFIX_BYTES = 1024;

export type RequestBody =
    | { readonly kind: "Empty" }
    | { readonly kind: "Buffered"; readonly bytes: Buffer }
    | StreamingBody;

export interface StreamingBody {
    readonly kind: "Streaming";
    /** Buffered beginning of the body. At least `MIN_PREFIX_BYTES` long. */
    readonly prefix: Buffer;
    /** Size of the complete body, when the caller declared it. */
    readonly length: number | undefined;
    /**
     * Returns the data after the prefix. The iteration throws when the caller disconnects or sends too much. Only the
     * first call of `rest` returns the data, and the iteration of every later one throws: two attempts that shared the
     * data would each send a part of the body as if it were complete.
     */
    readonly rest: () => AsyncIterable<Buffer>;
    /** Returns whether `rest` has been called. */
    readonly isRestTaken: () => boolean;
    /** Drops the rest, unless an attempt has taken it. */
    readonly discardRest: () => void;
    /** Drops what an attempt has taken and will not read any more. */
    readonly discardTakenRest: () => void;
}

/** Returns whether the request can be sent again from its first byte. */
export const isReplayable = (body: RequestBody): boolean => body.kind !== "Streaming" || !body.isRestTaken();

export type BodyError =
    /** The body exceeds the configured limit. */
    | { readonly kind: "TooLarge" }
    /** The caller disconnected before the request was complete. */
    | { readonly kind: "Disconnected" }
    /** The deadline passed before the request had arrived. */
    | { readonly kind: "TooSlow" }
    /** The node stops before the request has arrived. */
    | { readonly kind: "NodeStopping" };

const NO_BODY: Either<BodyError, RequestBody> = either.right({ kind: "Empty" });

/** Converts a body error to a request failure. No part of the request has been forwarded. */
export const toRequestFailure = (error: BodyError): RequestFailure => {
    switch (error.kind) {
        case "TooLarge":
            return { kind: "BadRequest", verdict: "notRun", detail: "the body is larger than allowed" };
        case "Disconnected":
            return { kind: "Refused", verdict: "notRun", reason: "Cancelled", retryAfterMs: 0 };
        case "TooSlow":
            return { kind: "Refused", verdict: "notRun", reason: "DeadlinePassed", retryAfterMs: 0 };
        case "NodeStopping":
            return { kind: "Refused", verdict: "notRun", reason: "Draining", retryAfterMs: 0 };
    }
};

export interface BodyLimits extends RestLimits {
    /** Monotonic time by which the buffered part must have arrived. */
    readonly deadline: Milliseconds;
    /** Memory in which the rest of the body is read while it is not taken; undefined if it is read only when taken. */
    readonly readAheadBudget?: ReadAheadBudget;
    /** Signal of the open request. The end of a stop ends the wait for a body that is still arriving. */
    readonly signal?: AbortSignal;
}

/** Limits of the rest of a body, and of what is read of it while it waits. */
type CollectLimits = Omit<BodyLimits, "deadline" | "signal">;

const readDeclaredLength = (request: IncomingMessage): number | undefined => {
    const declared = request.headers["content-length"];
    return declared === undefined ? undefined : Number(declared);
};

interface Remainder {
    readonly request: IncomingMessage;
    readonly chunks: Pick<BodyChunks, "next">;
    readonly receivedBytes: number;
    readonly limits: RestLimits;
}

const alreadyTakenRest: AsyncIterable<Buffer> = {
    [Symbol.asyncIterator]: () => ({
        next: () => Promise.reject(new Error("another try of the request has taken the rest of its body")),
    }),
};

const createStreamingBody = (prefix: Buffer, length: number | undefined, remainder: Remainder): StreamingBody => {
    let isTaken = false;
    let isDiscarded = false;

    const discard = (): void => {
        if (!isDiscarded) {
            isDiscarded = true;
            void discardChunks(remainder.request, remainder.chunks, remainder.limits, remainder.receivedBytes);
        }
    };

    const readRest = async function* (): AsyncGenerator<Buffer> {
        let total = remainder.receivedBytes;
        for (;;) {
            const next = await remainder.chunks.next();
            if (next.done === true) {
                return;
            }
            total += next.value.length;
            if (total > remainder.limits.maxBytes) {
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
            if (isTaken) {
                return alreadyTakenRest;
            }
            isTaken = true;
            return readRest();
        },
        isRestTaken: () => isTaken,
        discardRest: () => {
            if (!isTaken) {
                isTaken = true;
                discard();
            }
        },
        discardTakenRest: discard,
    };
};

const collectBody = async (
    request: IncomingMessage,
    length: number | undefined,
    limits: CollectLimits,
): Promise<Either<BodyError, RequestBody>> => {
    // If the declared length shows that the body is large, a prefix is sufficient.
    const requiredBytes = length === undefined || length <= MAX_REPLAY_BYTES ? MAX_REPLAY_BYTES : MIN_PREFIX_BYTES - 1;
    const chunks = iterateChunks(request);
    const collected: Buffer[] = [];
    let receivedBytes = 0;
    try {
        while (receivedBytes <= requiredBytes) {
            const next = await chunks.next();
            if (next.done === true) {
                const bytes = Buffer.concat(collected);
                return bytes.length === 0 ? NO_BODY : either.right({ kind: "Buffered", bytes });
            }
            collected.push(next.value);
            receivedBytes += next.value.length;
        }
    }
    catch {
        return either.left({ kind: "Disconnected" });
    }
    if (receivedBytes > limits.maxBytes) {
        return either.left({ kind: "TooLarge" });
    }
    const prefix = Buffer.concat(collected);
    const rest = limits.readAheadBudget === undefined ? chunks : readAhead(chunks, limits.readAheadBudget);
    return either.right(createStreamingBody(prefix, length, { request, chunks: rest, receivedBytes, limits }));
};

/**
 * Collects a body until the deadline. Without a time limit, a caller that stops sending in the middle of its body would
 * occupy its slot forever.
 */
const collectBodyUntilDeadline = (
    request: IncomingMessage,
    length: number | undefined,
    { deadline, signal, ...limits }: BodyLimits,
): Promise<Either<BodyError, RequestBody>> =>
    new Promise((resolve) => {
        const onAbort = (): void => {
            if (signal !== undefined && getAbortCause(signal) === "NodeStopping") {
                resolve(either.left({ kind: "NodeStopping" }));
            }
        };
        const { clock } = limits;
        const cancel = clock.after(deadline - clock.monotonic(), () => resolve(either.left({ kind: "TooSlow" })));
        signal?.addEventListener("abort", onAbort, { once: true });
        void collectBody(request, length, limits).then((body) => {
            cancel();
            signal?.removeEventListener("abort", onAbort);
            resolve(body);
        });
    });

/**
 * Receives the part of a body that has to be buffered. Returns synchronously when there is no body, so that such a
 * request costs no event loop iteration.
 */
export const receiveBody = (
    request: IncomingMessage,
    limits: BodyLimits,
): Either<BodyError, RequestBody> | Promise<Either<BodyError, RequestBody>> => {
    if (!declaresBody(request)) {
        return NO_BODY;
    }
    const length = readDeclaredLength(request);
    if (length !== undefined && length > limits.maxBytes) {
        return either.left({ kind: "TooLarge" });
    }
    return collectBodyUntilDeadline(request, length, limits);
};
