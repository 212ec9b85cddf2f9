/** Admission in front of one target: slots, a bounded queue, fair share and drain. */
import type { Clock, Limit, Milliseconds } from "oleandergap-types";
import { USUAL_KIND, type AdmissionRequest, type Gate } from "./admission.js";
import { createDrain } from "./drain.js";
import { createFairQueue, type Flow } from "./fairQueue.js";
import { createForecast, type GateState } from "./forecast.js";
import { defaultGateOptions, type GateOptions } from "./options.js";
import { createLateRequests } from "./lateRequests.js";
import { createOfferedLoad } from "./offeredLoad.js";
import { createRankedQueue, timesOf } from "./rankedQueue.js";
import { createRefusals, type Decision, type Refusals } from "./refusals.js";
import { createSlots } from "./slots.js";
import { createEnqueue, type Waiter } from "./waitingRequests.js";

/** What a gate starts with. */
export interface GateDependencies {
    readonly clock: Clock;
    readonly limit: Limit;
    /** Requests that the target works on at once; 0 while there is no target. */
    readonly slots: number;
    readonly options?: GateOptions;
}

interface Fitness {
    readonly isDraining: boolean;
    readonly capacity: number;
    readonly refusals: Refusals;
    readonly now: Milliseconds;
}

/** Refuses what no queue could help. */
const refuseUnfit = (
    request: AdmissionRequest,
    { isDraining, capacity, refusals, now }: Fitness,
): Decision | undefined => {
    if (isDraining) {
        return refusals.forAbsence("Draining");
    }
    if (capacity === 0) {
        return refusals.forAbsence("NotReady");
    }
    if (request.signal.aborted) {
        return refusals.forCancellation();
    }
    return request.deadline <= now ? refusals.forCapacity("DeadlinePassed") : undefined;
};

/** Creates the gate of one target; it starts open. */
export const createGate = ({
    clock,
    limit,
    slots: announcedSlots,
    options = defaultGateOptions,
}: GateDependencies): Gate => {
    const queue = createFairQueue<Waiter>(options.queueOrder);
    const forecast = createForecast(options, clock.monotonic());
    let capacity = Math.min(limit.concurrency, announcedSlots);
    let queueLimit = limit.queue;

    const onFree = (): void => {
        startWaiting();
        drain.finishIfEmpty();
    };
    const slots = createSlots({ clock, queue, forecast, capacity: () => capacity, onFree });

    const state = (): GateState => ({ running: slots.running(), capacity, queued: queue.size() });

    const refusals = createRefusals({ clock, options, forecast, state });

    const offered = createOfferedLoad();
    const late = createLateRequests({ forecast, offered, state, marginPart: options.marginPart });
    const ranks = createRankedQueue({ queue, late, refusals, fairShare: options.fairShare });

    const drain = createDrain(() => slots.running() === 0 && queue.size() === 0);

    const startOne = (waiter: Waiter): void => {
        const now = clock.monotonic();
        const isInTime = now + forecast.serviceTime(waiter.kind) <= waiter.objective;
        if (!isInTime && !ranks.isLate(waiter.flow) && queue.size() > 0) {
            ranks.demote(waiter, now);
            return;
        }
        if (now + forecast.serviceTime(waiter.kind) <= waiter.deadline) {
            waiter.settle(slots.take(waiter.flow, waiter.kind, waiter.queuedAt));
            return;
        }
        queue.dropIfIdle(waiter.flow);
        waiter.settle(refusals.forCapacity("DeadlinePassed"));
    };

    const refuseAllWaiting = (reason: "Draining" | "NotReady"): void => {
        for (let waiter = queue.takeNext(0); waiter !== undefined; waiter = queue.takeNext(0)) {
            queue.dropIfIdle(waiter.flow);
            waiter.settle(refusals.forAbsence(reason));
        }
        drain.finishIfEmpty();
    };

    const startWaiting = (): void => {
        while (!slots.isFull()) {
            const waiter = queue.takeNext(clock.monotonic());
            if (waiter === undefined) {
                return;
            }
            startOne(waiter);
        }
    };

    const enqueue = createEnqueue({
        clock,
        queue,
        serviceTime: forecast.serviceTime,
        refusals,
        onLeave: drain.finishIfEmpty,
    });

    /** Makes room in a full queue at the expense of a flow that holds more of it, or tells why there is none. */
    const refuseForRoom = (flow: Flow<Waiter>): Decision | undefined => {
        if (queue.size() < queueLimit) {
            return undefined;
        }
        const excess = queue.takeExcess(flow);
        excess?.settle(refusals.forCapacity("FairShareExceeded"));
        return excess === undefined ? refusals.forCapacity(queueLimit === 0 ? "LimitReached" : "QueueFull") : undefined;
    };

    const decide = (request: AdmissionRequest): Decision | Promise<Decision> => {
        const now = clock.monotonic();
        const refusalAtOnce = refuseUnfit(request, { isDraining: drain.isStarted(), capacity, refusals, now });
        if (refusalAtOnce !== undefined) {
            return refusalAtOnce;
        }
        offered.note({
            priority: request.priority ?? 0,
            serviceTime: forecast.holdingTime(request.kind ?? USUAL_KIND),
        }, now);
        ranks.refuseHopeless(now);
        const timely = ranks.flowOf(request, false);
        const ahead = queue.countAhead(timely, timesOf(request));
        const refusalForDeadline = refusals.forDeadline(request, ahead);
        if (refusalForDeadline === undefined && !slots.isFull()) {
            return slots.take(timely, request.kind ?? USUAL_KIND, now);
        }
        const isLate = late.isLate(request, ahead, now);
        if (isLate) {
            queue.dropIfIdle(timely);
        }
        const flow = isLate ? ranks.flowOf(request, true) : timely;
        const refusalForLateness = isLate ? ranks.refuseLate(request, flow, now) : undefined;
        const refusal = refusalForDeadline ?? refusalForLateness ?? refuseForRoom(flow);
        if (refusal === undefined) {
            return enqueue(request, flow);
        }
        queue.dropIfIdle(flow);
        return refusal;
    };

    const setLimit = (nextLimit: Limit, nextSlots: number): void => {
        queueLimit = nextLimit.queue;
        capacity = Math.min(nextLimit.concurrency, nextSlots);
        startWaiting();
        if (nextSlots === 0) {
            // Without a target nothing that waits can run, so it is told at once.
            refuseAllWaiting("NotReady");
        }
    };

    return {
        admit: async (request) => decide(request),
        setLimit,
        load: () => ({
            inFlight: slots.running(),
            queued: queue.size(),
            capacity,
            expectedWaitMs: forecast.wait(state(), queue.size(), clock.monotonic()),
        }),
        drain: drain.start,
        refuseWaiting: () => refuseAllWaiting("Draining"),
    };
};
