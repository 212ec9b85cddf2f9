/** A request at the gate of the node that hosts its target, received over the network or from the local gateway. */
import type { Either } from "fp-ts/lib/Either.js";
import type { CustomerName, LifetimeFeedback, Milliseconds, RequestFailure, ServiceReference } from "oleandergap-types";
import type { UpstreamResponse } from "../http/upstreamResponse.js";
import type { RequestBody } from "../http/requestBody.js";

export interface GateRequest {
    readonly service: ServiceReference;
    /**
     * Service that the fair share counts the request for: the calling service if known, otherwise the requested one.
     */
    readonly caller: ServiceReference;
    readonly method: string;
    /** Path and query string. */
    readonly path: string;
    /** Alternating header names and values, without hop-by-hop headers and the headers of this system. */
    readonly headers: readonly string[];
    /** Value of the `host` header. */
    readonly host: string;
    readonly body: RequestBody;
    readonly idempotent: boolean;
    /** Priority among the requests of the target; 0 is the highest. */
    readonly priority: number;
    /** Customer whose caller sent the request; undefined for requests that belong to no customer. */
    readonly customer: CustomerName | undefined;
    /** Share of the requests of this kind that the sending node sends; see `AdmissionRequest`. */
    readonly sentShare?: number | undefined;
    /** Name of the route, or empty. Requests with the same kind take about the same time at the target. */
    readonly kind: string;
    /** True if targets have crashed while running this request. It must not run concurrently with another suspect. */
    readonly isSuspect: boolean;
    /** What the node of the gateway knows of the target's statements; undefined if it knows of none. */
    readonly knownFeedback: LifetimeFeedback | undefined;
    /** Idempotency key of a non-idempotent request. */
    readonly idempotencyKey: string | undefined;
    /** Id of the attempt. */
    readonly requestId: string;
    /** Monotonic time. */
    readonly deadline: Milliseconds;
    /** Monotonic time at which the gateway's node aborts the request, because it stops; undefined unless it stops. */
    readonly senderEndsAt: Milliseconds | undefined;
    /** Latency objective: monotonic time by which the response should be sent; undefined if there is no route. */
    readonly objective: Milliseconds | undefined;
    readonly signal: AbortSignal;
    /** Called when the gate admits the request; the body may be sent from then on. */
    readonly onAdmitted: () => void;
}

/** Serves a request at the local target. Never rejects. */
export type ServeAtGate = (request: GateRequest) => Promise<Either<RequestFailure, UpstreamResponse>>;
