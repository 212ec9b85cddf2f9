/**
 * How a node starts and stops.
 *
 * Start: listen, join, recover the configuration, ready. Until it is ready it refuses callers with `NotReady`, so that
 * no request is ever served by an older version than the fleet's.
 *
 * Stop: serve on for a short time, tell the other nodes, serve callers until they have been sent elsewhere, refuse
 * what is new, finish what is in flight, close; see `stopNode` and `runStopStages`. A request that the own target still
 * works on may call other services through this node's gateway; the gateway therefore stays open, for the target only,
 * until the gate is empty.
 */
import * as either from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import type { Logger } from "oleandergap-logger";
import type { Clock } from "oleandergap-types";
import type { ReadinessState } from "./admin/readiness.js";
import type { ControlPlane } from "./createControlPlane.js";
import type { RequestPath } from "./requestPathTypes.js";
import type { ListenError } from "./http/listener.js";
import type { ListenerPlan } from "./adapters.js";
import { destroyListeners, startNodeListeners, type NodeHandlers, type NodeListeners } from "./listeners.js";
import type { NodeOptions } from "./options.js";
import { stopNode } from "./stopNode.js";

export interface LifecycleDependencies {
    readonly options: NodeOptions;
    readonly clock: Clock;
    /** For periodic work. */
    readonly backgroundClock: Clock;
    readonly logger: Logger;
    readonly readiness: ReadinessState;
    readonly controlPlane: ControlPlane;
    readonly requestPath: RequestPath;
    readonly handlers: NodeHandlers;
    readonly furtherListeners: readonly ListenerPlan[];
    /** Called when the configuration is recovered. */
    readonly onRecovered: () => void;
    /** Ends everything at once when it aborts. */
    readonly signal: AbortSignal;
}

export interface NodeLifecycle {
    readonly start: () => TaskEither<ListenError, void>;
    /** May be called while the start is under way. */
    readonly stop: () => Promise<void>;
}

const SWEEP_INTERVAL_MS = 1000;

/** The membership binds its port itself; its failure is told like that of any other port. */
const join = async (
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
    // A node that is told to stop while it recovers leaves at once; ready now, it would be sent requests that it cuts.
    if (outcome.kind === "Recovered" && !readiness.draining) {
        readiness.recovered = true;
        requestPath.target.refreshLimit();
        onRecovered();
        logger.info("Ready.", { source: outcome.source });
    }
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
    const report = (work: string) => (error: unknown): void => {
        logger.error(`${work} failed.`, { detail: String(error) });
    };
    recover(dependencies).catch(report("Recovering the configuration"));
    requestPath.claims.start(signal).catch(report("Owning keys"));
    requestPath.claimSweeper.start(signal).catch(report("Deleting expired claims"));
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
        const joined = await join(dependencies);
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
