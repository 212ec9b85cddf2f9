#!/usr/bin/env node
/** Runs the target stand-ins of a JSON plan file in one process: `targetsMain.js --plan FILE`. */
import { readFile } from "node:fs/promises";
import { parseArgs } from "node:util";
import { printReadyLine, runUntilStopped, type Stoppable } from "./process/runUntilStopped.js";
import { targetsPlanSchema } from "./target/options.js";
import { startTargetControl } from "./target/targetControl.js";
import { startTargetStandIn } from "./target/targetStandIn.js";

const { values } = parseArgs({ options: { plan: { type: "string" } } });

const start = async (): Promise<Stoppable> => {
    if (values.plan === undefined) {
        throw new Error("usage: targetsMain.js --plan FILE");
    }
    const plan = targetsPlanSchema.parse(JSON.parse(await readFile(values.plan, "utf8")));
    const targets = await Promise.all(plan.targets.map((options) => startTargetStandIn(options)));
    const control = await startTargetControl(targets, plan.control.address, plan.control.port);
    printReadyLine({ controlPort: control.port, targets: targets.length });
    return {
        stop: async () => {
            await Promise.all(targets.map((target) => target.stop()));
            await control.close();
        },
    };
};

await runUntilStopped(start);
