/** The two ranks of each priority in the queue: requests that can be in time, and after them those that cannot. */
import type { Milliseconds } from "oleandergap-types";
import type { AdmissionRequest } from "./admission.js";
import type { FairQueue, Flow, Waiting } from "./fairQueue.js";
import type { LateRequests, Timing } from "./lateRequests.js";
import type { FairShare } from "./options.js";
import type { Decision, Refusals } from "./refusals.js";
import type { Waiter } from "./waitingRequests.js";

const RANKS_PER_PRIORITY = 2;

const timingOf = ({ deadline, objective, kind, flow }: Waiter): Timing =>
    ({ deadline, objective, kind, priority: Math.floor(flow.priority / RANKS_PER_PRIORITY) });

/** Shortest time between two looks for waiting requests without hope. */
const LOOK_INTERVAL_MS: Milliseconds = 20;

/** The times by which a request is put in order. */
export const timesOf = ({ deadline, objective = deadline }: AdmissionRequest): Waiting => ({ deadline, objective });

export interface RankedQueueDependencies {
    readonly queue: FairQueue<Waiter>;
    readonly late: LateRequests;
    readonly refusals: Refusals;
    readonly fairShare: FairShare;
}

export interface RankedQueue {
    readonly flowOf: (request: AdmissionRequest, isLate: boolean) => Flow<Waiter>;
    readonly isLate: (flow: Flow<Waiter>) => boolean;
    /** A request that has become late in the queue leaves its place to one that is in time. */
    readonly demote: (waiter: Waiter, now: Milliseconds) => void;
    /** Refuses late requests that waited since before the load rose. */
    readonly refuseHopeless: (now: Milliseconds) => void;
    /** The refusal of a late request that would miss its deadline in the flow; undefined when it may wait. */
    readonly refuseLate: (request: AdmissionRequest, flow: Flow<Waiter>, now: Milliseconds) => Decision | undefined;
}

export const createRankedQueue = ({ queue, late, refusals, fairShare }: RankedQueueDependencies): RankedQueue => {
    let lookedAt = Number.NEGATIVE_INFINITY;

    const isLate: RankedQueue["isLate"] = ({ priority }) => priority % RANKS_PER_PRIORITY === 1;

    const demote: RankedQueue["demote"] = (waiter, now) => {
        const { caller, priority } = waiter.flow;
        const lateFlow = queue.flowOf(caller, priority + 1);
        queue.dropIfIdle(waiter.flow);
        const missing = late.missingTime(timingOf(waiter), queue.countAhead(lateFlow, waiter), now);
        if (missing > 0) {
            queue.dropIfIdle(lateFlow);
            waiter.settle(refusals.forCapacity("DeadlineTooShort", missing));
            return;
        }
        waiter.flow = lateFlow;
        queue.add(lateFlow, waiter, now);
    };

    /**
     * Late requests that were let wait before the load rose would be held until their deadlines, since those in time
     * go first; they are told as soon as that shows.
     */
    const refuseHopeless: RankedQueue["refuseHopeless"] = (now) => {
        if (now - lookedAt < LOOK_INTERVAL_MS) {
            return;
        }
        lookedAt = now;
        const hopeless = queue.takeAll((waiter, flow) =>
            isLate(flow) && late.missingTime(timingOf(waiter), 0, now) > 0);
        for (const waiter of hopeless) {
            queue.dropIfIdle(waiter.flow);
            waiter.settle(refusals.forCapacity("DeadlineTooShort"));
        }
    };

    return {
        flowOf: ({ partner, service, priority = 0 }, isLateRequest) => queue.flowOf(
            fairShare === "partners" ? partner : `${partner}/${service}`,
            RANKS_PER_PRIORITY * priority + (isLateRequest ? 1 : 0),
        ),
        isLate,
        demote,
        refuseHopeless,
        refuseLate: (request, flow, now) => {
            const missing = late.missingTime(request, queue.countAhead(flow, timesOf(request)), now);
            return missing > 0 ? refusals.forCapacity("DeadlineTooShort", missing) : undefined;
        },
    };
};
