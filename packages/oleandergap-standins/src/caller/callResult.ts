/** Requests of a caller and their results. */
import type { Milliseconds, ServiceReference, Verdict } from "oleandergap-types";

/** Address to which callers send requests: the gateway port of any node. */
export interface GatewayAddress {
    readonly address: string;
    readonly port: number;
}

/** One request, with everything that is needed to check its response. */
export interface CallRequest {
    readonly service: ServiceReference;
    readonly method: "GET" | "POST" | "PUT" | "DELETE" | "PATCH";
    readonly path: string;
    /** Key of the request in the run logs of the targets. */
    readonly runKey: string;
    readonly idempotencyKey?: string;
    readonly body?: Uint8Array;
    readonly timeoutMs: Milliseconds;
    /** Number of characters by which the target pads its response. */
    readonly answerPadding?: number;
}

interface ResultBase {
    readonly runKey: string;
    readonly latencyMs: Milliseconds;
}

/** Result of one request, as its caller observes it. */
export type CallResult =
    /** The caller received the complete response to this request. */
    | ResultBase & {
        readonly kind: "Answered";
        readonly target: string;
        /** Table version by which the request was routed, as `partner:sequence`. */
        readonly version: string | undefined;
    }
    /** The caller received a response that reports that the request was rejected or failed. */
    | ResultBase & {
        readonly kind: "Refused";
        readonly status: number;
        readonly verdict: Verdict | undefined;
        readonly reason: string | undefined;
        readonly retryAfterMs: Milliseconds | undefined;
    }
    /** The caller received no response, or an incomplete one. */
    | ResultBase & {
        readonly kind: "Failed";
        /** Verdict that the caller derives from the error alone. */
        readonly verdict: Verdict;
        readonly detail: string;
    }
    /**
     * The caller received the response to another request, or an incomplete response that ended cleanly. This must
     * never happen.
     */
    | ResultBase & { readonly kind: "Wrong"; readonly detail: string };
