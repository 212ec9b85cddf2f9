/**
 * Notices that this process is behind with its events, for want of processor time or after a pause.
 *
 * A process that is behind reads a request long after it arrived, and the caller's hanging up, which arrived since,
 * only after that. One would see requests handed to targets whose callers left a second ago. While it is behind, it
 * therefore reads what else has arrived before it hands a request on.
 */
import type { Clock, Milliseconds } from "oleandergap-types";
import { waitTurns } from "oleandergap-utils";

/** Distance of two looks while requests come. */
const LOOK_INTERVAL_MS: Milliseconds = 50;
/**
 * Distance of two looks while none come: that of a node's other periodic work, at the same moments, so that a look does
 * not wake the process by itself.
 */
const QUIET_INTERVAL_MS: Milliseconds = 100;
/** Requests come as long as the last one is not older than this. */
const QUIET_AFTER_MS: Milliseconds = 1000;
/** A look that comes this much too late shows that the process is behind. */
const BEHIND_MS: Milliseconds = 30;
/** How long one late look counts. */
const MEMORY_MS: Milliseconds = 500;

/** Watches from `start` on. */
export interface LoopLag {
    readonly start: (signal: AbortSignal) => void;
    /** Undefined unless the process is behind; then resolves when what has arrived by now is read. */
    readonly catchUp: () => Promise<void> | undefined;
}

/** A pause that is long enough to hurt requests, and to be told to operators. */
const NOTEWORTHY_MS: Milliseconds = 250;

/** What a watch over the event loop works with. */
export interface LoopLagOptions {
    readonly clock: Clock;
    /** Is told pauses of a quarter of a second and more, each once. */
    readonly onPause: (lagMs: Milliseconds) => void;
    /** Resolves in the next turn of the event loop. */
    readonly turn?: () => Promise<void>;
}

export const createLoopLag = ({ clock, onPause, turn }: LoopLagOptions): LoopLag => {
    let behindUntil = Number.NEGATIVE_INFINITY;
    /** When the next look is due. */
    let dueAt = Number.POSITIVE_INFINITY;
    let askedAt = Number.NEGATIVE_INFINITY;

    /**
     * Quiet looks fall on multiples of their distance. Under load a look right after a late one would find the process
     * behind more often than it is.
     */
    const nextLook = (now: Milliseconds): Milliseconds =>
        now - askedAt < QUIET_AFTER_MS ?
            now + LOOK_INTERVAL_MS :
            (Math.floor(now / QUIET_INTERVAL_MS) + 1) * QUIET_INTERVAL_MS;

    /**
     * Asked at every look and for every request: after a pause, the event loop may read many requests before it comes
     * to the timer of the look, and those are the ones that have waited longest.
     */
    const isBehind = (now: Milliseconds): boolean => {
        if (now - dueAt > BEHIND_MS) {
            behindUntil = now + MEMORY_MS;
        }
        return now < behindUntil;
    };

    const look = (signal: AbortSignal): void => {
        const now = clock.monotonic();
        isBehind(now);
        if (now - dueAt > NOTEWORTHY_MS) {
            onPause(now - dueAt);
        }
        if (!signal.aborted) {
            dueAt = nextLook(now);
            clock.after(dueAt - now, () => look(signal));
        }
    };

    return {
        start: look,
        catchUp: () => {
            askedAt = clock.monotonic();
            return isBehind(askedAt) ? waitTurns(turn) : undefined;
        },
    };
};

/** Watches until `signal` aborts. */
export const startLoopLag = (options: LoopLagOptions, signal: AbortSignal): LoopLag => {
    const lag = createLoopLag(options);
    lag.start(signal);
    return lag;
};
