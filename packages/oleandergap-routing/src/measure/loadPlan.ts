/** Parameters of a discrete-event run of one service, and the figures that it produces. */
import type { GateOptions } from "oleandergap-gate";
import type { Limit, Milliseconds } from "oleandergap-types";

/** A load and the targets that serve it. */
export interface LoadPlan {
    readonly seed: number;
    readonly durationMs: Milliseconds;
    /** Only requests that arrive after this time are counted. */
    readonly warmUpMs: Milliseconds;
    /** Requests per second as a multiple of the capacity of all targets. */
    readonly load: number;
    readonly targets: number;
    readonly zones: number;
    /** Number of nodes at which requests arrive. */
    readonly gateways: number;
    readonly announcedSlots: number;
    /** Number of requests that a target can process concurrently without slowing down. */
    readonly trueSlots: number;
    readonly meanServiceMs: Milliseconds;
    /** Factor by which the first target is slower than the others. */
    readonly slowFactor: number;
    readonly networkMs: Milliseconds;
    readonly timeoutMs: Milliseconds;
    /** Share of requests that may safely run twice. */
    readonly idempotentShare: number;
    readonly limit: Limit;
    readonly gateOptions: GateOptions;
}

/** Results of a run. Fields that end in `Share` are shares from 0 to 1. */
export interface LoadFigures {
    /** Responses within the deadline per second, as a share of the capacity of all targets. */
    readonly goodputShare: number;
    readonly answeredShare: number;
    readonly refusedShare: number;
    /** Share of requests that ended without a response and without a refusal. */
    readonly lostShare: number;
    readonly answerMedianMs: Milliseconds;
    readonly answerP99Ms: Milliseconds;
    readonly refusalMedianMs: Milliseconds;
    readonly refusalP99Ms: Milliseconds;
    /** Runs started at targets per request. */
    readonly runsPerRequest: number;
    /** Attempts sent per request. */
    readonly attemptsPerRequest: number;
    /** Number of non-idempotent requests that ran more than once. */
    readonly duplicateRuns: number;
}

/** Result of a request from the caller's point of view. */
export type RequestResult = "Answered" | "Refused" | "Lost";
