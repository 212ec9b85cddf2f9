/** Monitors the deadline and the inactivity timeout of an exchange with a single timer. */
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";
import { startReadAwareTimer } from "oleandergap-utils";

export interface ProgressMonitorOptions {
    readonly clock: Clock;
    /** Deadline as monotonic time. */
    readonly deadline: Milliseconds;
    /** Maximum time without activity; undefined when only the deadline applies. */
    readonly silenceMs: Milliseconds | undefined;
    readonly onDeadline: () => void;
    /**
     * Called each time that `silenceMs` has passed without activity. `lateMs` is the delay with which this process
     * noticed it, which is about its event loop lag.
     */
    readonly onSilence: (lateMs: Milliseconds) => void;
}

export interface ProgressMonitor {
    /** Records activity of the remote side. */
    readonly recordActivity: () => void;
    readonly stop: () => void;
}

/**
 * Starts to monitor an exchange until `stop` is called. Activity only updates a timestamp, and the timer compares it
 * when it fires, so that recording activity is cheap and each exchange needs only one timer. When the timer fires late,
 * pending input is read first.
 */
export const startProgressMonitor = (options: ProgressMonitorOptions): ProgressMonitor => {
    const { clock, deadline, silenceMs, onDeadline, onSilence } = options;
    /** Time of the last activity or of the last reported silence. */
    let silentSince = clock.monotonic();
    let cancel: CancelTimer = () => undefined;

    const computeSilenceDeadline = (): Milliseconds =>
        silenceMs === undefined ? Number.POSITIVE_INFINITY : silentSince + silenceMs;

    const startTimer = (now: Milliseconds): void => {
        cancel = startReadAwareTimer(clock, Math.max(0, Math.min(deadline, computeSilenceDeadline()) - now), onTimer);
    };

    const onTimer = (): void => {
        const now = clock.monotonic();
        if (now >= deadline) {
            onDeadline();
            return;
        }
        if (now >= computeSilenceDeadline()) {
            const lateMs = now - computeSilenceDeadline();
            silentSince = now;
            onSilence(lateMs);
        }
        startTimer(now);
    };

    startTimer(silentSince);
    return {
        recordActivity: () => {
            silentSince = clock.monotonic();
        },
        stop: () => cancel(),
    };
};
