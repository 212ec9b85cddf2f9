/**
 * Single timer of the membership, which also detects that the process was paused.
 *
 * When a stopped process (SIGSTOP, a paused VM, a long garbage collection) resumes, all its timeouts have expired while
 * the responses received during the pause are still in the socket buffer. Evaluating the timeouts would declare the
 * whole zone dead, which appears as a large number of suspicions by one node after a gap in its log. A timer that fires
 * far too late reveals the pause before any timeout is evaluated, because all timeouts are evaluated in this timer.
 */
import type { Clock, Milliseconds } from "oleandergap-types";

export interface Ticker {
    readonly start: (signal: AbortSignal) => void;
}

export interface TickerDependencies {
    readonly clock: Clock;
    readonly tickMs: Milliseconds;
    /** Delay of a tick above which a pause is assumed. */
    readonly pauseBoundMs: Milliseconds;
    readonly onTick: () => void;
    /** Called before the delayed tick is processed. */
    readonly onPause: (duration: Milliseconds) => void;
}

/** Creates a ticker. Each tick is scheduled after the previous one has finished, so ticks never accumulate. */
export const createTicker = ({ clock, tickMs, pauseBoundMs, onTick, onPause }: TickerDependencies): Ticker => ({
    start: (signal) => {
        let cancel = (): void => undefined;

        const schedule = (): void => {
            const due = clock.monotonic() + tickMs;
            cancel = clock.after(tickMs, () => {
                const lateBy = clock.monotonic() - due;
                if (signal.aborted) {
                    return;
                }
                if (lateBy > pauseBoundMs) {
                    onPause(lateBy);
                }
                onTick();
                schedule();
            });
        };

        signal.addEventListener("abort", () => {
            cancel();
        }, { once: true });
        if (!signal.aborted) {
            schedule();
        }
    },
});
