/** A request on its way: what the router is given, what one attempt yields, and what comes out in the end. */
import type { Either } from "fp-ts/lib/Either.js";
import type { GateLoad, Milliseconds, NodeId, RequestFailure, ServiceReference, ServiceRow } from "oleandergap-types";
import type { AttemptProgress, RoutableTarget } from "./target.js";

/** One request, and what it allows. */
export interface RequestExecution<Target extends RoutableTarget> {
    readonly service: ServiceReference;
    readonly row: ServiceRow;
    /** The service's targets; the same array as long as nothing changed. */
    readonly targets: readonly Target[];
    readonly idempotent: boolean;
    /** Asked after a failed attempt: whether the body can still be sent whole, because it is kept or untouched. */
    readonly replayable: () => boolean;
    /** Time by which the answer must be complete, on the monotonic clock. */
    readonly deadline: Milliseconds;
    /** False when a hop above asks that nobody below retries. */
    readonly retriesAllowed: boolean;
    /** Most targets that the request may reach; undefined when the settings alone bound it. */
    readonly maximumTargets?: number | undefined;
    /** Requests of one kind take about the same time; all are alike when it is not given. */
    readonly kind?: string;
    /** The caller was refused before; such requests are the first that a busy target refuses. */
    readonly isReturning?: boolean;
    /** Why the request may not be sent, after so many attempts, if so; asked before each attempt. */
    readonly findObstacle?: ((attempts: number) => RequestFailure | undefined) | undefined;
    /** Aborts when the caller hangs up. */
    readonly signal: AbortSignal;
}

/** Bounds of one attempt. */
export interface AttemptContext {
    readonly deadline: Milliseconds;
    readonly signal: AbortSignal;
    /** Takes what is learnt of the target on the way. */
    readonly progress: AttemptProgress;
}

/** What one attempt yields. */
export interface AttemptResult<Answer> {
    readonly outcome: Either<RequestFailure, Answer>;
    /** The gate's load when it answered; undefined when it did not. */
    readonly load: GateLoad | undefined;
    /** A hop below has already dealt with retries, as told by the header `oleandergap-retry: no`. */
    readonly retriedBelow: boolean;
    /** The target answered with a failure because a call that it made was not served. */
    readonly isStarved?: boolean | undefined;
    /** Present when the outcome is the silence of a gate that may answer yet. */
    readonly open?: OpenAttempt<Answer>;
}

/** An attempt that failed by its silence, and goes on until it is silent once more. */
export interface OpenAttempt<Answer> {
    /** Never rejects. */
    readonly result: Promise<AttemptResult<Answer>>;
    readonly cancel: () => void;
}

/** Sends the request to one target. Must keep to the deadline and the signal by itself. */
export type Attempt<Target extends RoutableTarget, Answer> = (
    target: Target,
    context: AttemptContext,
) => Promise<AttemptResult<Answer>>;

/** Gives an answer up that nobody wants, so that it holds no connection. */
export type DiscardAnswer<Answer> = (answer: Answer) => void;

/** An answer and how it was come by. */
export interface Routed<Answer> {
    readonly answer: Answer;
    readonly attempts: number;
    /** The answer goes up with `oleandergap-retry: no`. */
    readonly retriedBelow: boolean;
    /** The target answered with a failure because a call that it made was not served. */
    readonly isStarved?: boolean;
}

/** A target that a request was sent to, and why it gave no answer; without a failure it was not heard of yet. */
export interface TriedTarget {
    readonly nodeId: NodeId;
    readonly failure: RequestFailure | undefined;
}

/** The final failure of a request. Its verdict covers all attempts, not only the last one. */
export interface RoutedFailure {
    readonly failure: RequestFailure;
    readonly attempts: number;
    readonly tried: readonly TriedTarget[];
    /** The failure goes up with `oleandergap-retry: no`. */
    readonly retriedBelow: boolean;
    /** When to come back, computed from what refused or failed. */
    readonly retryAfterMs: Milliseconds;
}

/** Carries requests to their end over one or several attempts. */
export interface RequestRouter<Target extends RoutableTarget> {
    /**
     * Sends a request, and again elsewhere where that is safe. Never rejects. `discard` takes answers that come after
     * another one was chosen.
     */
    readonly execute: <Answer>(
        execution: RequestExecution<Target>,
        attempt: Attempt<Target, Answer>,
        discard?: DiscardAnswer<Answer>,
    ) => Promise<Either<RoutedFailure, Routed<Answer>>>;
}
