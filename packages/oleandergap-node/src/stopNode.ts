/**
 * Stops a node, within a time that does not depend on what it waits for.
 *
 * The platform kills a process that is still there at the end of its grace time, and with it the connections of all
 * callers whose answers have not left. So everything that a stop waits for, the store and other nodes above all, is
 * bounded by the time for draining as a whole; what is left then gets its final answer, and the process ends.
 */
import { describeError, raceAbort, startTimeLimit } from "oleandergap-utils";
import type { Milliseconds } from "oleandergap-types";
import { destroyListeners, type NodeListeners } from "./listeners.js";
import type { LifecycleDependencies } from "./nodeLifecycle.js";
import { runStopStages } from "./stopStages.js";

/** Time in which the final answers to what was given up reach their callers; several turns of a busy event loop. */
const FINAL_ANSWERS_MS: Milliseconds = 150;
/** Further time while callers are still without theirs, for a process that is behind with its events. */
const LATE_ANSWERS_MS: Milliseconds = 250;
/** Longest wait for connections to close; they close within a turn of the event loop or two. */
const CLOSE_MS: Milliseconds = 100;

/** Longest time of a stop beyond `stop.drainTimeoutMs`. */
export const STOP_END_MS: Milliseconds = FINAL_ANSWERS_MS + LATE_ANSWERS_MS + CLOSE_MS;

const waitForGate = ({ requestPath }: LifecycleDependencies, signal: AbortSignal): Promise<void> =>
    raceAbort(requestPath.target.stop(), signal, () => undefined);

/** A step that fails does not keep the later ones from what is still in flight. */
const attempt = (
    { logger }: Pick<LifecycleDependencies, "logger">,
    name: string,
    step: () => Promise<void>,
): Promise<void> =>
    step().catch((error: unknown) => logger.error(`${name} failed.`, { detail: describeError(error) }));

const tellOtherNodes = (dependencies: LifecycleDependencies): Promise<void> =>
    attempt(dependencies, "Telling other nodes of the stop", dependencies.controlPlane.membership.leave);

/** Serves on until callers and other nodes have turned elsewhere. */
const serveOn = (dependencies: LifecycleDependencies, signal: AbortSignal): Promise<void> => {
    const { options, clock, readiness, requestPath } = dependencies;
    return runStopStages(clock, options.stop, {
        hasSubstitute: requestPath.hasSubstitute,
        closeGate: () => Promise.all([tellOtherNodes(dependencies), waitForGate(dependencies, signal)]),
        refuseCallers: () => {
            readiness.refusing = true;
        },
        knowsOwnTarget: requestPath.knowsOwnTarget,
    }, signal);
};

/** A node that has never been ready has refused everybody, so nobody has to be sent elsewhere. */
const leaveUnserved = async (dependencies: LifecycleDependencies, signal: AbortSignal): Promise<void> => {
    const { options, clock } = dependencies;
    await Promise.all([tellOtherNodes(dependencies), clock.sleep(options.stop.lingerMs, signal)]);
};

/** Resolves when nothing is left in flight. */
const drainNode = async (
    dependencies: LifecycleDependencies,
    listeners: NodeListeners,
    signal: AbortSignal,
): Promise<void> => {
    const { readiness, requestPath } = dependencies;
    await (readiness.recovered ? serveOn : leaveUnserved)(dependencies, signal);
    await Promise.all([listeners.gateway.drain(0, signal), listeners.gate.drain(0, signal)]);
    await attempt(dependencies, "Handing keys over", () => requestPath.claims.leave(signal));
    await attempt(dependencies, "Recording outcomes", () => requestPath.claims.drain(signal));
};

/** Cut off without a word, a caller could not tell whether its request ran, nor when to come back. */
const giveUpRest = async (
    { clock, logger, requestPath, signal }: LifecycleDependencies,
    listeners: NodeListeners,
): Promise<void> => {
    logger.warn("The time for draining is over; what is left is given up.");
    requestPath.giveUpAll();
    await clock.sleep(FINAL_ANSWERS_MS, signal);
    const late = startTimeLimit(clock, LATE_ANSWERS_MS, signal);
    await listeners.gateway.drain(0, late.signal);
    late.cancel();
};

const closeConnections = async (dependencies: LifecycleDependencies, listeners: NodeListeners): Promise<void> => {
    const { clock, controlPlane, requestPath, signal } = dependencies;
    destroyListeners(listeners);
    controlPlane.peers.close();
    const closed = attempt(dependencies, "Closing connections", requestPath.pools.destroy);
    await Promise.race([closed, clock.sleep(CLOSE_MS, signal)]);
};

/** Resolves when the process may end: `STOP_END_MS` after the time for draining at the latest. */
export const stopNode = async (dependencies: LifecycleDependencies, listeners: NodeListeners): Promise<void> => {
    const { options, clock, readiness, signal } = dependencies;
    // Aborts when the time for draining is over or everything is to end at once.
    const limit = startTimeLimit(clock, options.stop.drainTimeoutMs, signal);
    readiness.draining = true;
    listeners.gateway.announceClose();
    // Not all that the steps wait for keeps to the signal, such as a call to a store that is silent.
    await raceAbort(drainNode(dependencies, listeners, limit.signal), limit.signal, () => undefined);
    if (limit.hasPassed()) {
        await giveUpRest(dependencies, listeners);
    }
    limit.cancel();
    await closeConnections(dependencies, listeners);
};
