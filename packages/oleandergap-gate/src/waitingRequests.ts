/** Requests that wait for a slot: each leaves the queue once it starts, runs out of time, or its caller hangs up. */
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";
import { USUAL_KIND, type AdmissionRequest } from "./admission.js";
import type { FairQueue, Flow, Waiting } from "./fairQueue.js";
import type { Decision, Refusals } from "./refusals.js";

/** Shortest time for which a timer is armed. */
const MINIMUM_TIMER_MS = 1;

/** A waiting request; `settle` ends its wait. */
export interface Waiter extends Waiting {
    /** Changes when a request that was in time becomes late. */
    flow: Flow<Waiter>;
    readonly kind: string;
    readonly queuedAt: Milliseconds;
    readonly settle: (decision: Decision) => void;
}

/** What a waiting request may meet: its slot, its deadline, or a caller that hangs up. */
export interface EnqueueDependencies {
    readonly clock: Clock;
    readonly queue: FairQueue<Waiter>;
    readonly serviceTime: (kind: string) => Milliseconds;
    readonly refusals: Refusals;
    /** Runs after a request left the queue without a slot. */
    readonly onLeave: () => void;
}

/** Puts a request into the queue; resolves when it starts or is refused, and never rejects. */
export type Enqueue = (request: AdmissionRequest, flow: Flow<Waiter>) => Promise<Decision>;

/** Arms one timer for each waiting request. */
export const createEnqueue = ({
    clock,
    queue,
    serviceTime,
    refusals,
    onLeave,
}: EnqueueDependencies): Enqueue => (request, flow) =>
    new Promise((resolve) => {
        let cancelTimer: CancelTimer = () => undefined;

        const leave = (answer: () => Decision): void => {
            if (queue.remove(waiter.flow, waiter)) {
                waiter.settle(answer());
                onLeave();
            }
        };
        const hangUp = (): void => leave(refusals.forCancellation);

        const waiter: Waiter = {
            flow,
            kind: request.kind ?? USUAL_KIND,
            deadline: request.deadline,
            objective: request.objective ?? request.deadline,
            queuedAt: clock.monotonic(),
            settle: (decision) => {
                cancelTimer();
                request.signal.removeEventListener("abort", hangUp);
                resolve(decision);
            },
        };

        const timeToStart = (): Milliseconds => waiter.deadline - serviceTime(waiter.kind) - clock.monotonic();

        /** Fires once the request can no longer finish in time, which is earlier than its deadline. */
        const armTimer = (): void => {
            // Compared in any other form than it is armed with, the rest of the time may be rounded to nothing and yet
            // seem positive: the timer is armed for now again and again, and the process spins.
            cancelTimer = clock.after(Math.max(MINIMUM_TIMER_MS, timeToStart()), () => {
                if (timeToStart() > 0) {
                    armTimer();
                }
                else {
                    leave(() => refusals.forCapacity("DeadlinePassed"));
                }
            });
        };

        queue.add(flow, waiter, waiter.queuedAt);
        armTimer();
        request.signal.addEventListener("abort", hangUp, { once: true });
    });
