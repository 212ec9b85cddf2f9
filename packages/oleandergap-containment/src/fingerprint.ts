/** Fingerprints that identify equal requests, independent of the sender, the time and the node. */
import { createHash } from "node:crypto";
import { z } from "zod";

/** Number of bytes kept of the digest. Finding a second request with a given fingerprint is infeasible. */
const DIGEST_BYTES = 12;
/** Length of a fingerprint in characters: base64url of the kept bytes. */
const FINGERPRINT_LENGTH = 16;

/** Identifies all requests with the same method, host, path and body. */
export const fingerprintSchema = z.string().length(FINGERPRINT_LENGTH).regex(/^[\w-]+$/);
/** See {@link fingerprintSchema}. */
export type Fingerprint = z.infer<typeof fingerprintSchema>;

/**
 * The parts of a request from which its fingerprint is computed. Headers are left out because some of them differ each
 * time the request is sent.
 */
export interface FingerprintedRequest {
    readonly method: string;
    /** Value of the `host` header. */
    readonly host: string;
    /** Path with query, as received. */
    readonly path: string;
    /** Size of the whole body in bytes; undefined if the sender did not specify it. */
    readonly bodyLength: number | undefined;
    /** The body, or the beginning of a large one. Every node must keep the same number of bytes. */
    readonly bodyStart: Uint8Array;
}

/** Returns the fingerprint of a request, which is the same on every node for equal requests. */
export const computeFingerprint = (
    { method, host, path, bodyLength, bodyStart }: FingerprintedRequest,
): Fingerprint => createHash("sha256")
    .update(JSON.stringify([method, host.toLowerCase(), path, bodyLength ?? -1]))
    .update(bodyStart)
    .digest()
    .subarray(0, DIGEST_BYTES)
    .toString("base64url");
