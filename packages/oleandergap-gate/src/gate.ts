/** Admission control of one target: slots, a bounded queue, fair sharing and draining. */
import type { Clock, Limit, Milliseconds } from "oleandergap-types";
import { DEFAULT_KIND, type AdmissionRequest, type Gate } from "./admission.js";
import { createCustomerAdmission } from "./customerAdmission.js";
import { describeLoad } from "./describeLoad.js";
import { createDrain } from "./drain.js";
import { createFairQueue } from "./fairQueue.js";
import { createForecast, type GateState } from "./forecast.js";
import { defaultGateOptions, type GateOptions } from "./options.js";
import { createLateRequests } from "./lateRequests.js";
import { createOfferedLoad } from "./offeredLoad.js";
import { createMakeRoom } from "./queueRoom.js";
import { createPaceMeter } from "./paceMeter.js";
import { createQueueStarter } from "./queueStarter.js";
import { createRankedQueue, getRequestTimes, type RankedRequest } from "./rankedQueue.js";
import { createRefusals, type Decision, type Refusals } from "./refusals.js";
import { createRequestRate } from "./requestRate.js";
import { createRequestStarter } from "./requestStarter.js";
import { createSlots } from "./slots.js";
import { createUrgentReserve } from "./urgentReserve.js";
import { createEnqueue, type WaitingRequest } from "./waitingRequests.js";

/** Dependencies and initial values of a gate. */
export interface GateDependencies {
    readonly clock: Clock;
    readonly limit: Limit;
    /** Number of requests that the target runs concurrently; 0 while there is no target. */
    readonly slots: number;
    readonly options?: GateOptions;
    /**
     * Returns for how long this process has stood still in total. Such times count as no part of a run: a response that
     * was read late says nothing about its target. By default 0.
     */
    readonly pausedTime?: () => Milliseconds;
}

interface GateStatus {
    readonly isDraining: boolean;
    readonly capacity: number;
    readonly refusals: Refusals;
    readonly now: Milliseconds;
}

/** Returns a refusal for a request that could not start even after waiting, and undefined for any other request. */
const refuseImmediately = (
    request: AdmissionRequest,
    { isDraining, capacity, refusals, now }: GateStatus,
): Decision | undefined => {
    if (isDraining) {
        return refusals.forUnavailability("Draining");
    }
    if (capacity === 0) {
        return refusals.forUnavailability("NotReady");
    }
    if (request.signal.aborted) {
        return refusals.forCancellation();
    }
    return request.deadline <= now ? refusals.forCapacity("DeadlinePassed") : undefined;
};

