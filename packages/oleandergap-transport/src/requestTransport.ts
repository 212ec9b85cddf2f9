/** The port through which requests are sent to a remote side: a gate of another node, or the local target. */
import type { ResponseBodyLimits } from "./bodyWatch.js";

/** Headers of a response; names in lower case. A header that occurs more than once has several values. */
export type ResponseHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Body of a request as a transport sends it. */
export type OutgoingBody =
    | { readonly kind: "Empty" }
    | { readonly kind: "Buffered"; readonly bytes: Buffer }
    | StreamedBody;

/** Body whose parts become available one after the other. The next part is requested when there is room for it. */
export interface StreamedBody {
    readonly kind: "Streamed";
    /** Size of the complete body, when it is known. */
    readonly length: number | undefined;
    /** Called at most once. The iteration throws when the rest of the body will not arrive. */
    readonly chunks: () => AsyncIterable<Buffer>;
}

/** A request, and the limits of the body of its response. */
export interface OutgoingRequest extends ResponseBodyLimits {
    readonly method: string;
    /** Path and query. */
    readonly path: string;
    /** Alternating names and values, without hop-by-hop headers and without `content-length`. */
    readonly headers: readonly string[];
    readonly body: OutgoingBody;
    /**
     * Returns whether the request may still be sent. Called immediately before its first byte; if it returns false, the
     * request fails with a `WithheldError`. By default, the request is sent.
     */
    readonly mayStart?: () => boolean;
}

/** The request was not sent, because its sender no longer allowed it when there was a connection. */
export class WithheldError extends Error {
    public readonly code = "WITHHELD";
}

/**
 * Receives the events of a request. Either `onEnd` or `onError` is the last call, and is called once, unless the
 * request is aborted.
 */
export interface ResponseReceiver {
    /** The request is handed to a connection. Before this call, no byte of it has been sent. */
    readonly onSent: () => void;
    /** Called for each informational response (a status below 200) and once for the final response. */
    readonly onHead: (statusCode: number, headers: ResponseHeaders) => void;
    /** The chunk belongs to the receiver. */
    readonly onData: (chunk: Buffer) => void;
    /** The response is complete. */
    readonly onEnd: () => void;
    /** The request failed, or its response was cut off. */
    readonly onError: (error: Error) => void;
}

/** Controls a request that was passed to a transport. */
export interface RequestControl {
    readonly pause: () => void;
    readonly resume: () => void;
    /** Gives the request up. A connection that has it is destroyed. The receiver is not called any more. */
    readonly abort: () => void;
}

export interface RequestTransport {
    /**
     * Sends a request as soon as there is a connection for it.
     *
     * @throws Error when the request cannot be written, for example because of a line break in a header.
     */
    readonly send: (request: OutgoingRequest, receiver: ResponseReceiver) => RequestControl;
}
