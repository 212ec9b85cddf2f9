/** Names requests that ask for the same, whoever sends them, whenever and at whichever node. */
import { createHash } from "node:crypto";
import { z } from "zod";

/** Bytes of the digest that are kept: nobody finds a second request with the name of a given one. */
const DIGEST_BYTES = 12;
/** Characters of a name: base64url of the kept bytes. */
const FINGERPRINT_LENGTH = 16;

/** The name of all requests with one method, host, path and body. */
export const fingerprintSchema = z.string().length(FINGERPRINT_LENGTH).regex(/^[\w-]+$/);
/** See {@link fingerprintSchema}. */
export type Fingerprint = z.infer<typeof fingerprintSchema>;

/** What a name is computed from. Headers are left out: some are new with each send. */
export interface FingerprintedRequest {
    readonly method: string;
    /** Value of the `host` header. */
    readonly host: string;
    /** Path with query, as received. */
    readonly path: string;
    /** Size of the whole body in bytes; undefined when the sender did not tell. */
    readonly bodyLength: number | undefined;
    /** The body, or the beginning of a large one; every node must keep the same part of it. */
    readonly bodyStart: Uint8Array;
}

/** Equal requests have equal names on every node. */
export const computeFingerprint = (
    { method, host, path, bodyLength, bodyStart }: FingerprintedRequest,
): Fingerprint => createHash("sha256")
    .update(JSON.stringify([method, host.toLowerCase(), path, bodyLength ?? -1]))
    .update(bodyStart)
    .digest()
    .subarray(0, DIGEST_BYTES)
    .toString("base64url");
