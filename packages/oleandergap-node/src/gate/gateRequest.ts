/** A request that has arrived at the gate of its target's own node, by the network or from the local gateway. */
import type { Either } from "fp-ts/lib/Either.js";
import type { Milliseconds, RequestFailure, ServiceReference } from "oleandergap-types";
import type { Answer } from "../http/answer.js";
import type { RequestBody } from "../http/requestBody.js";

export interface GateRequest {
    readonly service: ServiceReference;
    /** Who is counted for the fair share: the calling service when it is known, else the requested one. */
    readonly caller: ServiceReference;
    readonly method: string;
    /** Path and query. */
    readonly path: string;
    /** Names and values in turn, without hop-by-hop headers and those of the system. */
    readonly headers: readonly string[];
    /** Value of the `host` header. */
    readonly host: string;
    readonly body: RequestBody;
    readonly idempotent: boolean;
    /** Rank among the requests of the target; 0 goes first. */
    readonly priority: number;
    /** Requests of one kind take about the same time at the target: those of one route. */
    readonly kind: string;
    /** Targets have crashed beside the request; it is to run beside no other such. */
    readonly isSuspect: boolean;
    /** Key of a non-idempotent request. */
    readonly idempotencyKey: string | undefined;
    /** Id of the attempt. */
    readonly requestId: string;
    readonly deadline: Milliseconds;
    /** Time until which an answer is worth most; undefined without a route. */
    readonly objective: Milliseconds | undefined;
    readonly signal: AbortSignal;
    /** The gate let the request in; its body may follow. */
    readonly onAdmitted: () => void;
}

/** Serves a request by the own target. Never rejects. */
export type ServeAtGate = (request: GateRequest) => Promise<Either<RequestFailure, Answer>>;
