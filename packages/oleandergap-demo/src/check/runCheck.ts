/** The self-check: one full round over a fleet, from start to stop. */
import { existsSync } from "node:fs";
import { createCaller } from "oleandergap-standins";
import { createSeededRandom, createSystemClock } from "oleandergap-utils";
import type { Fleet } from "../fleet/fleet.js";
import { checkPrograms, programs } from "../fleet/programs.js";
import { startFleet } from "../fleet/startFleet.js";
import type { FleetPlan } from "../plan/fleetPlan.js";
import type { CheckContext } from "./checkContext.js";
import { containRequest } from "./containRequest.js";
import { drainOneTarget } from "./drainTarget.js";
import { followChanges } from "./followChange.js";
import { restorePlatform } from "./restorePlatform.js";
import { serveEveryService } from "./serveServices.js";

/** What to check, and who hears of it. */
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
    const resident = nodes.map((node) => node.residentBytes / BYTES_PER_MEBIBYTE);
    const mean = resident.reduce((sum, value) => sum + value, 0) / Math.max(1, resident.length);
    report(`${usage.length} processes; a node holds ${Math.round(mean)} MB in memory on average`);
    return usage.map(({ pid }) => pid);
};

const runSteps = async (context: CheckContext): Promise<readonly number[]> => {
    await serveEveryService(context);
    await followChanges(context);
    await serveEveryService(context);
    await restorePlatform(context);
    await containRequest(context);
    await serveEveryService(context);
    await drainOneTarget(context);
    return reportUsage(context);
};

const checkEnded = (pids: readonly number[]): void => {
    const left = pids.filter((pid) => existsSync(`/proc/${pid}`));
    if (left.length > 0) {
        throw new Error(`processes still run after the stop: ${left.join(", ")}`);
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

/** Rejects with the reason when any step fails; the fleet is stopped in every case. */
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
    checkEnded(pids);
    report("Everything has stopped.");
};
