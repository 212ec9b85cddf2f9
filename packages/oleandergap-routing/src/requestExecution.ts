/** Types of a routed request: the input of the router, the result of one attempt, and the final result. */
import type { Either } from "fp-ts/lib/Either.js";
import type { CustomerName, GateLoad, Milliseconds, NodeId, RequestFailure, ServiceReference, ServiceRow } from "oleandergap-types";
import type { AttemptProgress, RoutableTarget } from "./target.js";

/** Targets of a new version of a service. */
export interface TrialTargets<Target extends RoutableTarget> {
    readonly version: string;
    readonly targets: readonly Target[];
    /** Whether retries go to the new version too. */
    readonly includesRetries: boolean;
}

/** One request and its constraints. */
export interface RequestExecution<Target extends RoutableTarget> {
    readonly service: ServiceReference;
    readonly row: ServiceRow;
    /** The service's targets. The array must stay the same object while nothing changes. */
    readonly targets: readonly Target[];
    /** Targets of a new version that the request goes to first; undefined if it goes to the usual targets. */
    readonly trial?: TrialTargets<Target> | undefined;
    readonly idempotent: boolean;
    /**
     * Called after a failed attempt. Returns whether the complete body can still be sent, because it is buffered or has
     * not been read.
     */
    readonly canReplayBody: () => boolean;
    /** Time by which the response must be complete, on the monotonic clock. */
    readonly deadline: Milliseconds;
    /** Latency objective, on the monotonic clock; undefined if a response has the same value until the deadline. */
    readonly objective?: Milliseconds | undefined;
    /** False when an upstream hop has requested that no downstream hop retries. */
    readonly retriesAllowed: boolean;
    /** Maximum number of targets that the request may reach; undefined when only the settings limit it. */
    readonly maximumTargets?: number | undefined;
    /**
     * Kind of the request. Requests of one kind take about the same time; without a kind, all requests are treated
     * alike.
     */
    readonly kind?: string;
    /** Customer whose caller sent the request; undefined for requests that belong to no customer. */
    readonly customer?: CustomerName | undefined;
    /** Priority of the customer whose caller sent the request; undefined for requests that belong to no customer. */
    readonly customerPriority?: number | undefined;
    /** Whether the caller repeats a request that was refused before. A busy target refuses such requests first. */
    readonly isCallerRetry?: boolean;
    /**
     * Called before each attempt with the number of earlier attempts. Returns a failure if the request must not be
     * sent.
     */
    readonly findRefusal?: ((attempts: number) => RequestFailure | undefined) | undefined;
    /** Aborts when the caller disconnects. */
    readonly signal: AbortSignal;
}

/** Limits of one attempt and the receiver of its progress. */
export interface AttemptContext {
    readonly deadline: Milliseconds;
    readonly signal: AbortSignal;
    /** Receives the events of the attempt that indicate the state of its target. */
    readonly progress: AttemptProgress;
    /** Share of the requests of this kind that this node sends; see `AdmissionShares`. Undefined if it sends all. */
    readonly sentShare?: number;
}

/** Result of one attempt. */
export interface AttemptResult<Answer> {
    readonly outcome: Either<RequestFailure, Answer>;
    /** The gate's load when it responded; undefined when it did not respond. */
    readonly load: GateLoad | undefined;
    /** Share of the requests of this priority that the gate asks nodes to send; undefined if it did not say. */
    readonly admissionShare?: number | undefined;
    /** Whether a downstream hop has already handled retries, as indicated by the header `oleandergap-retry: no`. */
    readonly retriedDownstream: boolean;
    /** Whether the target responded with a failure because a call that it made was not served. */
    readonly isStarved?: boolean | undefined;
    /** Set when the attempt failed for lack of request heartbeats but the gate may still respond. */
    readonly open?: OpenAttempt<Answer>;
}

/** An attempt that failed for lack of request heartbeats and is left running until their next timeout. */
export interface OpenAttempt<Answer> {
    /** Never rejects. */
    readonly result: Promise<AttemptResult<Answer>>;
    readonly cancel: () => void;
}

/** Sends the request to one target. The implementation must observe the deadline and the signal. */
export type Attempt<Target extends RoutableTarget, Answer> = (
    target: Target,
    context: AttemptContext,
) => Promise<AttemptResult<Answer>>;

/** Releases a response that is not needed, so that it does not occupy a connection. */
export type DiscardAnswer<Answer> = (answer: Answer) => void;

/** A response and how it was obtained. */
export interface Routed<Answer> {
    readonly answer: Answer;
    readonly attempts: number;
    /** Whether the response is returned to the caller with `oleandergap-retry: no`. */
    readonly retriedDownstream: boolean;
    /** Whether the target responded with a failure because a call that it made was not served. */
    readonly isStarved?: boolean;
}

/**
 * A target that a request was sent to, and why it gave no response. The failure is undefined while no result of the
 * attempt is known.
 */
export interface AttemptedTarget {
    readonly nodeId: NodeId;
    readonly failure: RequestFailure | undefined;
}

/** The final failure of a request. Its verdict covers all attempts, not only the last one. */
export interface RoutedFailure {
    readonly failure: RequestFailure;
    readonly attempts: number;
    readonly attemptedTargets: readonly AttemptedTarget[];
    /** Whether the failure is returned to the caller with `oleandergap-retry: no`. */
    readonly retriedDownstream: boolean;
    /** Retry delay for the caller, computed from the refusals and failures. */
    readonly retryAfterMs: Milliseconds;
}

/** Routes requests, each with one or more attempts. */
export interface RequestRouter<Target extends RoutableTarget> {
    /**
     * Sends a request and retries it at other targets where that is safe. Never rejects. `discard` receives responses
     * that arrive after another response was chosen.
     */
    readonly execute: <Answer>(
        execution: RequestExecution<Target>,
        attempt: Attempt<Target, Answer>,
        discard?: DiscardAnswer<Answer>,
    ) => Promise<Either<RoutedFailure, Routed<Answer>>>;
}
