/** Collects the attempts of one request and combines their failures. */
import type { Milliseconds, NodeId, RequestFailure, ZoneName } from "oleandergap-types";
import { isShortage } from "./learnOutcome.js";
import type { RoutedFailure } from "./requestExecution.js";
import type { RoutableTarget } from "./target.js";

/** The attempts of one request. There is one history per request, to which each attempt is added. */
export interface AttemptHistory {
    readonly tried: readonly NodeId[];
    readonly shortages: () => number;
    /** Number of targets that received the request: they ran it, may have run it, or refused it themselves. */
    readonly targetsReached: () => number;
    /** The zone that last refused the request for lack of capacity. */
    readonly shortZone: () => ZoneName | undefined;
    readonly lastFailure: () => RequestFailure | undefined;
    readonly addAttempt: (target: RoutableTarget) => void;
    readonly addFailure: (target: RoutableTarget, failure: RequestFailure, retriedBelow: boolean) => void;
    readonly wasRetriedBelow: () => boolean;
    /** Returns the final failure of the request. `fallbackRetryAfterMs` is used when no refusal named a retry delay. */
    readonly conclude: (failure: RequestFailure, fallbackRetryAfterMs: Milliseconds) => RoutedFailure;
}

const withRetryAfter = (failure: RequestFailure, retryAfterMs: Milliseconds): RequestFailure =>
    failure.kind === "Refused" ? { ...failure, retryAfterMs } : failure;

const hasReachedTarget = (failure: RequestFailure): boolean =>
    failure.verdict !== "notRun" || (failure.kind === "Refused" && failure.reason === "TargetBusy");

/** Creates the history of a request that has not been attempted yet. */
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
     * If the response to an idempotent request is lost at one target and another target then refuses the request, the
     * refusal alone would report `notRun` although the request may have run at the first target. The caller would see a
     * "not run" request take effect.
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
