/**
 * The order in which a stopping node stops to serve.
 *
 * Callers go on coming until they have been told twice that the node is not ready, and the target beside a node that
 * restarts lives on. A gate that closed with the signal to stop would leave that target idle for as long as callers are
 * still accepted: of a service with four targets, a quarter of the capacity is gone for these seconds at each restart,
 * and one would see the other targets refuse requests. The gate therefore closes later, just early enough that what it
 * let in is through when the callers are sent away.
 */
import type { Clock, Milliseconds } from "oleandergap-types";
import type { NodeOptions } from "./options.js";

/** Distance of two looks for another target. */
const LOOK_INTERVAL_MS: Milliseconds = 50;

/** What closes at each stage. */
export interface StopStages {
    /** Whether another target of the own target's service takes requests, or there is none to replace. */
    readonly hasSubstitute: () => boolean;
    /** Tells the other nodes, and resolves when the gate is empty or the time for that is over. */
    readonly closeGate: () => Promise<unknown>;
    /** From now on callers are refused. */
    readonly refuseCallers: () => void;
    /**
     * Whether requests of the own target are known from those of callers, and accepted to the end. If not, callers are
     * refused only once the gate is empty: refused with them, the calls of what still runs there would fail its runs.
     * They are refused after `serveLongestMs` in any case: what is let in later might be cut off with the process.
     */
    readonly knowsOwnTarget: boolean;
}

/** Resolves when the last stage is over; sooner when `signal` aborts. */
export const runStopStages = async (
    clock: Clock,
    { serveMs, serveLongestMs, acceptMs, lingerMs }: NodeOptions["stop"],
    { hasSubstitute, closeGate, refuseCallers, knowsOwnTarget }: StopStages,
    signal: AbortSignal,
): Promise<void> => {
    const startedAt = clock.monotonic();

    /**
     * Nodes that restart one after the other may overlap. If each closed after the same time, the gates of all targets
     * of a small service could be closed at once; one would see all its requests refused for a second or two.
     */
    const waitForSubstitute = async (): Promise<void> => {
        while (!hasSubstitute() && clock.monotonic() - startedAt < serveLongestMs && !signal.aborted) {
            await clock.sleep(LOOK_INTERVAL_MS, signal);
        }
    };

    const closeTarget = async (): Promise<void> => {
        await clock.sleep(serveMs, signal);
        await waitForSubstitute();
        await closeGate();
    };
    const closeGateway = async (targetClosed: Promise<void>): Promise<void> => {
        await clock.sleep(acceptMs, signal);
        if (!knowsOwnTarget) {
            const left = Math.max(0, serveLongestMs - (clock.monotonic() - startedAt));
            await Promise.race([targetClosed, clock.sleep(left, signal)]);
        }
        refuseCallers();
        await clock.sleep(lingerMs, signal);
    };
    const targetClosed = closeTarget();
    await Promise.all([targetClosed, closeGateway(targetClosed)]);
};
