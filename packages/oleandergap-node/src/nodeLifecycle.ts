/**
 * Start and stop of a node.
 *
 * Start: the node listens, joins the membership, recovers the configuration and becomes ready. Until it is ready, it
 * refuses callers with `NotReady`, so that no request is served with an older version than the fleet's.
 *
 * Stop: the node keeps serving for a short time, announces to other nodes that it leaves, serves callers until they
 * have switched to other nodes, refuses new requests, finishes the requests in flight and closes; see `stopNode` and
 * `runStopStages`. A request that the local target is still running may call other services through this node's
 * gateway. The gateway therefore accepts requests from the target until the gate is empty.
 */
import * as either from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import type { Logger } from "oleandergap-logger";
import type { Clock } from "oleandergap-types";
import type { ReadinessState } from "./admin/readiness.js";
import type { ControlPlane } from "./createControlPlane.js";
import type { RequestPath } from "./requestPathTypes.js";
import type { ListenError } from "./http/listener.js";
import type { ListenerDefinition } from "./adapters.js";
import { destroyListeners, startNodeListeners, type NodeHandlers, type NodeListeners } from "./listeners.js";
import type { NodeOptions } from "./options.js";
import { stopNode } from "./stop/stopNode.js";

export interface LifecycleDependencies {
    readonly options: NodeOptions;
    readonly clock: Clock;
    /** Clock for periodic work. */
    readonly backgroundClock: Clock;
    readonly logger: Logger;
    readonly readiness: ReadinessState;
    readonly controlPlane: ControlPlane;
    readonly requestPath: RequestPath;
    readonly handlers: NodeHandlers;
    readonly additionalListeners: readonly ListenerDefinition[];
    /** Called when the configuration has been recovered. */
    readonly onRecovered: () => void;
    /** Aborting it stops everything immediately. */
    readonly signal: AbortSignal;
}

export interface NodeLifecycle {
    readonly start: () => TaskEither<ListenError, void>;
    /** Stops the node. May be called while the node is starting. */
    readonly stop: () => Promise<void>;
}

const SWEEP_INTERVAL_MS = 1000;

/** Joins the membership, which binds its UDP port itself. A failure is returned like that of any other listener. */
const joinMembership = async (
    { options, controlPlane, signal }: LifecycleDependencies,
): Promise<either.Either<ListenError, void>> => {
    try {
        await controlPlane.membership.start(signal);
        return either.right(undefined);
    }
    catch (error) {
        return either.left({
            kind: "ListenFailed",
            name: "membership",
            address: options.listen.address,
            port: options.listen.controlPort,
            detail: error instanceof Error ? error.message : String(error),
        });
    }
};

const recover = async (dependencies: LifecycleDependencies): Promise<void> => {
    const { controlPlane, readiness, requestPath, logger, onRecovered } = dependencies;
    const outcome = await controlPlane.spread.recover();
    // A node that is stopped during the recovery leaves immediately. If it became ready now, it would receive requests
    // and then interrupt them.
    if (outcome.kind === "Recovered" && !readiness.draining) {
        readiness.recovered = true;
        requestPath.target.refreshLimit();
        onRecovered();
        logger.info("Ready.", { source: outcome.source });
    }
};

/** Accepts targets once the departures from before the start are known. */
const restoreDepartures = async ({ controlPlane, requestPath }: LifecycleDependencies): Promise<void> => {
    await controlPlane.departures.restore(requestPath.target.restoreDepartures);
    requestPath.target.acceptTargets();
};

const sweepRepeatedly = (dependencies: LifecycleDependencies): void => {
    const { backgroundClock, requestPath, signal } = dependencies;
    if (signal.aborted) {
        return;
    }
    const cancel = backgroundClock.after(SWEEP_INTERVAL_MS, () => {
        signal.removeEventListener("abort", cancel);
        requestPath.pools.sweep();
        sweepRepeatedly(dependencies);
    });
    signal.addEventListener("abort", cancel, { once: true });
};

const startBackgroundWork = (dependencies: LifecycleDependencies): void => {
    const { controlPlane, requestPath, logger, signal } = dependencies;
    sweepRepeatedly(dependencies);
    controlPlane.directory.start(signal);
    controlPlane.spread.start();
    controlPlane.containment.start();
    controlPlane.rollouts.start();
    const logFailure = (work: string) => (error: unknown): void => {
        logger.error(`${work} failed.`, { detail: String(error) });
    };
    restoreDepartures(dependencies).catch(logFailure("Restoring departures"));
    recover(dependencies).catch(logFailure("Recovering the configuration"));
    requestPath.claims.start(signal).catch(logFailure("Key ownership"));
    requestPath.claimSweeper.start(signal).catch(logFailure("Deleting expired claims"));
};

export const createNodeLifecycle = (dependencies: LifecycleDependencies): NodeLifecycle => {
    const { options, logger, readiness, signal } = dependencies;
    let listeners: NodeListeners | undefined;

    const start = (): TaskEither<ListenError, void> => async () => {
        const listening = await startNodeListeners(dependencies)();
        if (either.isLeft(listening)) {
            return listening;
        }
        listeners = listening.right;
        signal.addEventListener("abort", () => destroyListeners(listening.right), { once: true });
        const joined = await joinMembership(dependencies);
        if (either.isLeft(joined)) {
            destroyListeners(listening.right);
            return joined;
        }
        if (readiness.draining) {
            return joined;
        }
        readiness.listening = true;
        startBackgroundWork(dependencies);
        logger.info("Listening.", { ...options.listen });
        return joined;
    };

    return {
        start,
        stop: async () => {
            if (listeners !== undefined) {
                await stopNode(dependencies, listeners);
            }
        },
    };
};
