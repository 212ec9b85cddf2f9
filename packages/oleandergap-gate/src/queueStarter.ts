/** Starts waiting requests while slots are free, the request limit allows it and no slot is kept back. */
import type { Clock } from "oleandergap-types";
import type { Drain } from "./drain.js";
import type { FairQueue } from "./fairQueue.js";
import { getFlowPriority } from "./rankedQueue.js";
import type { RequestRate } from "./requestRate.js";
import type { Slots } from "./slots.js";
import type { ReservedRequest, UrgentReserve } from "./urgentReserve.js";
import type { WaitingRequest } from "./waitingRequests.js";

export interface QueueStarterDependencies {
    readonly clock: Clock;
    readonly queue: Pick<FairQueue<WaitingRequest>, "size" | "peek" | "dequeue">;
    readonly slots: Pick<Slots, "canAcquire">;
    readonly requestRate: Pick<RequestRate, "callWhenAllowed">;
    readonly urgentReserve: Pick<UrgentReserve, "mayStart" | "callWhenAllowed">;
    /** Maximum number of waiting requests. May change while the gate runs. */
    readonly queueLimit: () => number;
    readonly startRequest: (waitingRequest: WaitingRequest) => void;
    readonly drain: Pick<Drain, "mayStart">;
}

export interface QueueStarter {
    /** Returns whether a request may take one of the slots now. */
    readonly canStart: (request: ReservedRequest) => boolean;
    /** Starts all waiting requests that may start, and calls itself when the next one may. */
    readonly startWaiting: () => void;
}

/** Creates the starter of a queue. */
export const createQueueStarter = (dependencies: QueueStarterDependencies): QueueStarter => {
    const { clock, queue, slots, requestRate, urgentReserve, queueLimit, startRequest, drain } = dependencies;

    // Without a queue, a request that had to wait would be refused although there is room.
    const isSlotAvailable = (request: ReservedRequest): boolean =>
        queueLimit() === 0 || urgentReserve.mayStart(request);

    const startWaiting = (): void => {
        while (drain.mayStart() && slots.canAcquire()) {
            const next = queue.peek(clock.monotonic());
            if (next === undefined) {
                return;
            }
            if (!isSlotAvailable({ kind: next.kind, priority: getFlowPriority(next.flow) })) {
                urgentReserve.callWhenAllowed(startWaiting);
                return;
            }
            const waitingRequest = queue.dequeue(clock.monotonic());
            if (waitingRequest !== undefined) {
                startRequest(waitingRequest);
            }
        }
        // A slot that is free while the request limit allows no start will not be released, so a timer has to start
        // the next request.
        if (queue.size() > 0) {
            requestRate.callWhenAllowed(startWaiting);
        }
    };

    return { canStart: (request) => slots.canAcquire() && isSlotAvailable(request), startWaiting };
};
