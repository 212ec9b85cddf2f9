/**
 * Stops a node within a bounded time, regardless of the operations that it waits for.
 *
 * The platform kills a process that is still running at the end of its grace period. This closes the connections of all
 * callers that have not received their responses. Therefore, the drain timeout bounds everything that a stop waits for,
 * in particular the store and other nodes. After it, the remaining requests receive a final response, and the process
 * ends.
 */
import { describeError, raceAbort, startTimeLimit } from "oleandergap-utils";
import type { Milliseconds } from "oleandergap-types";
import { destroyListeners, type NodeListeners } from "../listeners.js";
import type { LifecycleDependencies } from "../nodeLifecycle.js";
import { startStopLog, type StopLog } from "./stopLog.js";
import { runStopStages } from "./stopStages.js";
import { FINAL_RESPONSE_MS, LATE_RESPONSE_MS, OTHER_NODES_EXTRA_MS } from "./stopTimes.js";

/** Maximum wait for connections to close. They usually close within one or two iterations of the event loop. */
const MAX_CLOSE_MS: Milliseconds = 100;

/** Maximum time of a stop beyond `stop.drainTimeoutMs`. */
export const MAX_STOP_OVERRUN_MS: Milliseconds = OTHER_NODES_EXTRA_MS + MAX_CLOSE_MS;

const waitForGate = ({ requestPath }: LifecycleDependencies, signal: AbortSignal): Promise<void> =>
    raceAbort(requestPath.target.stop(), signal, () => undefined);

/** Runs a step and logs its failure. A failed step must not prevent the later steps, as requests may be in flight. */
const runStep = (
    { logger }: Pick<LifecycleDependencies, "logger">,
    name: string,
    step: () => Promise<void>,
): Promise<void> =>
    step().catch((error: unknown) => logger.error(`${name} failed.`, { detail: describeError(error) }));

const announceLeave = (dependencies: LifecycleDependencies): Promise<void> =>
    runStep(dependencies, "Announcing the stop to other nodes", dependencies.controlPlane.membership.leave);

/** Keeps serving until callers and other nodes have switched to other nodes. */
const serveWhileLeaving = (dependencies: LifecycleDependencies, signal: AbortSignal): Promise<void> => {
    const { options, clock, readiness, requestPath } = dependencies;
    return runStopStages(clock, options.stop, {
        hasSubstitute: requestPath.hasSubstitute,
        closeGate: () => Promise.all([announceLeave(dependencies), waitForGate(dependencies, signal)]),
        refuseCallers: () => {
            readiness.refusing = true;
        },
    }, signal);
};

/** Leaves without serving: a node that was never ready has refused all requests, so no caller has to switch. */
const leaveBeforeReady = async (dependencies: LifecycleDependencies, signal: AbortSignal): Promise<void> => {
    const { options, clock } = dependencies;
    await Promise.all([announceLeave(dependencies), clock.sleep(options.stop.lingerMs, signal)]);
};

/** Drains the node. Resolves when no request is in flight. */
const drainNode = async (
    dependencies: LifecycleDependencies,
    listeners: NodeListeners,
    signal: AbortSignal,
): Promise<void> => {
    const { readiness, requestPath } = dependencies;
    await (readiness.recovered ? serveWhileLeaving : leaveBeforeReady)(dependencies, signal);
    await Promise.all([listeners.gateway.drain(0, signal), listeners.gate.drain(0, signal)]);
    await runStep(dependencies, "Handing over keys", () => requestPath.claims.leave(signal));
    await runStep(dependencies, "Recording outcomes", () => requestPath.claims.drain(signal));
};

/**
 * Aborts the remaining requests with a final response. If the connection were just closed, a caller could not determine
 * whether its request ran or when to retry.
 */
const abortRemaining = async (
    { clock, logger, requestPath, signal }: LifecycleDependencies,
    listeners: NodeListeners,
    stopLog: StopLog,
): Promise<void> => {
    logger.warn("The drain timeout has passed; the remaining requests are aborted.");
    stopLog.logAborted();
    requestPath.openRequests.gateway.abortAll();
    await clock.sleep(FINAL_RESPONSE_MS, signal);
    const lateLimit = startTimeLimit(clock, LATE_RESPONSE_MS, signal);
    await Promise.all([listeners.gateway.drain(0, lateLimit.signal), listeners.gate.drain(0, lateLimit.signal)]);
    lateLimit.cancel();
};

const closeConnections = async (dependencies: LifecycleDependencies, listeners: NodeListeners): Promise<void> => {
    const { clock, controlPlane, requestPath, signal } = dependencies;
    destroyListeners(listeners);
    controlPlane.peers.close();
    const closed = runStep(dependencies, "Closing connections", requestPath.pools.destroy);
    await Promise.race([closed, clock.sleep(MAX_CLOSE_MS, signal)]);
};

/** Stops the node. Resolves when the process may end, at most `MAX_STOP_OVERRUN_MS` after the drain timeout. */
export const stopNode = async (dependencies: LifecycleDependencies, listeners: NodeListeners): Promise<void> => {
    const { options, clock, logger, readiness, requestPath, signal } = dependencies;
    const startedAt = clock.monotonic();
    const stopLog = startStopLog(logger, requestPath.openRequests, () => clock.monotonic() - startedAt);
    // The limit's signal aborts at the drain timeout, or when `signal` aborts to stop everything immediately.
    const limit = startTimeLimit(clock, options.stop.drainTimeoutMs, signal);
    readiness.draining = true;
    readiness.endsAt = startedAt + options.stop.drainTimeoutMs;
    listeners.gateway.announceClose();
    // Some operations do not react to the signal, such as a call to a store that does not respond.
    await raceAbort(drainNode(dependencies, listeners, limit.signal), limit.signal, () => undefined);
    if (limit.hasExpired()) {
        await abortRemaining(dependencies, listeners, stopLog);
    }
    limit.cancel();
    stopLog.logCut();
    stopLog.logSummary();
    await closeConnections(dependencies, listeners);
};
