/** Fingerprints that distinguish a repeated request from another request with the same idempotency key. */
import { createHash } from "node:crypto";

export interface FingerprintedRequest {
    readonly method: string;
    /** Path including the query string, as received. */
    readonly path: string;
    /** Customer whose caller sent the request; undefined if it belongs to no customer. */
    readonly customer?: string | undefined;
    readonly contentType?: string | undefined;
    /** Length of the body in bytes; undefined when the request does not state it. */
    readonly contentLength?: number | undefined;
    /** The body if it was small enough to be buffered before the claim, else undefined. */
    readonly body?: Uint8Array | undefined;
}

/**
 * Returns the fingerprint of a request as 64 hexadecimal digits. Equal requests have equal fingerprints on all nodes.
 */
export const computeFingerprint = (request: FingerprintedRequest): string => {
    const requestHead = JSON.stringify([
        request.method,
        request.path,
        request.contentType ?? "",
        request.contentLength ?? "",
        ...request.customer === undefined ? [] : [request.customer],
    ]);
    const hash = createHash("sha256").update(requestHead);
    return (request.body === undefined ? hash : hash.update(request.body)).digest("hex");
};
