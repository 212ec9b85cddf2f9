/**
 * Decides whether a stopping node can still finish a request that it accepts now.
 *
 * The remaining requests are aborted at a time that is known from the start of the stop. A request that is likely to
 * run longer is refused instead: its caller learns at once that it has not run, and may send it to another node. If it
 * was accepted, its target would be interrupted, and a request that is not idempotent could not be sent again.
 */
import type { Clock, Milliseconds } from "oleandergap-types";
import type { AdmissionRefusal } from "../admin/readiness.js";
import type { RequestPathDependencies } from "../requestPathTypes.js";
import { createLongestDurations, type LongestDurations } from "./longestDurations.js";
import { OTHER_NODES_EXTRA_MS } from "./stopTimes.js";

/** A request that may be accepted. */
export interface StoppableRequest {
    /** Name of the route, or empty. Requests of one kind take about the same time. */
    readonly kind: string;
    /** Monotonic time. */
    readonly deadline: Milliseconds;
}

export interface StopAdmissionDependencies {
    readonly clock: Clock;
    /** Returns the monotonic time at which the remaining requests are aborted; undefined unless the node stops. */
    readonly endsAt: () => Milliseconds | undefined;
    /** Assumed duration of a kind of which too few requests have been served. */
    readonly assumedDurationMs: Milliseconds;
    /** The same at this node's end, for requests whose sender may end later; by default `assumedDurationMs`. */
    readonly assumedAtOwnEndMs?: Milliseconds;
}

export interface StopAdmission {
    /** Returns whether the request ends before the remaining requests are aborted, whatever its target does. */
    readonly endsInTime: (request: StoppableRequest) => boolean;
    /** Returns whether a caller's request is likely to end before the remaining requests are aborted. */
    readonly isLikelyToEnd: (request: StoppableRequest) => boolean;
    /**
     * Returns whether the request is likely to end before the remaining requests are aborted, at this node or, at
     * `senderEndsAt`, at the node that sent it. If this node ends first, its deadline has to be in time. Rare long
     * requests of its kind are taken into account at this node's end, where the sender may have time left.
     */
    readonly canFinish: (request: StoppableRequest, senderEndsAt?: Milliseconds) => boolean;
    /** Records how long a request took from its admission to the end of its response. */
    readonly recordDuration: LongestDurations["record"];
}

/** Creates the decision for the requests that pass one point of a node. */
export const createStopAdmission = (
    { clock, endsAt, assumedDurationMs, assumedAtOwnEndMs = assumedDurationMs }: StopAdmissionDependencies,
): StopAdmission => {
    const longestDurations = createLongestDurations(clock);
    const findEnd = (): Milliseconds => endsAt() ?? Number.POSITIVE_INFINITY;

    /** The duration is looked up only if the deadline does not decide, as it does at a node that is not stopping. */
    const endsBy = (
        end: Milliseconds,
        { deadline, kind }: StoppableRequest,
        findDuration: (kind: string) => Milliseconds | undefined,
    ): boolean => deadline <= end || clock.monotonic() + (findDuration(kind) ?? assumedDurationMs) <= end;

    return {
        endsInTime: ({ deadline }) => deadline <= findEnd(),
        isLikelyToEnd: (request) => endsBy(findEnd(), request, longestDurations.find),
        canFinish: (request, senderEndsAt) => {
            const end = findEnd();
            if (senderEndsAt === undefined) {
                return endsBy(end, request, (kind) => longestDurations.findLongTerm(kind) ?? assumedAtOwnEndMs);
            }
            // Otherwise the response would break off while the stopping sender still has time for it.
            return end + OTHER_NODES_EXTRA_MS < senderEndsAt ?
                request.deadline <= end :
                endsBy(Math.min(end, senderEndsAt), request, longestDurations.find);
        },
        recordDuration: longestDurations.record,
    };
};

/** Assumed duration, as a part of the drain timeout. Requests of unknown kinds are accepted in the first half. */
const ASSUMED_DURATION_PART = 0.5;

/** Creates the decision for the requests that pass one point of this node. */
export const createNodeStopAdmission = (
    { options, clock, readiness }: Pick<RequestPathDependencies, "options" | "clock" | "readiness">,
): StopAdmission => createStopAdmission({
    clock,
    endsAt: () => readiness.endsAt,
    assumedDurationMs: options.stop.drainTimeoutMs * ASSUMED_DURATION_PART,
    // A sender that is stopped later still has time for a response that breaks off here. So only the deadline counts.
    assumedAtOwnEndMs: Number.POSITIVE_INFINITY,
});

/**
 * Who sends a request. `PossiblyLocalTarget`: the local target cannot be told from other callers, and it is running
 * requests, for which it may call other services.
 */
export type CallerIdentity = "LocalTarget" | "PossiblyLocalTarget" | "Other";

/** State of a gateway that decides on a request of a caller. */
export interface GatewayStopState {
    /** Callers have had time to switch to other nodes. */
    readonly isRefusing: boolean;
    readonly caller: CallerIdentity;
    /** Retry delay of a refusal. */
    readonly retryAfterMs: Milliseconds;
}

const isAccepted = (
    { isRefusing, caller }: GatewayStopState,
    admission: StopAdmission,
    request: StoppableRequest,
): boolean => {
    if (caller === "LocalTarget") {
        return true;
    }
    return isRefusing ?
        caller === "PossiblyLocalTarget" && admission.endsInTime(request) :
        admission.isLikelyToEnd(request);
};

/**
 * Returns why a gateway does not accept a request; undefined if it accepts the request.
 *
 * The local target may need its calls to finish its requests in flight, so that refusing them would fail these
 * requests. Where it cannot be told from other callers, every request is accepted that ends in time in any case.
 */
export const findStopRefusal = (
    state: GatewayStopState,
    admission: StopAdmission,
    request: StoppableRequest,
): AdmissionRefusal | undefined =>
    isAccepted(state, admission, request) ? undefined : { reason: "Draining", retryAfterMs: state.retryAfterMs };
