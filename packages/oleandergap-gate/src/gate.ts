/** Admission in front of one target: slots, a bounded queue, fair share and drain. */
import type { Clock, Limit } from "oleandergap-types";
import { USUAL_KIND, type AdmissionRequest, type Gate } from "./admission.js";
import { createDrain } from "./drain.js";
import { createFairQueue, type Flow } from "./fairQueue.js";
import { createForecast, type GateState } from "./forecast.js";
import { defaultGateOptions, type GateOptions } from "./options.js";
import { createRefusals, type Decision } from "./refusals.js";
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

    const drain = createDrain(() => slots.running() === 0 && queue.size() === 0);

    const startOne = (waiter: Waiter): void => {
        if (clock.monotonic() + forecast.serviceTime(waiter.kind) <= waiter.deadline) {
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

    const refuseUnfit = (request: AdmissionRequest): Decision | undefined => {
        if (drain.isStarted()) {
            return refusals.forAbsence("Draining");
        }
        if (capacity === 0) {
            return refusals.forAbsence("NotReady");
        }
        if (request.signal.aborted) {
            return refusals.forCancellation();
        }
        return request.deadline <= clock.monotonic() ? refusals.forCapacity("DeadlinePassed") : undefined;
    };

    const decide = (request: AdmissionRequest): Decision | Promise<Decision> => {
        const refusalAtOnce = refuseUnfit(request);
        if (refusalAtOnce !== undefined) {
            return refusalAtOnce;
        }
        const flow = queue.flowOf(`${request.partner}/${request.service}`, request.priority ?? 0);
        const refusalForDeadline = refusals.forDeadline(request, queue.countAhead(flow));
        if (refusalForDeadline === undefined && !slots.isFull()) {
            return slots.take(flow, request.kind ?? USUAL_KIND, clock.monotonic());
        }
        const refusal = refusalForDeadline ?? refuseForRoom(flow);
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
