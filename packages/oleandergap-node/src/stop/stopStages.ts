/**
 * The order in which the parts of a stopping node stop serving.
 *
 * Callers keep sending requests until two readiness checks have reported that the node is not ready. The target on the
 * VM keeps running when its node restarts. If the gate closed at the stop signal, that target would be idle while
 * callers are still accepted. A service with four targets would lose a quarter of its capacity for these seconds at
 * each restart, and the other targets would refuse requests. The gate therefore closes later, but early enough that the
 * admitted requests have finished when callers are refused.
 */
import type { Clock, Milliseconds } from "oleandergap-types";
import type { NodeOptions } from "../options.js";

/** Interval between two checks for another target. */
const POLL_INTERVAL_MS: Milliseconds = 50;

/** The actions of the stages, and the conditions for them. */
export interface StopStages {
    /** Returns whether another target of the local target's service accepts requests, or there is no local target. */
    readonly hasSubstitute: () => boolean;
    /** Announces the stop to other nodes and closes the gate. Resolves when the gate is empty or the time is over. */
    readonly closeGate: () => Promise<unknown>;
    /** Starts to refuse requests from callers. */
    readonly refuseCallers: () => void;
    /**
     * Whether the gateway can distinguish requests from the local target from those of other callers, so that it
     * accepts the target's requests until the end. If not, callers are refused only when the gate is empty. Otherwise,
     * the calls of requests that are still running at the target would be refused too, and these requests would fail.
     * Callers are refused after `serveLongestMs` in any case, because requests accepted later might be interrupted with
     * the process.
     */
    readonly canIdentifyLocalTarget: boolean;
}

/** Runs the stages. Resolves when the last stage is over, or earlier if `signal` aborts. */
export const runStopStages = async (
    clock: Clock,
    { serveMs, serveLongestMs, acceptMs, lingerMs }: NodeOptions["stop"],
    { hasSubstitute, closeGate, refuseCallers, canIdentifyLocalTarget }: StopStages,
    signal: AbortSignal,
): Promise<void> => {
    const startedAt = clock.monotonic();

    /**
     * Waits until another target accepts requests. The restarts of several nodes in sequence may overlap. If each node
     * closed its gate after the same time, the gates of all targets of a small service could be closed at the same
     * time, and all its requests would be refused for one or two seconds.
     */
    const waitForSubstitute = async (): Promise<void> => {
        while (!hasSubstitute() && clock.monotonic() - startedAt < serveLongestMs && !signal.aborted) {
            await clock.sleep(POLL_INTERVAL_MS, signal);
        }
    };

    const closeTarget = async (): Promise<void> => {
        await clock.sleep(serveMs, signal);
        await waitForSubstitute();
        await closeGate();
    };
    const closeGateway = async (targetClosed: Promise<void>): Promise<void> => {
        await clock.sleep(acceptMs, signal);
        if (!canIdentifyLocalTarget) {
            const remainingMs = Math.max(0, serveLongestMs - (clock.monotonic() - startedAt));
            await Promise.race([targetClosed, clock.sleep(remainingMs, signal)]);
        }
        refuseCallers();
        await clock.sleep(lingerMs, signal);
    };
    const targetClosed = closeTarget();
    await Promise.all([targetClosed, closeGateway(targetClosed)]);
};
