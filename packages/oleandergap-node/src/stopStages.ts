/**
 * The order in which a stopping node closes its doors.
 *
 * Callers go on coming until they have been told twice that the node is not ready, and the target beside a node that
 * restarts lives on. A gate that closed with the signal to stop would leave that target idle for as long as callers are
 * still accepted: of a service with four targets, a quarter of the capacity is gone for these seconds at each restart,
 * and one would see the other targets refuse requests. The gate therefore closes later, just early enough that what it
 * let in is through when the callers are sent away.
 */
import type { Clock } from "oleandergap-types";
import type { NodeOptions } from "./options.js";

/** What closes at each stage. */
export interface StopStages {
    /** Tells the other nodes, and resolves when the gate is empty or the time for that is over. */
    readonly closeGate: () => Promise<unknown>;
    /** From now on callers are refused. */
    readonly refuseCallers: () => void;
}

/** Resolves when the last stage is over; sooner when `signal` aborts. */
export const runStopStages = async (
    clock: Clock,
    { serveMs, acceptMs, lingerMs }: NodeOptions["stop"],
    { closeGate, refuseCallers }: StopStages,
    signal: AbortSignal,
): Promise<void> => {
    const closeTarget = async (): Promise<void> => {
        await clock.sleep(serveMs, signal);
        await closeGate();
    };
    const closeGateway = async (): Promise<void> => {
        await clock.sleep(acceptMs, signal);
        refuseCallers();
        await clock.sleep(lingerMs, signal);
    };
    await Promise.all([closeTarget(), closeGateway()]);
};
