/** What goes into a gate and what comes out of it. */
import type { Either } from "fp-ts/lib/Either.js";
import type { GateLoad, Limit, Milliseconds, PartnerName, RequestFailure, ServiceName } from "oleandergap-types";

/** Kind of requests that name none. */
export const USUAL_KIND = "";

/** Asks for one of the target's slots. */
export interface AdmissionRequest {
    /** Partner of the caller: with `service`, the unit between which the gate shares the target fairly. */
    readonly partner: PartnerName;
    /** Service that the caller belongs to as far as it is known, else the requested service. */
    readonly service: ServiceName;
    /** Rank among the requests of the target: waiting requests of a lower number start first. 0 when not given. */
    readonly priority?: number;
    /** Requests of one kind take about the same time at the target; all are alike when it is not given. */
    readonly kind?: string;
    /** Time by which the answer must be complete, on the monotonic clock. */
    readonly deadline: Milliseconds;
    /** Time until which an answer is worth most, on the monotonic clock; absent when all answers are alike. */
    readonly objective?: Milliseconds | undefined;
    /** Aborts when the caller hangs up; a waiting request then leaves the queue at once. */
    readonly signal: AbortSignal;
}

/**
 * How an admitted request ended.
 *
 * - `Answered`: the target's whole answer came; its duration counts as a service time.
 * - `NotStarted`: the target was never reached; the duration says nothing about it.
 * - `Lost`: no answer, or a broken one; the service time is at least the duration.
 * - `Cancelled`: the caller hung up or the deadline passed, and the connection to the target is closed.
 */
export type ReleaseOutcome = "Answered" | "NotStarted" | "Lost" | "Cancelled";

/** A slot of the target, held until `release`. */
export interface Admission {
    /** Time that the request spent in the queue. */
    readonly queuedMs: Milliseconds;
    /**
     * Gives the slot back; further calls do nothing. For a cancelled request call it once the target has stopped or
     * its connection is closed, not when the caller hangs up: until then the target still works on the request, and a
     * slot handed on too early puts the target over its capacity (one would see service times grow beyond its slots).
     */
    readonly release: (outcome: ReleaseOutcome) => void;
}

/** The only way to a target. */
export interface Gate {
    /**
     * Resolves once the request may start, or as soon as it is known that it will not. A failure is always `Refused`
     * with the verdict `notRun`.
     */
    readonly admit: (request: AdmissionRequest) => Promise<Either<RequestFailure, Admission>>;
    /** Takes a new limit or number of slots into force. Running and waiting requests are kept. */
    readonly setLimit: (limit: Limit, slots: number) => void;
    readonly load: () => GateLoad;
    /**
     * Refuses new requests from now on; running and waiting ones finish. Resolves when none is left; calling it again
     * gives the same promise.
     */
    readonly drain: () => Promise<void>;
    /**
     * Refuses what still waits, because the target is about to go. Told at once, a waiting request has time to run
     * elsewhere; left in the queue, it would reach a target that has announced its end long ago.
     */
    readonly refuseWaiting: () => void;
}
