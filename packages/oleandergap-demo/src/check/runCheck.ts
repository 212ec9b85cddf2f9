/** The self-check: starts a fleet, runs all steps of the check and stops the fleet. */
import { existsSync } from "node:fs";
import { createCaller } from "oleandergap-standins";
import { createSeededRandom, createSystemClock } from "oleandergap-utils";
import type { Fleet } from "../fleet/fleet.js";
import { checkPrograms, programs } from "../fleet/programs.js";
import { startFleet } from "../fleet/startFleet.js";
import type { FleetPlan } from "../plan/fleetPlan.js";
import type { CheckContext } from "./checkContext.js";
import { checkContainment } from "./checkContainment.js";
import { checkDrain } from "./checkDrain.js";
import { checkChanges } from "./checkChanges.js";
import { checkPlatformRestore } from "./checkPlatformRestore.js";
import { checkEveryService } from "./checkServices.js";

/** Options of the self-check. */
export interface CheckOptions {
    readonly plan: FleetPlan;
    readonly signal: AbortSignal;
    readonly report: (line: string) => void;
    readonly keepFiles?: boolean;
}

const RANDOM_SEED = 1;
const BYTES_PER_MEBIBYTE = 1024 * 1024;

const reportUsage = async ({ fleet, report }: CheckContext): Promise<readonly number[]> => {
    const usage = await fleet.usage();
    const nodes = usage.filter(({ name }) => name.startsWith("node "));
    const residentMebibytes = nodes.map((node) => node.residentBytes / BYTES_PER_MEBIBYTE);
    const mean = residentMebibytes.reduce((sum, value) => sum + value, 0) / Math.max(1, residentMebibytes.length);
    report(`${usage.length} processes; a node uses ${Math.round(mean)} MB of memory on average`);
    return usage.map(({ pid }) => pid);
};

const runSteps = async (context: CheckContext): Promise<readonly number[]> => {
    await checkEveryService(context);
    await checkChanges(context);
    await checkEveryService(context);
    await checkPlatformRestore(context);
    await checkContainment(context);
    await checkEveryService(context);
    await checkDrain(context);
    return reportUsage(context);
};

const checkProcessesEnded = (pids: readonly number[]): void => {
    const remaining = pids.filter((pid) => existsSync(`/proc/${pid}`));
    if (remaining.length > 0) {
        throw new Error(`processes still running after the stop: ${remaining.join(", ")}`);
    }
};

const checkFleet = async (fleet: Fleet, options: CheckOptions): Promise<readonly number[]> => {
    const caller = createCaller();
    try {
        return await runSteps({
            fleet,
            caller,
            clock: createSystemClock(),
            random: createSeededRandom(RANDOM_SEED),
            signal: AbortSignal.any([fleet.signal, options.signal]),
            report: options.report,
        });
    }
    finally {
        await caller.close();
    }
};

/** Runs the self-check. Rejects with the reason if any step fails; the fleet is stopped in all cases. */
export const runCheck = async (options: CheckOptions): Promise<void> => {
    const { plan, signal, report, keepFiles = false } = options;
    await checkPrograms([programs.commandLine]);
    const fleet = await startFleet(plan, { signal, report, keepFiles });
    let pids: readonly number[] = [];
    try {
        pids = await checkFleet(fleet, options);
    }
    finally {
        await fleet.stop();
    }
    checkProcessesEnded(pids);
    report("Everything has stopped.");
};
