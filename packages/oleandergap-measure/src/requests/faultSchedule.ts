/** Faults that the at-most-once experiment injects while it sends requests with keys. */
import type { Fleet, FleetNode } from "oleandergap-demo";
import type { Milliseconds } from "oleandergap-types";
import type { ExperimentContext } from "../experiment.js";
import { listMeasuredTargets } from "./serviceFleet.js";

const LOST_RESPONSE_SHARE = 0.1;
const TRUNCATED_RESPONSE_SHARE = 0.05;
const HANG_SHARE = 0.03;
const KILL_PERIOD_MS: Milliseconds = 2500;

/** Makes targets truncate responses and hang, and makes the platform lose responses after it has written. */
export const startFaults = async (fleet: Fleet): Promise<void> => {
    await fleet.platform.setFaults({ loseAnswersShare: LOST_RESPONSE_SHARE });
    const targets = await listMeasuredTargets(fleet);
    await Promise.all(targets.map(({ id }) =>
        fleet.targets.setFaults(id, { cutAnswerShare: TRUNCATED_RESPONSE_SHARE, hangShare: HANG_SHARE })));
};

/** Ends all faults of the platform and of the measured targets. */
export const stopFaults = async (fleet: Fleet): Promise<void> => {
    await fleet.platform.setFaults({});
    const targets = await listMeasuredTargets(fleet);
    await Promise.all(targets.map(({ id }) => fleet.targets.setFaults(id, {})));
};

const killAndRestartUntilReady = async (node: FleetNode, signal: AbortSignal): Promise<void> => {
    await node.kill();
    await node.start();
    await node.waitUntilReady(signal);
};

/** Kills and restarts the nodes of the measured service in turn until `signal` aborts. Returns the number of kills. */
export const killNodesInTurn = async (
    fleet: Fleet,
    context: ExperimentContext,
    signal: AbortSignal,
): Promise<number> => {
    const targets = await listMeasuredTargets(fleet);
    let kills = 0;
    while (!signal.aborted) {
        const target = targets[kills % targets.length];
        if (target === undefined) {
            break;
        }
        await killAndRestartUntilReady(fleet.node(target.id), context.signal);
        kills++;
        await context.clock.sleep(KILL_PERIOD_MS, signal);
    }
    return kills;
};
