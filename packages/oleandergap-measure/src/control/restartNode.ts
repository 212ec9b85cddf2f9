/** Kills and restarts a node. */
import type { FleetNode } from "oleandergap-demo";
import type { Milliseconds } from "oleandergap-types";
import type { ExperimentContext } from "../experiment.js";

const READY_TIMEOUT_MS: Milliseconds = 15_000;

/**
 * Kills and restarts `node`. Returns 1 if the node becomes ready within `READY_TIMEOUT_MS`, otherwise 0. The result is
 * a number because experiments print it as a figure.
 */
export const killAndRestart = async (node: FleetNode | undefined, context: ExperimentContext): Promise<0 | 1> => {
    await node?.kill();
    await node?.start();
    try {
        await node?.waitUntilReady(context.signal, READY_TIMEOUT_MS);
        return 1;
    }
    catch {
        return 0;
    }
};
