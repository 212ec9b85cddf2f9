/** Collects the attempts of one request and combines their failures. */
import type { Milliseconds, NodeId, RequestFailure, ZoneName } from "oleandergap-types";
import { isCapacityRefusal } from "./recordOutcome.js";
import type { RoutedFailure } from "./requestExecution.js";
import type { RoutableTarget } from "./target.js";

/** The attempts of one request. There is one history per request, to which each attempt is added. */
export interface AttemptHistory {
    readonly attemptedNodeIds: readonly NodeId[];
    readonly capacityRefusals: () => number;
    /** Number of targets that received the request: they ran it, may have run it, or refused it themselves. */
    readonly targetsReached: () => number;
    /** The zone that last refused the request for lack of capacity. */
    readonly overloadedZone: () => ZoneName | undefined;
    readonly lastFailure: () => RequestFailure | undefined;
    readonly addAttempt: (target: RoutableTarget) => void;
    readonly addFailure: (target: RoutableTarget, failure: RequestFailure, retriedDownstream: boolean) => void;
    readonly wasRetriedDownstream: () => boolean;
    /** Returns the final failure of the request. `fallbackRetryAfterMs` is used when no refusal named a retry delay. */
    readonly conclude: (failure: RequestFailure, fallbackRetryAfterMs: Milliseconds) => RoutedFailure;
}

const withRetryAfter = (failure: RequestFailure, retryAfterMs: Milliseconds): RequestFailure =>
    failure.kind === "Refused" ? { ...failure, retryAfterMs } : failure;

const hasReachedTarget = (failure: RequestFailure): boolean =>
    failure.verdict !== "notRun" || (failure.kind === "Refused" && failure.reason === "TargetBusy");

/** Creates the history of a request that has not been attempted yet. */
export const createAttemptHistory = (): AttemptHistory => {
    const attemptedNodeIds: NodeId[] = [];
    const failures = new Map<NodeId, RequestFailure>();
    let capacityRefusals = 0;
    let targetsReached = 0;
    let overloadedZone: ZoneName | undefined;
    let lastFailure: RequestFailure | undefined;
    /** The first failure after which the request may have run. */
    let possibleRunFailure: RequestFailure | undefined;
    let longestRetryAfterMs = 0;
    let wasRetriedDownstream = false;

    const recordRetryAfter = (failure: RequestFailure): void => {
        if ("retryAfterMs" in failure) {
            longestRetryAfterMs = Math.max(longestRetryAfterMs, failure.retryAfterMs);
        }
    };

    /**
     * Creates the final failure, whose verdict covers all attempts. If the response to an idempotent request is lost at
     * one target and another target then refuses the request, the refusal alone would report `notRun` although the
     * request may have run at the first target. The caller would see a "not run" request take effect.
     */
    const conclude: AttemptHistory["conclude"] = (failure, fallbackRetryAfterMs) => {
        recordRetryAfter(failure);
        const retryAfterMs = longestRetryAfterMs > 0 ? longestRetryAfterMs : fallbackRetryAfterMs;
        const overallFailure = failure.verdict === "notRun" ? possibleRunFailure ?? failure : failure;
        return {
            failure: withRetryAfter(overallFailure, retryAfterMs),
            attempts: attemptedNodeIds.length,
            attemptedTargets: attemptedNodeIds.map((nodeId) => ({ nodeId, failure: failures.get(nodeId) })),
            retriedDownstream: wasRetriedDownstream || attemptedNodeIds.length > 0,
            retryAfterMs,
        };
    };

    return {
        attemptedNodeIds,
        capacityRefusals: () => capacityRefusals,
        targetsReached: () => targetsReached,
        overloadedZone: () => overloadedZone,
        lastFailure: () => lastFailure,
        addAttempt: (target) => {
            attemptedNodeIds.push(target.nodeId);
        },
        addFailure: (target, failure, retriedDownstream) => {
            lastFailure = failure;
            failures.set(target.nodeId, failure);
            wasRetriedDownstream ||= retriedDownstream;
            recordRetryAfter(failure);
            targetsReached += hasReachedTarget(failure) ? 1 : 0;
            if (failure.verdict === "mayHaveRun") {
                possibleRunFailure ??= failure;
            }
            if (failure.kind === "Refused" && isCapacityRefusal(failure.reason)) {
                capacityRefusals += 1;
                overloadedZone = target.zone;
            }
        },
        wasRetriedDownstream: () => wasRetriedDownstream,
        conclude,
    };
};
