/** The target's slots: who holds one, and what is learnt when it is given back. */
import * as either from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds } from "oleandergap-types";
import type { ReleaseOutcome } from "./admission.js";
import type { FairQueue, Flow } from "./fairQueue.js";
import type { Forecast } from "./forecast.js";
import type { Decision } from "./refusals.js";
import type { Waiter } from "./waitingRequests.js";

/** Counts the slots that are taken. */
export interface Slots {
    readonly running: () => number;
    readonly isFull: () => boolean;
    /** Takes a slot for a request of a kind that arrived at `queuedAt`. */
    readonly take: (flow: Flow<Waiter>, kind: string, queuedAt: Milliseconds) => Decision;
}

/** What is told when slots are taken and given back. */
export interface SlotsDependencies {
    readonly clock: Clock;
    readonly queue: FairQueue<Waiter>;
    readonly forecast: Forecast;
    /** Slots that may be taken at once; may change while the gate runs. */
    readonly capacity: () => number;
    /** Runs after a slot was given back. */
    readonly onFree: () => void;
}

/** Starts with all slots free. */
export const createSlots = ({ clock, queue, forecast, capacity, onFree }: SlotsDependencies): Slots => {
    let running = 0;

    const isFull = (): boolean => running >= capacity();

    const giveBack = (flow: Flow<Waiter>, kind: string, outcome: ReleaseOutcome, startedAt: Milliseconds): void => {
        const now = clock.monotonic();
        forecast.observe(kind, outcome, now - startedAt);
        running -= 1;
        forecast.markProgress(now);
        queue.markEnded(flow);
        onFree();
    };

    const take = (flow: Flow<Waiter>, kind: string, queuedAt: Milliseconds): Decision => {
        const startedAt = clock.monotonic();
        let isReleased = false;
        running += 1;
        forecast.markProgress(startedAt);
        queue.markStarted(flow);
        const release = (outcome: ReleaseOutcome): void => {
            if (!isReleased) {
                isReleased = true;
                giveBack(flow, kind, outcome, startedAt);
            }
        };
        return either.right({ queuedMs: startedAt - queuedAt, release });
    };

    return { running: () => running, isFull, take };
};
