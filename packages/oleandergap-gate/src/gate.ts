/** Admission in front of one target: slots, a bounded queue, fair share and drain. */
import type { Clock, Limit, Milliseconds } from "oleandergap-types";
import { USUAL_KIND, type AdmissionRequest, type Gate } from "./admission.js";
import { createDrain } from "./drain.js";
import { createFairQueue, type Flow, type Waiting } from "./fairQueue.js";
import { createForecast, type GateState } from "./forecast.js";
import { defaultGateOptions, type GateOptions } from "./options.js";
import { createLateRequests } from "./lateRequests.js";
import { createOfferedLoad } from "./offeredLoad.js";
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

/** Shortest time between two looks for waiting requests without hope. */
const LOOK_INTERVAL_MS: Milliseconds = 20;

/** Each priority has two ranks: requests that can be in time, and then those that cannot. */
const RANKS_PER_PRIORITY = 2;

const timesOf = ({ deadline, objective = deadline }: AdmissionRequest): Waiting => ({ deadline, objective });

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
    let lookedAt = Number.NEGATIVE_INFINITY;

    const onFree = (): void => {
        startWaiting();
        drain.finishIfEmpty();
    };
    const slots = createSlots({ clock, queue, forecast, capacity: () => capacity, onFree });

    const state = (): GateState => ({ running: slots.running(), capacity, queued: queue.size() });

    const refusals = createRefusals({ clock, options, forecast, state });

    const offered = createOfferedLoad();
    const late = createLateRequests({ forecast, offered, state });

    const flowOf = ({ partner, service, priority = 0 }: AdmissionRequest, isLate: boolean): Flow<Waiter> =>
        queue.flowOf(
            options.fairShare === "partners" ? partner : `${partner}/${service}`,
            RANKS_PER_PRIORITY * priority + (isLate ? 1 : 0),
        );

    const drain = createDrain(() => slots.running() === 0 && queue.size() === 0);

    const isLateFlow = ({ priority }: Flow<Waiter>): boolean => priority % RANKS_PER_PRIORITY === 1;

    /** A request that has become late in the queue leaves its place to one that is in time. */
    const demote = (waiter: Waiter, lateFlow: Flow<Waiter>, now: Milliseconds): void => {
        queue.dropIfIdle(waiter.flow);
        const missing = late.missingTime(waiter, queue.countAhead(lateFlow, waiter), now);
        if (missing > 0) {
            queue.dropIfIdle(lateFlow);
            waiter.settle(refusals.forCapacity("DeadlineTooShort", missing));
            return;
        }
        waiter.flow = lateFlow;
        queue.add(lateFlow, waiter, now);
    };

    const startOne = (waiter: Waiter): void => {
        const now = clock.monotonic();
        const hasBecomeLate = !isLateFlow(waiter.flow) && now + forecast.serviceTime(waiter.kind) > waiter.objective;
        if (hasBecomeLate && queue.size() > 0) {
            demote(waiter, queue.flowOf(waiter.flow.caller, waiter.flow.priority + 1), now);
            return;
        }
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

    /**
     * Late requests that were let wait before the load rose would be held until their deadlines, since those in time
     * go first; they are told as soon as that shows.
     */
    const refuseHopeless = (now: Milliseconds): void => {
        if (now - lookedAt < LOOK_INTERVAL_MS) {
            return;
        }
        lookedAt = now;
        const hopeless = queue.takeAll((waiter, flow) => isLateFlow(flow) && late.missingTime(waiter, 0, now) > 0);
        for (const waiter of hopeless) {
            queue.dropIfIdle(waiter.flow);
            waiter.settle(refusals.forCapacity("DeadlineTooShort"));
        }
    };

    const refuseLate = (request: AdmissionRequest, flow: Flow<Waiter>, now: Milliseconds): Decision | undefined => {
        const missing = late.missingTime(request, queue.countAhead(flow, timesOf(request)), now);
        return missing > 0 ? refusals.forCapacity("DeadlineTooShort", missing) : undefined;
    };

    const decide = (request: AdmissionRequest): Decision | Promise<Decision> => {
        const refusalAtOnce = refuseUnfit(request);
        if (refusalAtOnce !== undefined) {
            return refusalAtOnce;
        }
        const now = clock.monotonic();
        offered.note(now);
        refuseHopeless(now);
        const timely = flowOf(request, false);
        const ahead = queue.countAhead(timely, timesOf(request));
        const refusalForDeadline = refusals.forDeadline(request, ahead);
        if (refusalForDeadline === undefined && !slots.isFull()) {
            return slots.take(timely, request.kind ?? USUAL_KIND, now);
        }
        const isLate = late.isLate(request, ahead, now);
        if (isLate) {
            queue.dropIfIdle(timely);
        }
        const flow = isLate ? flowOf(request, true) : timely;
        const refusalForLateness = isLate ? refuseLate(request, flow, now) : undefined;
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
