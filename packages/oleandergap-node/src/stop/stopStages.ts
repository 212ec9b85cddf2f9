/**
 * The order in which the parts of a stopping node stop serving.
 *
 * Callers keep sending requests until two readiness checks have reported that the node is not ready. The target on the
 * VM keeps running when its node restarts. If the gate closed at the stop signal, that target would be idle while
 * callers are still accepted. A service with four targets would lose a quarter of its capacity for these seconds at
 * each restart, and the other targets would refuse requests. The gate therefore closes later.
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
    /** Starts to refuse requests from callers; see `findStopRefusal`. */
    readonly refuseCallers: () => void;
}

/** Runs the stages. Resolves when the last stage is over, or earlier if `signal` aborts. */
export const runStopStages = async (
    clock: Clock,
    { serveMs, serveLongestMs, acceptMs, lingerMs }: NodeOptions["stop"],
    { hasSubstitute, closeGate, refuseCallers }: StopStages,
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
    const closeGateway = async (): Promise<void> => {
        await clock.sleep(acceptMs, signal);
        refuseCallers();
        await clock.sleep(lingerMs, signal);
    };
    await Promise.all([closeTarget(), closeGateway()]);
};
