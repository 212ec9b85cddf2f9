/**
 * Handling of late requests: requests whose response would arrive after their latency objective.
 *
 * With a queue in arrival order, an overloaded target answers every request late, because each one waits for requests
 * that are already late. The target is then busy all the time, yet almost no response meets its objective. Requests
 * that can still meet their objective therefore start first. Late requests start only if the requests that start before
 * them leave capacity; otherwise they are refused immediately instead of waiting until their deadlines. Less urgent
 * requests are not counted as load here. If they were, a busy target would refuse calls that requests running at other
 * targets depend on, and those requests would fail.
 */
import type { Milliseconds } from "oleandergap-types";
import { DEFAULT_KIND, type AdmissionRequest } from "./admission.js";
import type { Forecast, GateState } from "./forecast.js";
import type { OfferedLoad } from "./offeredLoad.js";

/** Minimum share of the target's capacity that must be unused for a late request to wait for it. */
const MINIMUM_SPARE_SHARE = 0.05;

/** The properties of a request that determine whether it is late. Times are on the monotonic clock. */
export type RequestTiming = Pick<AdmissionRequest, "deadline" | "objective" | "kind" | "priority"> & {
    /** Whether the customer of the request is over its share. */
    readonly isOverShare: boolean;
};

export interface LateRequestsDependencies {
    readonly forecast: Forecast;
    readonly offeredLoad: OfferedLoad;
    readonly state: () => GateState;
    /** See `GateOptions`. */
    readonly marginPart: number;
}

export interface LateRequests {
    /** Returns whether a request with `requestsAhead` requests before it would miss its objective. */
    readonly isLate: (timing: RequestTiming, requestsAhead: number, now: Milliseconds) => boolean;
    /** Returns by how much a late request would miss its deadline; 0 or less if the request should wait. */
    readonly deadlineOverrun: (timing: RequestTiming, requestsAhead: number, now: Milliseconds) => Milliseconds;
}

export const createLateRequests = (
    { forecast, offeredLoad, state, marginPart }: LateRequestsDependencies,
): LateRequests => {
    const getServiceTime = ({ kind = DEFAULT_KIND }: RequestTiming): Milliseconds => forecast.serviceTime(kind);

    /** Returns the time reserved for a run that takes longer than the median. */
    const computeMargin = ({ kind = DEFAULT_KIND }: RequestTiming, slack: Milliseconds): Milliseconds => {
        const tailTime = forecast.serviceTimePercentile90(kind) - forecast.serviceTime(kind);
        return Math.min(Math.max(0, tailTime), marginPart * Math.max(0, slack));
    };

    return {
        isLate: (timing, requestsAhead, now) => {
            if (timing.objective === undefined) {
                return false;
            }
            const slack = timing.objective - now - getServiceTime(timing);
            return forecast.expectedWait(state(), requestsAhead, now) + computeMargin(timing, slack) > slack;
        },
        deadlineOverrun: (timing, requestsAhead, now) => {
            const gateState = state();
            const wait = forecast.expectedWait(gateState, requestsAhead, now);
            const { priority = 0, isOverShare } = timing;
            const usableSlots = forecast.usableSlots(gateState);
            const spareShare = 1 - offeredLoad.utilisation({ priority, isOverShare }, usableSlots, now);
            const timeToStart = spareShare < MINIMUM_SPARE_SHARE ? wait / MINIMUM_SPARE_SHARE : wait / spareShare;
            return now + timeToStart + getServiceTime(timing) - timing.deadline;
        },
    };
};
