/** One timer that watches over an exchange: its deadline, and how long it has been silent. */
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";
import { afterReading } from "oleandergap-utils";

export interface ProgressWatchOptions {
    readonly clock: Clock;
    /** Monotonic time. */
    readonly deadline: Milliseconds;
    /** Longest time without a sign; undefined when only the deadline counts. */
    readonly silenceMs: Milliseconds | undefined;
    readonly onDeadline: () => void;
    /**
     * Called each time that so long has passed without a sign. `lateMs` tells how much later than due this process
     * noticed: it was behind with its events for about as long.
     */
    readonly onSilence: (lateMs: Milliseconds) => void;
}

export interface ProgressWatch {
    /** The other side gave a sign. */
    readonly heard: () => void;
    readonly stop: () => void;
}

/**
 * Watches until it is stopped. A sign only notes its time; the timer looks at it when it fires, so that signs cost
 * nothing and an exchange needs one timer.
 * A late timer lets signs that lie there unread be read first.
 */
export const startProgressWatch = (options: ProgressWatchOptions): ProgressWatch => {
    const { clock, deadline, silenceMs, onDeadline, onSilence } = options;
    /** Time of the last sign, or of the last silence that was told. */
    let countsFrom = clock.monotonic();
    let cancel: CancelTimer = () => undefined;

    const silenceEnd = (): Milliseconds =>
        silenceMs === undefined ? Number.POSITIVE_INFINITY : countsFrom + silenceMs;

    const arm = (now: Milliseconds): void => {
        cancel = afterReading(clock, Math.max(0, Math.min(deadline, silenceEnd()) - now), tell);
    };

    const tell = (): void => {
        const now = clock.monotonic();
        if (now >= deadline) {
            onDeadline();
            return;
        }
        if (now >= silenceEnd()) {
            const lateMs = now - silenceEnd();
            countsFrom = now;
            onSilence(lateMs);
        }
        arm(now);
    };

    arm(countsFrom);
    return {
        heard: () => {
            countsFrom = clock.monotonic();
        },
        stop: () => cancel(),
    };
};
