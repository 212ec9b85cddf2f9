/** Computes the fingerprint by which a repeated request is recognized. */
import { computeFingerprint, type Fingerprint } from "oleandergap-containment";
import { MIN_PREFIX_BYTES, type RequestBody } from "./requestBody.js";

/** Parts of a request from which its fingerprint is computed; the gateway and the gate see the same values. */
export interface FingerprintedRequest {
    readonly method: string;
    /** Value of the `host` header. */
    readonly host: string;
    /** Path and query. */
    readonly path: string;
}

const NO_BYTES = new Uint8Array();

/** Computes the fingerprint of a request. A streaming body is identified by its prefix and its length. */
export const fingerprintRequest = ({ method, host, path }: FingerprintedRequest, body: RequestBody): Fingerprint => {
    switch (body.kind) {
        case "Empty":
            return computeFingerprint({ method, host, path, bodyLength: 0, bodyStart: NO_BYTES });
        case "Buffered":
            return computeFingerprint({ method, host, path, bodyLength: body.bytes.length, bodyStart: body.bytes });
        case "Streaming":
            return computeFingerprint({
                method,
                host,
                path,
                bodyLength: body.length,
                bodyStart: body.prefix.subarray(0, MIN_PREFIX_BYTES),
            });
    }
};
