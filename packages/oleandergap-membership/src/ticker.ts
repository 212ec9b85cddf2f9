/**
 * The one timer of the membership, which notices when the process itself was paused.
 *
 * A process that was stopped (SIGSTOP, a paused VM, a long collection) finds all its timeouts expired when it resumes,
 * while the answers that arrived meanwhile still wait in the socket. Judging by those timeouts would declare the whole
 * zone dead; one would see a mass of suspicions from one node right after a gap in its log. A timer that fires far too
 * late shows the pause before any timeout is judged, because all of them are judged from this one timer.
 */
import type { Clock, Milliseconds } from "oleandergap-types";

export interface Ticker {
    readonly start: (signal: AbortSignal) => void;
}

export interface TickerDependencies {
    readonly clock: Clock;
    readonly tickMs: Milliseconds;
    /** A tick that is later than this is a pause. */
    readonly pauseBoundMs: Milliseconds;
    readonly onTick: () => void;
    /** Called before the tick that came too late. */
    readonly onPause: (duration: Milliseconds) => void;
}

/** Each tick is scheduled after the last one ended, so ticks never pile up. */
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
