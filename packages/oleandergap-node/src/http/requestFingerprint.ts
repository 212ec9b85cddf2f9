/** The name by which a request is recognized when it comes again. */
import { computeFingerprint, type Fingerprint } from "oleandergap-containment";
import { LEAST_KEPT_BYTES, type RequestBody } from "./requestBody.js";

/** The parts of a request that its name is computed from; the same at the gateway and at the gate. */
export interface NamedRequest {
    readonly method: string;
    /** Value of the `host` header. */
    readonly host: string;
    /** Path and query. */
    readonly path: string;
}

const NO_BYTES = new Uint8Array();

/** Computes the name of a request. A body that streams through is told apart by its beginning and its length. */
export const fingerprintRequest = ({ method, host, path }: NamedRequest, body: RequestBody): Fingerprint => {
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
                bodyStart: body.prefix.subarray(0, LEAST_KEPT_BYTES),
            });
    }
};
