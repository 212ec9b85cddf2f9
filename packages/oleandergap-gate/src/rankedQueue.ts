/**
 * Divides each priority of the queue into levels: requests that can meet their objective, followed by late ones, and
 * both with the requests of customers over their share last.
 */
import type { Milliseconds, RefusalReason } from "oleandergap-types";
import type { AdmissionRequest } from "./admission.js";
import type { FairQueue, Flow, RequestTimes } from "./fairQueue.js";
import type { LateRequests, RequestTiming } from "./lateRequests.js";
import type { FairShare } from "./options.js";
import type { Decision, Refusals } from "./refusals.js";
import type { WaitingRequest } from "./waitingRequests.js";

const LEVELS_PER_PRIORITY = 4;
/** Offset of the levels of late requests within a priority. */
const LATE_LEVEL = 2;
/** Offset of the level of customers over their share among the timely and among the late requests. */
const OVER_SHARE_LEVEL = 1;

/** Returns the priority of the requests of a flow. */
export const getFlowPriority = ({ priority }: Pick<Flow<WaitingRequest>, "priority">): number =>
    Math.floor(priority / LEVELS_PER_PRIORITY);

const getTiming = ({ deadline, objective, kind, flow }: WaitingRequest): RequestTiming => ({
    deadline,
    objective,
    kind,
    priority: getFlowPriority(flow),
    isOverShare: isFlowOverShare(flow),
});

/** Returns whether the requests of a flow rank as those of customers over their share. */
export const isFlowOverShare = ({ priority }: Pick<Flow<WaitingRequest>, "priority">): boolean =>
    priority % LATE_LEVEL === OVER_SHARE_LEVEL;

const chooseReason = (flow: Flow<WaitingRequest>): RefusalReason =>
    isFlowOverShare(flow) ? "FairShareExceeded" : "DeadlineTooShort";

/** Minimum interval between two checks for waiting requests that cannot finish before their deadlines. */
const CHECK_INTERVAL_MS: Milliseconds = 20;

/** Returns the times by which a request is ordered in the queue. */
export const getRequestTimes = ({ deadline, objective = deadline }: AdmissionRequest): RequestTimes =>
    ({ deadline, objective });

/** A request and the standing of its customer. */
export interface RankedRequest extends AdmissionRequest {
    readonly isOverShare: boolean;
    /** Whether the gate serves customers. Then slots are kept back for short urgent requests. */
    readonly servesCustomers: boolean;
}

export interface RankedQueueDependencies {
    readonly queue: FairQueue<WaitingRequest>;
    readonly lateRequests: LateRequests;
    readonly refusals: Refusals;
    readonly fairShare: FairShare;
}

export interface RankedQueue {
    readonly getOrCreateFlow: (request: RankedRequest, isLate: boolean) => Flow<WaitingRequest>;
    readonly isLate: (flow: Flow<WaitingRequest>) => boolean;
    /**
     * Moves a waiting request that became late to a position after the requests that can meet their objective. Refuses
     * it if it would miss its deadline there.
     */
    readonly demote: (waitingRequest: WaitingRequest, now: Milliseconds) => void;
    /** Refuses waiting late requests that can no longer finish before their deadlines. */
    readonly refuseUnservable: (now: Milliseconds) => void;
    /** Returns a refusal if a late request in the flow would miss its deadline, and undefined if it may wait. */
    readonly refuseLate: (
        request: RankedRequest,
        flow: Flow<WaitingRequest>,
        now: Milliseconds,
    ) => Decision | undefined;
}

export const createRankedQueue = (
    { queue, lateRequests, refusals, fairShare }: RankedQueueDependencies,
): RankedQueue => {
    let lastCheckAt = Number.NEGATIVE_INFINITY;

    const isLate: RankedQueue["isLate"] = ({ priority }) => priority % LEVELS_PER_PRIORITY >= LATE_LEVEL;

    const demote: RankedQueue["demote"] = (waitingRequest, now) => {
        const { caller, priority } = waitingRequest.flow;
        const lateFlow = queue.getOrCreateFlow(caller, priority + LATE_LEVEL);
        queue.deleteIfIdle(waitingRequest.flow);
        const overrun = lateRequests.deadlineOverrun(
            getTiming(waitingRequest),
            queue.countRequestsAhead(lateFlow, waitingRequest),
            now,
        );
        if (overrun > 0) {
            queue.deleteIfIdle(lateFlow);
            waitingRequest.settle(refusals.forCapacity(chooseReason(waitingRequest.flow), overrun));
            return;
        }
        waitingRequest.flow = lateFlow;
        queue.add(lateFlow, waitingRequest, now);
    };

    /**
     * Refuses late requests that were queued before the load increased. Since requests that can meet their objective
     * start first, such late requests would wait until their deadlines. They are refused as soon as this is
     * predictable.
     */
    const refuseUnservable: RankedQueue["refuseUnservable"] = (now) => {
        if (now - lastCheckAt < CHECK_INTERVAL_MS) {
            return;
        }
        lastCheckAt = now;
        const unservable = queue.removeMatching((waitingRequest, flow) =>
            isLate(flow) && lateRequests.deadlineOverrun(getTiming(waitingRequest), 0, now) > 0);
        for (const waitingRequest of unservable) {
            queue.deleteIfIdle(waitingRequest.flow);
            waitingRequest.settle(refusals.forCapacity(chooseReason(waitingRequest.flow)));
        }
    };

    return {
        getOrCreateFlow: ({ partner, service, priority = 0, isOverShare }, isLateRequest) => queue.getOrCreateFlow(
            fairShare === "partners" ? partner : `${partner}/${service}`,
            LEVELS_PER_PRIORITY * priority +
                (isLateRequest ? LATE_LEVEL : 0) +
                (isOverShare ? OVER_SHARE_LEVEL : 0),
        ),
        isLate,
        demote,
        refuseUnservable,
        refuseLate: (request, flow, now) => {
            const overrun = lateRequests.deadlineOverrun(
                request,
                queue.countRequestsAhead(flow, getRequestTimes(request)),
                now,
            );
            return overrun > 0 ? refusals.forCapacity(chooseReason(flow), overrun) : undefined;
        },
    };
};