/** Creates the gate of one target. It accepts requests immediately. */
export const createGate = ({
    clock,
    limit,
    slots: announcedSlots,
    options = defaultGateOptions,
    pausedTime = () => 0,
}: GateDependencies): Gate => {
    const queue = createFairQueue<WaitingRequest>(options.queueOrder);
    const paceMeter = createPaceMeter();
    const forecast = createForecast({ clock, options, paceMeter });
    let capacity = Math.min(limit.concurrency, announcedSlots);
    let queueLimit = limit.queue;

    const onSlotReleased = (): void => {
        queueStarter.startWaiting();
        drain.resolveIfEmpty();
    };
    const requestRate = createRequestRate(clock);
    const meters = { forecast, requestRate, paceMeter };
    const slots = createSlots({ clock, pausedTime, queue, ...meters, capacity: () => capacity, onSlotReleased });

    const getState = (): GateState => ({
        running: slots.running(),
        capacity,
        queued: queue.size(),
        startInterval: requestRate.interval(),
        startDelay: requestRate.timeToNext(),
    });

    const hasFreeSlot = (): boolean => slots.canAcquire() && queue.size() === 0;
    const refusals = createRefusals({ clock, options, forecast, state: getState });

    const offeredLoad = createOfferedLoad();
    const lateRequests = createLateRequests({ forecast, offeredLoad, state: getState, marginPart: options.marginPart });
    const rankedQueue = createRankedQueue({ queue, lateRequests, refusals, fairShare: options.fairShare });

    const drain = createDrain(clock, () => slots.running() === 0 && queue.size() === 0);

    const startRequest = createRequestStarter({ clock, queue, forecast, rankedQueue, slots, refusals });

    const refuseAllWaiting = (reason: "Draining" | "NotReady"): void => {
        for (let waitingRequest = queue.dequeue(0); waitingRequest !== undefined; waitingRequest = queue.dequeue(0)) {
            queue.deleteIfIdle(waitingRequest.flow);
            waitingRequest.settle(refusals.forUnavailability(reason));
        }
        drain.resolveIfEmpty();
    };

    const urgentReserve = createUrgentReserve({
        clock, forecast, capacity: () => capacity, running: slots.running, listRuns: slots.listRuns,
    });

    const queueStarter = createQueueStarter({
        clock, queue, slots, requestRate, urgentReserve, startRequest, queueLimit: () => queueLimit, drain,
    });

    const enqueue = createEnqueue({
        clock,
        queue,
        serviceTime: forecast.serviceTime,
        refusals,
        onRemoved: drain.resolveIfEmpty,
    });

    const makeRoom = createMakeRoom({ queue, refusals, queueLimit: () => queueLimit });

    const decide = (request: RankedRequest): Decision | Promise<Decision> => {
        const now = clock.monotonic();
        const immediateRefusal = refuseImmediately(request, { isDraining: drain.isStarted(), capacity, refusals, now });
        if (immediateRefusal !== undefined) {
            return immediateRefusal;
        }
        offeredLoad.recordArrival({
            priority: request.priority ?? 0,
            isOverShare: request.isOverShare,
            serviceTime: forecast.holdingTime(request.kind ?? DEFAULT_KIND),
        }, now);
        if (request.servesCustomers) {
            urgentReserve.recordArrival(request);
        }
        rankedQueue.refuseUnservable(now);
        if (queue.size() > 0) {
            // With a request limit, time alone can make room. Waiting requests start before this one.
            queueStarter.startWaiting();
        }
        const timelyFlow = rankedQueue.getOrCreateFlow(request, false);
        const requestsAhead = queue.countRequestsAhead(timelyFlow, getRequestTimes(request));
        const refusalForDeadline = refusals.forDeadline(request, requestsAhead);
        if (refusalForDeadline === undefined && queueStarter.canStart(request)) {
            return slots.acquire(timelyFlow, request.kind ?? DEFAULT_KIND, now);
        }
        const isLate = lateRequests.isLate(request, requestsAhead, now);
        if (isLate) {
            queue.deleteIfIdle(timelyFlow);
        }
        const flow = isLate ? rankedQueue.getOrCreateFlow(request, true) : timelyFlow;
        const refusalForLateness = isLate ? rankedQueue.refuseLate(request, flow, now) : undefined;
        const refusal = refusalForDeadline ?? refusalForLateness ?? makeRoom(flow);
        if (refusal === undefined) {
            const decision = enqueue(request, flow);
            queueStarter.startWaiting();
            return decision;
        }
        queue.deleteIfIdle(flow);
        return refusal;
    };

    const setLimit = (nextLimit: Limit, nextSlots: number): void => {
        queueLimit = nextLimit.queue;
        capacity = Math.min(nextLimit.concurrency, nextSlots);
        queueStarter.startWaiting();
        if (nextSlots === 0) {
            // Without a target no waiting request can start, so all of them are refused immediately.
            refuseAllWaiting("NotReady");
        }
    };

    return {
        ...createCustomerAdmission({ clock, forecast, refusals, decide, capacity: () => capacity, hasFreeSlot }),
        setLimit,
        setRequestLimit: (requestsPerSecond) => {
            requestRate.setLimit(requestsPerSecond);
            queueStarter.startWaiting();
        },
        recordReport: ({ pace }) => paceMeter.record(pace, clock.monotonic()),
        load: (kind) => describeLoad(getState(), { forecast, paceMeter, kind, now: clock.monotonic() }),
        countRecentRequests: requestRate.countRecent,
        recordResend: requestRate.recordRequest,
        drain: drain.start,
        mayStart: drain.mayStart,
        refuseWaiting: () => {
            drain.endStarts();
            refuseAllWaiting("Draining");
        },
    };
};
