/** Monitors the deadline and the inactivity timeout of an exchange with a single timer. */
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";
import { startReadAwareTimer } from "oleandergap-utils";

export interface ProgressMonitorOptions {
    readonly clock: Clock;
    /** Deadline as monotonic time. */
    readonly deadline: Milliseconds;
    /** Inactivity timeout: maximum time without activity; undefined when only the deadline applies. */
    readonly silenceMs: Milliseconds | undefined;
    readonly onDeadline: () => void;
    /**
     * Called each time that the inactivity timeout has expired. `lateMs` is the delay with which this process detected
     * it, which is about its event loop lag.
     */
    readonly onInactivity: (lateMs: Milliseconds) => void;
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
    const { clock, deadline, silenceMs, onDeadline, onInactivity } = options;
    /** Time of the last activity or of the last reported expiry of the inactivity timeout. */
    let inactiveSince = clock.monotonic();
    let cancel: CancelTimer = () => undefined;

    const computeInactivityDeadline = (): Milliseconds =>
        silenceMs === undefined ? Number.POSITIVE_INFINITY : inactiveSince + silenceMs;

    const startTimer = (now: Milliseconds): void => {
        cancel = startReadAwareTimer(
            clock,
            Math.max(0, Math.min(deadline, computeInactivityDeadline()) - now),
            onTimer,
        );
    };

    const onTimer = (): void => {
        const now = clock.monotonic();
        if (now >= deadline) {
            onDeadline();
            return;
        }
        if (now >= computeInactivityDeadline()) {
            const lateMs = now - computeInactivityDeadline();
            inactiveSince = now;
            onInactivity(lateMs);
        }
        startTimer(now);
    };

    startTimer(inactiveSince);
    return {
        recordActivity: () => {
            inactiveSince = clock.monotonic();
        },
        stop: () => cancel(),
    };
};
