/** What the attempts of one request add up to. */
import type { Milliseconds, NodeId, RequestFailure, ZoneName } from "oleandergap-types";
import { isShortage } from "./learnOutcome.js";
import type { RoutedFailure } from "./requestExecution.js";
import type { RoutableTarget } from "./target.js";

/** Grows with each attempt; one exists for each request. */
export interface AttemptHistory {
    readonly tried: readonly NodeId[];
    readonly shortages: () => number;
    /** Targets that received the request: they ran it, may have run it, or refused it themselves. */
    readonly targetsReached: () => number;
    /** The zone that last refused for want of capacity. */
    readonly shortZone: () => ZoneName | undefined;
    readonly lastFailure: () => RequestFailure | undefined;
    readonly addAttempt: (target: RoutableTarget) => void;
    readonly addFailure: (target: RoutableTarget, failure: RequestFailure, retriedBelow: boolean) => void;
    readonly wasRetriedBelow: () => boolean;
    /** The request's final failure; `fallbackRetryAfterMs` serves where no refusal named a time. */
    readonly conclude: (failure: RequestFailure, fallbackRetryAfterMs: Milliseconds) => RoutedFailure;
}

const withRetryAfter = (failure: RequestFailure, retryAfterMs: Milliseconds): RequestFailure =>
    failure.kind === "Refused" ? { ...failure, retryAfterMs } : failure;

const hasReachedTarget = (failure: RequestFailure): boolean =>
    failure.verdict !== "notRun" || (failure.kind === "Refused" && failure.reason === "TargetBusy");

/** Starts before the first attempt. */
export const createAttemptHistory = (): AttemptHistory => {
    const tried: NodeId[] = [];
    const failures = new Map<NodeId, RequestFailure>();
    let shortages = 0;
    let targetsReached = 0;
    let shortZone: ZoneName | undefined;
    let lastFailure: RequestFailure | undefined;
    /** The first failure after which the request may have run. */
    let possibleRun: RequestFailure | undefined;
    let longestRetryAfterMs = 0;
    let wasRetriedBelow = false;

    const noteRetryAfter = (failure: RequestFailure): void => {
        if ("retryAfterMs" in failure) {
            longestRetryAfterMs = Math.max(longestRetryAfterMs, failure.retryAfterMs);
        }
    };

    /**
     * If an idempotent request is lost at one target and then refused by another one, the refusal alone would say
     * `notRun` of a request that may have run at the first. The caller would see a "not run" request take effect.
     */
    const conclude: AttemptHistory["conclude"] = (failure, fallbackRetryAfterMs) => {
        noteRetryAfter(failure);
        const retryAfterMs = longestRetryAfterMs > 0 ? longestRetryAfterMs : fallbackRetryAfterMs;
        const covering = failure.verdict === "notRun" ? possibleRun ?? failure : failure;
        return {
            failure: withRetryAfter(covering, retryAfterMs),
            attempts: tried.length,
            tried: tried.map((nodeId) => ({ nodeId, failure: failures.get(nodeId) })),
            retriedBelow: wasRetriedBelow || tried.length > 0,
            retryAfterMs,
        };
    };

    return {
        tried,
        shortages: () => shortages,
        targetsReached: () => targetsReached,
        shortZone: () => shortZone,
        lastFailure: () => lastFailure,
        addAttempt: (target) => {
            tried.push(target.nodeId);
        },
        addFailure: (target, failure, retriedBelow) => {
            lastFailure = failure;
            failures.set(target.nodeId, failure);
            wasRetriedBelow ||= retriedBelow;
            noteRetryAfter(failure);
            targetsReached += hasReachedTarget(failure) ? 1 : 0;
            if (failure.verdict === "mayHaveRun") {
                possibleRun ??= failure;
            }
            if (failure.kind === "Refused" && isShortage(failure.reason)) {
                shortages += 1;
                shortZone = target.zone;
            }
        },
        wasRetriedBelow: () => wasRetriedBelow,
        conclude,
    };
};
