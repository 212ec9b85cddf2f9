/** Watches for a response body that does not end, without a new timer for each chunk. */
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";
import { startReadAwareTimer } from "oleandergap-utils";

/** Limits of the time that a response body takes. */
export interface ResponseBodyLimits {
    /** Maximum time between two chunks, without the time during which the receiver pauses. */
    readonly bodySilenceMs: Milliseconds;
    /** Monotonic time by which the body must be complete. */
    readonly bodyDeadline: Milliseconds;
}

export interface BodyWatch {
    /** Records that data has arrived, or that it may arrive from now on. */
    readonly recordProgress: () => void;
    readonly stop: () => void;
}

/**
 * Calls `onExpired` once, with a description, when a limit is exceeded.
 *
 * @param isPaused Returns whether nothing may arrive at the moment because this side does not read
 */
export const startBodyWatch = (
    clock: Clock,
    { bodySilenceMs, bodyDeadline }: ResponseBodyLimits,
    isPaused: () => boolean,
    onExpired: (detail: string) => void,
): BodyWatch => {
    let lastProgressAt = clock.monotonic();
    let cancel: CancelTimer = () => undefined;

    const schedule = (silenceLeftMs: Milliseconds): void => {
        const delay = Math.min(silenceLeftMs, Math.max(0, bodyDeadline - clock.monotonic()));
        cancel = startReadAwareTimer(clock, delay, check);
    };

    const check = (): void => {
        const now = clock.monotonic();
        const elapsedMs = now - lastProgressAt;
        if (now >= bodyDeadline) {
            onExpired("the response body was not complete at its deadline");
        }
        else if (isPaused()) {
            schedule(bodySilenceMs);
        }
        else if (elapsedMs < bodySilenceMs) {
            schedule(bodySilenceMs - elapsedMs);
        }
        else {
            onExpired(`no data of the response body within ${bodySilenceMs} ms`);
        }
    };

    schedule(bodySilenceMs);
    return {
        recordProgress: () => {
            lastProgressAt = clock.monotonic();
        },
        stop: () => cancel(),
    };
};
