/** Runs the steps of an experiment on a fleet and always stops the fleet afterwards. */
import { startFleet, type Fleet, type FleetOptions, type FleetPlan } from "oleandergap-demo";
import type { ExperimentContext } from "./experiment.js";

/** Delay between the start and the first measurement, in which membership and connections settle. */
const SETTLE_MS = 4000;

/**
 * Calls `run` once all nodes are ready and the fleet has had time to settle. Rejects if the fleet does not start or
 * `run` rejects.
 */
export const withFleet = async <Result>(
    plan: FleetPlan,
    { clock, signal, report }: Omit<ExperimentContext, "nodes">,
    run: (fleet: Fleet) => Promise<Result>,
    { daemon }: Pick<FleetOptions, "daemon"> = {},
): Promise<Result> => {
    const fleet = await startFleet(plan, { signal, report, daemon });
    try {
        await fleet.waitUntilReady();
        await clock.sleep(SETTLE_MS, signal);
        return await run(fleet);
    }
    finally {
        await fleet.stop();
    }
};
