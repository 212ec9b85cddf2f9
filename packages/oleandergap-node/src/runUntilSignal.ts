/** Runs a node until the process receives a signal to stop. */
import * as either from "fp-ts/lib/Either.js";
import type { Logger } from "oleandergap-logger";
import type { Clock } from "oleandergap-types";
import { raceAbort } from "oleandergap-utils";
import { defaultAdapters, type NodeAdapters } from "./adapters.js";
import { createNode } from "./createNode.js";
import { formatListenError } from "./http/listener.js";
import { watchFleetKeys, type FleetKeySource } from "./control/fleetKeyFile.js";
import type { NodeOptions } from "./options.js";

export interface RunDependencies {
    readonly options: NodeOptions;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Undefined if the settings contain no key file. */
    readonly fleetKeys: FleetKeySource | undefined;
    readonly adapters?: NodeAdapters;
}

const WARNING_WITHOUT_KEY =
    "No cluster.keyFile is set: anyone who can reach the control port can impersonate a node and drain targets.";

const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;
/**
 * Signal that ends a stop that is under way, because a person sends it from a terminal. Supervisors repeat SIGTERM when
 * the work of several of them overlaps, and none of them means that the requests in flight should be interrupted.
 */
const IMMEDIATE_STOP_SIGNAL = "SIGINT";

/** Calls `onSignal` for each received signal that requests a stop. */
const watchStopSignals = (onSignal: (name: string) => void): void => {
    for (const name of STOP_SIGNALS) {
        process.on(name, () => onSignal(name));
    }
};

/** Runs the node and resolves when it has stopped. Resolves with an error message if the node could not start. */
export const runUntilSignal = async (
    { options, clock, logger, fleetKeys, adapters = defaultAdapters }: RunDependencies,
): Promise<string | undefined> => {
    const abortController = new AbortController();
    const stopRequested = new AbortController();

    watchStopSignals((name) => {
        if (!stopRequested.signal.aborted) {
            logger.info("Stopping.", { signal: name });
            stopRequested.abort();
        }
        else if (name === IMMEDIATE_STOP_SIGNAL) {
            logger.warn("Received a second signal; stopping immediately.", { signal: name });
            abortController.abort();
        }
        else {
            logger.info("Received another signal to stop; the stop continues.", { signal: name });
        }
    });

    // Without a handler, SIGHUP would end the process. Changed settings take effect only after a restart.
    process.on("SIGHUP", () => logger.info("Received SIGHUP. Changed settings take effect after a restart."));

    if (fleetKeys === undefined) {
        logger.warn(WARNING_WITHOUT_KEY);
    }
    const { signal } = abortController;
    const { keyReloadMs } = options.cluster;
    const readKeys = fleetKeys && watchFleetKeys({ source: fleetKeys, reloadMs: keyReloadMs, clock, logger, signal });
    const node = createNode({ options, clock, readKeys, adapters, signal });
    // A node that is still waiting for other nodes stops like any other node. The result of its start is then ignored.
    const started = await raceAbort(node.start()(), stopRequested.signal, () => either.right(undefined));
    if (either.isLeft(started)) {
        abortController.abort();
        return formatListenError(started.left);
    }
    await new Promise<void>((resolve) => {
        stopRequested.signal.addEventListener("abort", () => resolve(), { once: true });
        if (stopRequested.signal.aborted) {
            resolve();
        }
    });
    await node.stop();
    abortController.abort();
    logger.info("Stopped.");
    return undefined;
};
