/** The slots of the target: acquires and releases them, and records the service times. */
import * as either from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds } from "oleandergap-types";
import type { ReleaseOutcome } from "./admission.js";
import type { FairQueue, Flow } from "./fairQueue.js";
import type { Forecast } from "./forecast.js";
import type { Decision } from "./refusals.js";
import type { PaceMeter } from "./paceMeter.js";
import type { RequestRate } from "./requestRate.js";
import type { WaitingRequest } from "./waitingRequests.js";

/** A request that holds a slot. */
export interface SlotRun {
    readonly kind: string;
    /** Monotonic time. */
    readonly startedAt: Milliseconds;
}

/** The slots of one gate. */
export interface Slots {
    /** Returns the requests that hold a slot, the earliest start first. */
    readonly listRuns: () => Iterable<SlotRun>;
    readonly running: () => number;
    /** Returns whether a slot is free and the request limit of the target allows a request. */
    readonly canAcquire: () => boolean;
    /** Acquires a slot for a request of a kind that was queued at `queuedAt`. */
    readonly acquire: (flow: Flow<WaitingRequest>, kind: string, queuedAt: Milliseconds) => Decision;
}

/** Dependencies that are updated when slots are acquired and released. */
export interface SlotsDependencies {
    readonly clock: Clock;
    /** See `GateDependencies`. */
    readonly pausedTime: () => Milliseconds;
    readonly queue: FairQueue<WaitingRequest>;
    readonly forecast: Forecast;
    /** Number of slots that may be in use at the same time. May change while the gate runs. */
    readonly capacity: () => number;
    readonly requestRate: Pick<RequestRate, "timeToNext" | "recordRequest">;
    readonly paceMeter: Pick<PaceMeter, "usualTimeAt" | "current">;
    /** Runs after a slot was released. */
    readonly onSlotReleased: () => void;
}

/** Start of a run in elapsed and in usual time, and the total of the pauses of this process before it. */
interface RunStart {
    readonly startedAt: Milliseconds;
    readonly usualStartedAt: Milliseconds;
    readonly pausedBefore: Milliseconds;
}

/** Creates the slots of a gate; all of them are free. */
export const createSlots = (dependencies: SlotsDependencies): Slots => {
    const { clock, pausedTime, queue, forecast, capacity, requestRate, paceMeter } = dependencies;
    const runs = new Set<SlotRun>();

    const canAcquire = (): boolean => runs.size < capacity() && requestRate.timeToNext() === 0;

    const releaseSlot = (
        flow: Flow<WaitingRequest>,
        run: SlotRun,
        outcome: ReleaseOutcome,
        { startedAt, usualStartedAt, pausedBefore }: RunStart,
    ): void => {
        const now = clock.monotonic();
        // A slower pace is reported only at the end of the first run that it has slowed down. Without the bound, that
        // run would count as long at the usual pace, and a target that has recovered would go on counting as slow.
        const pausedMs = pausedTime() - pausedBefore;
        const elapsedMs = Math.max(0, now - startedAt - pausedMs);
        const usualMs = Math.max(0, paceMeter.usualTimeAt(now) - usualStartedAt - pausedMs);
        const pace = paceMeter.current(now);
        const duration = pace === undefined ? usualMs : Math.min(usualMs, elapsedMs / pace);
        forecast.recordDuration(run.kind, outcome, duration);
        runs.delete(run);
        forecast.recordProgress(now);
        queue.markEnded(flow);
        dependencies.onSlotReleased();
    };

    const acquire = (flow: Flow<WaitingRequest>, kind: string, queuedAt: Milliseconds): Decision => {
        const startedAt = clock.monotonic();
        const usualStartedAt = paceMeter.usualTimeAt(startedAt);
        const pausedBefore = pausedTime();
        const run: SlotRun = { kind, startedAt };
        let isReleased = false;
        runs.add(run);
        requestRate.recordRequest();
        forecast.recordProgress(startedAt);
        queue.markStarted(flow);
        const release = (outcome: ReleaseOutcome): void => {
            if (!isReleased) {
                isReleased = true;
                releaseSlot(flow, run, outcome, { startedAt, usualStartedAt, pausedBefore });
            }
        };
        return either.right({ queuedMs: startedAt - queuedAt, release });
    };

    return { listRuns: () => runs, running: () => runs.size, canAcquire, acquire };
};
