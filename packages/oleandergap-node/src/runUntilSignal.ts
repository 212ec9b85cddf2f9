/** Runs a node until the process is told to stop. */
import * as either from "fp-ts/lib/Either.js";
import type { Logger } from "oleandergap-logger";
import type { Clock } from "oleandergap-types";
import { raceAbort } from "oleandergap-utils";
import { ownAdapters, type NodeAdapters } from "./adapters.js";
import { createNode } from "./createNode.js";
import { formatListenError } from "./http/listener.js";
import { watchFleetKeys, type FleetKeySource } from "./control/fleetKeyFile.js";
import type { NodeOptions } from "./options.js";

export interface RunDependencies {
    readonly options: NodeOptions;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Undefined when the settings name no file with keys. */
    readonly fleetKeys: FleetKeySource | undefined;
    readonly adapters?: NodeAdapters;
}

const WARNING_WITHOUT_KEY =
    "No cluster.keyFile is set: whoever reaches the control port can pose as a node and drain targets.";

const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** Calls `onSignal` for each signal to stop. */
const watchStopSignals = (onSignal: (name: string) => void): void => {
    for (const name of STOP_SIGNALS) {
        process.on(name, () => onSignal(name));
    }
};

/** Resolves when the node has stopped; with a message when it could not start. */
export const runUntilSignal = async (
    { options, clock, logger, fleetKeys, adapters = ownAdapters }: RunDependencies,
): Promise<string | undefined> => {
    const life = new AbortController();
    const stopRequested = new AbortController();

    watchStopSignals((name) => {
        if (stopRequested.signal.aborted) {
            logger.warn("A second signal ends the stop at once.", { signal: name });
            life.abort();
            return;
        }
        logger.info("Stopping.", { signal: name });
        stopRequested.abort();
    });

    // Without a handler the signal would end the process. The settings in use stay as they are until a restart.
    process.on("SIGHUP", () => logger.info("The settings file may have changed; a restart takes it into use."));

    if (fleetKeys === undefined) {
        logger.warn(WARNING_WITHOUT_KEY);
    }
    const { signal } = life;
    const { keyReloadMs } = options.cluster;
    const readKeys = fleetKeys && watchFleetKeys({ source: fleetKeys, reloadMs: keyReloadMs, clock, logger, signal });
    const node = createNode({ options, clock, readKeys, adapters, signal });
    // A node that still waits for other nodes is told to stop like any other; its start is then of no interest.
    const started = await raceAbort(node.start()(), stopRequested.signal, () => either.right(undefined));
    if (either.isLeft(started)) {
        life.abort();
        return formatListenError(started.left);
    }
    await new Promise<void>((resolve) => {
        stopRequested.signal.addEventListener("abort", () => resolve(), { once: true });
        if (stopRequested.signal.aborted) {
            resolve();
        }
    });
    await node.stop();
    life.abort();
    logger.info("Stopped.");
    return undefined;
};
