/** Conversion of target responses to and from the form that is stored for repeated requests with the same key. */
import type { ClaimOptions } from "../options.js";
import type { StoredResponse } from "./claimRow.js";

/** A target's response as received by the gate. */
export interface TargetResponse {
    readonly status: number;
    readonly headers: readonly (readonly [name: string, value: string])[];
    /** The complete body; undefined when it was streamed to the caller without being buffered. */
    readonly body?: Uint8Array | undefined;
}

/** The response to the first request, to be sent to a repeated request. */
export interface ReplayedResponse {
    readonly status: number;
    readonly headers: readonly (readonly [name: string, value: string])[];
    readonly body: Uint8Array;
}

/**
 * Converts a response to its stored form. Only headers of the allow list are stored, because cookies or credentials
 * must not reach another caller that repeats the key.
 */
export const createStoredResponse = (
    response: TargetResponse,
    options: Pick<ClaimOptions, "maxAnswerBytes" | "replayedHeaders">,
): StoredResponse => {
    const headers = response.headers
        .map(([name, value]): [string, string] => [name.toLowerCase(), value])
        .filter(([name]) => options.replayedHeaders.includes(name));
    const isBodyKept = response.body !== undefined && response.body.byteLength <= options.maxAnswerBytes;
    return {
        status: response.status,
        headers,
        ...(isBodyKept && response.body !== undefined ?
            { bodyBase64: Buffer.from(response.body).toString("base64") } :
            {}),
    };
};

/** Returns the stored response, or undefined when its body was not stored. */
export const restoreResponse = (stored: StoredResponse): ReplayedResponse | undefined =>
    stored.bodyBase64 === undefined ?
        undefined :
        { status: stored.status, headers: stored.headers, body: Buffer.from(stored.bodyBase64, "base64") };
