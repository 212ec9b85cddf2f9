/** A mutex with a bounded first-in-first-out queue. */
import type { Clock, Milliseconds } from "oleandergap-types";

/** Releases the lock to the next waiting request. Further calls have no effect. */
export type ReleaseLock = () => void;

/** Limits how long a request waits for the lock. */
export interface LockRequest {
    /** Monotonic time. */
    readonly deadline: Milliseconds;
    readonly signal: AbortSignal;
}

/** A lock that one request holds at a time. */
export interface AsyncMutex {
    /**
     * Resolves with the release function, or with undefined if the wait was aborted or timed out or the queue is full.
     */
    readonly acquire: (request: LockRequest) => Promise<ReleaseLock | undefined>;
}

/** Maximum queue length. With a longer queue, most of the waiting requests would reach their deadlines. */
const MAX_WAITING = 32;

/** Creates an unlocked mutex. */
export const createAsyncMutex = (clock: Clock): AsyncMutex => {
    const waiting = new Set<() => void>();
    let isLocked = false;

    const lock = (): ReleaseLock => {
        isLocked = true;
        let isReleased = false;
        return () => {
            if (isReleased) {
                return;
            }
            isReleased = true;
            isLocked = false;
            const [next] = waiting;
            next?.();
        };
    };

    const wait = ({ deadline, signal }: LockRequest): Promise<ReleaseLock | undefined> => new Promise((resolve) => {
        const stopWaiting = (): void => {
            waiting.delete(acquireLock);
            cancelTimer();
            signal.removeEventListener("abort", cancelWait);
        };
        const acquireLock = (): void => {
            stopWaiting();
            resolve(lock());
        };
        const cancelWait = (): void => {
            stopWaiting();
            resolve(undefined);
        };
        const cancelTimer = clock.after(deadline - clock.monotonic(), cancelWait);
        signal.addEventListener("abort", cancelWait, { once: true });
        waiting.add(acquireLock);
    });

    return {
        acquire: (request) => {
            if (!isLocked) {
                return Promise.resolve(lock());
            }
            return waiting.size >= MAX_WAITING || request.signal.aborted ? Promise.resolve(undefined) : wait(request);
        },
    };
};
