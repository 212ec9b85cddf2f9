/** Makes room for a request in a full queue. */
import type { RefusalReason } from "oleandergap-types";
import type { FairQueue, Flow } from "./fairQueue.js";
import { isFlowOverShare } from "./rankedQueue.js";
import type { Decision, Refusals } from "./refusals.js";
import type { WaitingRequest } from "./waitingRequests.js";

/** Dependencies for making room. */
export interface QueueRoomDependencies {
    readonly queue: FairQueue<WaitingRequest>;
    readonly refusals: Pick<Refusals, "forCapacity">;
    /** Maximum number of waiting requests. May change while the gate runs. */
    readonly queueLimit: () => number;
}

const chooseReason = (flow: Flow<WaitingRequest>, queueLimit: number): RefusalReason => {
    if (queueLimit === 0) {
        return "LimitReached";
    }
    return isFlowOverShare(flow) ? "FairShareExceeded" : "QueueFull";
};

/**
 * Creates the function that makes room in a full queue by evicting a request of a flow that is less urgent or occupies
 * more of the queue. It returns a refusal if there is no such flow.
 */
export const createMakeRoom = (
    { queue, refusals, queueLimit }: QueueRoomDependencies,
) => (flow: Flow<WaitingRequest>): Decision | undefined => {
    if (queue.size() < queueLimit()) {
        return undefined;
    }
    const evicted = queue.evictFor(flow);
    evicted?.settle(refusals.forCapacity("FairShareExceeded"));
    return evicted === undefined ? refusals.forCapacity(chooseReason(flow, queueLimit())) : undefined;
};
