/**
 * Requests that wait for a slot. Each one leaves the queue when it starts, when it can no longer finish before its
 * deadline, or when its caller disconnects.
 */
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";
import { DEFAULT_KIND, type AdmissionRequest } from "./admission.js";
import type { FairQueue, Flow, RequestTimes } from "./fairQueue.js";
import type { Decision, Refusals } from "./refusals.js";

/** Minimum delay of a timer. */
const MINIMUM_TIMER_DELAY_MS = 1;

/** A waiting request. `settle` ends the wait with a decision: an admission or a refusal. */
export interface WaitingRequest extends RequestTimes {
    /** Changes when a request that could meet its objective becomes late. */
    flow: Flow<WaitingRequest>;
    readonly kind: string;
    readonly queuedAt: Milliseconds;
    readonly settle: (decision: Decision) => void;
}

/** Dependencies for queueing requests. */
export interface EnqueueDependencies {
    readonly clock: Clock;
    readonly queue: FairQueue<WaitingRequest>;
    readonly serviceTime: (kind: string) => Milliseconds;
    readonly refusals: Refusals;
    /** Runs after a request left the queue without a slot. */
    readonly onRemoved: () => void;
}

/** Adds a request to the queue. Resolves when the request starts or is refused; never rejects. */
export type Enqueue = (request: AdmissionRequest, flow: Flow<WaitingRequest>) => Promise<Decision>;

/** Creates the function that queues requests. It starts one timer for each waiting request. */
export const createEnqueue = ({
    clock,
    queue,
    serviceTime,
    refusals,
    onRemoved,
}: EnqueueDependencies): Enqueue => (request, flow) =>
    new Promise((resolve) => {
        let cancelTimer: CancelTimer = () => undefined;

        const removeAndRefuse = (createRefusal: () => Decision): void => {
            if (queue.remove(waitingRequest.flow, waitingRequest)) {
                waitingRequest.settle(createRefusal());
                onRemoved();
            }
        };
        const onAbort = (): void => removeAndRefuse(refusals.forCancellation);

        const waitingRequest: WaitingRequest = {
            flow,
            kind: request.kind ?? DEFAULT_KIND,
            deadline: request.deadline,
            objective: request.objective ?? request.deadline,
            queuedAt: clock.monotonic(),
            settle: (decision) => {
                cancelTimer();
                request.signal.removeEventListener("abort", onAbort);
                resolve(decision);
            },
        };

        const getTimeToStart = (): Milliseconds =>
            waitingRequest.deadline - serviceTime(waitingRequest.kind) - clock.monotonic();

        /**
         * Starts a timer that fires when the request can no longer finish before its deadline, which is earlier than
         * the deadline.
         */
        const startTimer = (): void => {
            // The check in the callback must use the same expression as the delay. With a different expression, the
            // remaining time could be rounded to zero for the delay and still be positive in the check: the timer would
            // fire immediately again and again, and the process would spin.
            cancelTimer = clock.after(Math.max(MINIMUM_TIMER_DELAY_MS, getTimeToStart()), () => {
                if (getTimeToStart() > 0) {
                    startTimer();
                }
                else {
                    removeAndRefuse(() => refusals.forCapacity("DeadlinePassed"));
                }
            });
        };

        queue.add(flow, waitingRequest, waitingRequest.queuedAt);
        startTimer();
        request.signal.addEventListener("abort", onAbort, { once: true });
    });
