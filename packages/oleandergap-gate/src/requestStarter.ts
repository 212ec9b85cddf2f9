/** Starts a request that has reached the head of the queue, or refuses or demotes it if its time no longer suffices. */
import type { Clock } from "oleandergap-types";
import type { FairQueue } from "./fairQueue.js";
import type { Forecast } from "./forecast.js";
import type { RankedQueue } from "./rankedQueue.js";
import type { Refusals } from "./refusals.js";
import type { Slots } from "./slots.js";
import type { WaitingRequest } from "./waitingRequests.js";

/** Dependencies for starting requests. */
export interface RequestStarterDependencies {
    readonly clock: Clock;
    readonly queue: FairQueue<WaitingRequest>;
    readonly forecast: Pick<Forecast, "serviceTime">;
    readonly rankedQueue: Pick<RankedQueue, "isLate" | "demote">;
    readonly slots: Pick<Slots, "acquire">;
    readonly refusals: Pick<Refusals, "forCapacity">;
}

/** Creates the function that starts a dequeued request. A slot must be free. */
export const createRequestStarter = (
    { clock, queue, forecast, rankedQueue, slots, refusals }: RequestStarterDependencies,
) => (waitingRequest: WaitingRequest): void => {
    const now = clock.monotonic();
    const isInTime = now + forecast.serviceTime(waitingRequest.kind) <= waitingRequest.objective;
    if (!isInTime && !rankedQueue.isLate(waitingRequest.flow) && queue.size() > 0) {
        rankedQueue.demote(waitingRequest, now);
        return;
    }
    if (now + forecast.serviceTime(waitingRequest.kind) <= waitingRequest.deadline) {
        waitingRequest.settle(slots.acquire(waitingRequest.flow, waitingRequest.kind, waitingRequest.queuedAt));
        return;
    }
    queue.deleteIfIdle(waitingRequest.flow);
    waitingRequest.settle(refusals.forCapacity("DeadlinePassed"));
};
