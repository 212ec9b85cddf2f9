/** Input and output types of a gate: admission requests, admissions and the gate itself. */
import type { Either } from "fp-ts/lib/Either.js";
import type { CustomerName, GateLoad, Limit, Milliseconds, PartnerName, RequestFailure, ServiceName, TargetReport } from "oleandergap-types";

/** Kind of the requests that do not specify one. */
export const DEFAULT_KIND = "";

/** A request for one of the target's slots. */
export interface AdmissionRequest {
    /** Partner of the caller. The gate shares the target fairly between the pairs of `partner` and `service`. */
    readonly partner: PartnerName;
    /** Service of the caller if it is known, otherwise the requested service. */
    readonly service: ServiceName;
    /** Priority among the requests for the target: waiting requests with a lower number start first. Defaults to 0. */
    readonly priority?: number;
    /** Customer whose caller sent the request; undefined for requests that belong to no customer. */
    readonly customer?: CustomerName | undefined;
    /** Whether the request is a call of a running target. Waiting calls start first at a gate that serves customers. */
    readonly isCall?: boolean;
    /**
     * Share of the requests of this kind that the sending node sent instead of refusing them itself; above 0 and at
     * most 1. Defaults to 1.
     */
    readonly sentShare?: number | undefined;
    /** Requests of one kind have similar service times at the target. Defaults to {@link DEFAULT_KIND}. */
    readonly kind?: string;
    /** Deadline for the complete response, on the monotonic clock. */
    readonly deadline: Milliseconds;
    /**
     * Latency objective, on the monotonic clock: a response after this time has less value to the caller. Absent if
     * every response before the deadline has the same value.
     */
    readonly objective?: Milliseconds | undefined;
    /** Aborts when the caller disconnects; a waiting request is then removed from the queue immediately. */
    readonly signal: AbortSignal;
}

/**
 * Outcome of an admitted request.
 *
 * - `Answered`: the target sent a complete response; the duration is a service time sample.
 * - `NotStarted`: the target was never reached; the duration is no service time sample.
 * - `Lost`: the response was missing or incomplete; the service time is at least the duration.
 * - `Cancelled`: the caller disconnected or the deadline passed, and the connection to the target is closed.
 */
export type ReleaseOutcome = "Answered" | "NotStarted" | "Lost" | "Cancelled";

/** A slot of the target that the request occupies until `release` is called. */
export interface Admission {
    /** Time that the request spent in the queue. */
    readonly queuedMs: Milliseconds;
    /**
     * Releases the slot; further calls have no effect. For a cancelled request, call it after the target has stopped or
     * its connection is closed, not when the caller disconnects. The target works on the request until then, and
     * releasing the slot too early would exceed the target's capacity, which shows as service times that grow because
     * more requests run than the target has slots.
     */
    readonly release: (outcome: ReleaseOutcome) => void;
}

/** What a customer asks of a target. */
export interface CustomerDemand {
    readonly partner: PartnerName;
    readonly customer: CustomerName;
    /** Priority among the requests of customers. */
    readonly priority: number;
    /** Slots that its requests of the last seconds would keep busy. */
    readonly demandSlots: number;
    /** Slots that its requests of the last minute would keep busy. */
    readonly usualSlots: number;
    /** Whether its demand grew more than that of the others, so that its requests start after theirs. */
    readonly isOverShare: boolean;
}

/** Requests of one priority since the start. */
export interface PriorityCounts {
    readonly priority: number;
    readonly served: number;
    /** Requests that were refused for want of capacity. */
    readonly refused: number;
    /** Requests that were offered with a more urgent priority, because their own was served too rarely. */
    readonly promoted: number;
}

/** Admission control of one target. Every request to the target passes through its gate. */
export interface Gate {
    /**
     * Resolves when the request may start, or as soon as it is certain that it cannot start. A failure is always of the
     * kind `Refused` with the verdict `notRun`.
     */
    readonly admit: (request: AdmissionRequest) => Promise<Either<RequestFailure, Admission>>;
    /**
     * Refuses a request that its process could not start in time, and counts it as refused for want of capacity: the
     * slots may be free, but requests for them are asked for faster than the process can start them.
     */
    readonly refuseOverdue: (request: Pick<AdmissionRequest, "priority" | "kind" | "sentShare">) => RequestFailure;
    /** Applies a new limit and number of slots. Running and waiting requests are kept. */
    readonly setLimit: (limit: Limit, slots: number) => void;
    /**
     * Applies the request limit that the target names, in requests per second; undefined if it names none. Requests
     * beyond it wait or are refused, whatever slots are free.
     */
    readonly setRequestLimit: (requestsPerSecond: number | undefined) => void;
    /** Applies the load that the target reports in a response. */
    readonly recordReport: (report: TargetReport) => void;
    /** Returns the load, with the usual time of `kind` if it is given and the target reports its pace. */
    readonly load: (kind?: string) => GateLoad;
    /**
     * Returns the share of the requests of a priority that nodes should send, so that this gate refuses few of them; 1
     * while it refuses none, and at a gate that serves customers.
     */
    readonly admissionShare: (priority: number) => number;
    /** Returns the customers that ask for most of the target, the largest demand first; none without customers. */
    readonly listCustomers: () => readonly CustomerDemand[];
    /** Returns how requests ended by priority, the most urgent first; without those of times with customers. */
    readonly listPriorities: () => readonly PriorityCounts[];
    /** Returns the number of requests sent to the target in the last `periodMs`, at most `MAX_METER_PERIOD_MS`. */
    readonly countRecentRequests: (periodMs: Milliseconds) => number;
    /** Records that a request that holds a slot was sent to the target once more, over another connection. */
    readonly recordResend: () => void;
    /**
     * Refuses new requests from now on, while running and waiting requests finish. Resolves when no request is left.
     * Further calls return the same promise.
     *
     * @param startsForMs time from now after which no request starts any more; by default, they start without a limit
     */
    readonly drain: (startsForMs?: Milliseconds) => Promise<void>;
    /**
     * Returns whether requests may be handed to the target. Must be called immediately before the first byte of an
     * admitted request, because the drain may have started while the request waited for something else.
     */
    readonly mayStart: () => boolean;
    /**
     * Refuses all waiting requests because the target is about to stop. An immediate refusal leaves a request time to
     * run at another target; a request left in the queue would be sent to a target that has already announced its
     * shutdown.
     */
    readonly refuseWaiting: () => void;
}
