import { spawn } from "node:child_process";
import { once } from "node:events";
import { existsSync } from "node:fs";
import { readFile, readdir } from "node:fs/promises";
import { createServer } from "node:net";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { expect } from "chai";
import { createCaller, type CallRequest, type CallResult } from "oleandergap-standins";
import { runCheck } from "../check/runCheck.js";
import type { Fleet } from "../fleet/fleet.js";
import { startFleet } from "../fleet/startFleet.js";
import { waitForValue } from "../fleet/waitFor.js";
import { createSmallPlan } from "../plan/deployments.js";
import { STEP_TIMEOUT, TIME_LIMIT, choosePortBase } from "./fleetProbes.js";

/** Returns the ids of the processes whose command line contains `text`. */
const listProcessIds = async (text: string): Promise<readonly string[]> => {
    const ids = (await readdir("/proc")).filter((name) => /^[0-9]+$/.test(name));
    const lines = await Promise.all(ids.map(async (id) => ({
        id,
        commandLine: await readFile(`/proc/${id}/cmdline`, "utf8").catch(() => ""),
    })));
    return lines.filter(({ commandLine }) => commandLine.includes(text)).map(({ id }) => id);
};

describe("runCheck", () => {
    it("completes all steps with real processes", async () => {
        const lines: string[] = [];
        await runCheck({
            plan: createSmallPlan(choosePortBase(0)),
            signal: AbortSignal.timeout(TIME_LIMIT),
            report: (line) => lines.push(line),
        });

        const text = lines.join("\n");
        expect(text).to.match(/wills-desk: answered by hall-[ab]-1 from version halloway:1/);
        expect(text).to.match(/halloway: accepted as version 2, seen in force on all 3 nodes/);
        expect(text).to.match(/halloway\/wills-desk: 20 requests, none in hall-a/);
        expect(text).to.match(/target at hall-b-1 drained; of 40 requests after 3000 ms none reached it/);
        expect(lines.at(-1)).to.equal("Everything has stopped.");
    }).timeout(TIME_LIMIT);
});

describe("startFleet", () => {
    const createRequest = (runKey: string): CallRequest => ({
        service: { partner: "halloway", service: "wills-desk" },
        method: "GET",
        path: "/estate/7",
        runKey,
        timeoutMs: 5000,
    });

    const callUntilAnswered = async (fleet: Fleet, nodeId: string): Promise<CallResult> => {
        const caller = createCaller();
        const gateway = { address: fleet.node(nodeId).vm.address, port: fleet.plan.ports.gateway };
        let lastResult = "";
        const probe = async (): Promise<CallResult | undefined> => {
            const result = await caller.call(gateway, createRequest(nodeId));
            lastResult = JSON.stringify(result);
            return result.kind === "Answered" ? result : undefined;
        };
        const waitOptions = { description: `${nodeId} serves`, timeoutMs: STEP_TIMEOUT, signal: fleet.signal };
        return waitForValue(waitOptions, probe, () => lastResult).finally(() => caller.close());
    };

    it("reports the address of a port that is in use", async () => {
        const plan = createSmallPlan(choosePortBase(1));
        const portHolder = createServer();
        portHolder.listen(plan.ports.gateway, "127.20.1.1");
        await once(portHolder, "listening");
        const reason = await startFleet(plan).then(() => "started", (error: Error) => error.message);
        portHolder.close();

        expect(reason).to.contain(`tcp port 127.20.1.1:${plan.ports.gateway} is in use`);
    });

    it("serves requests while a node is killed or frozen, and recovers both nodes", async () => {
        // Guards against failing requests, and against a recovered node with an older version than it had applied.
        // Nodes store nothing on disk and start empty after a kill; a frozen node continues with its state from before
        // the freeze.
        const fleet = await startFleet(createSmallPlan(choosePortBase(2)));
        try {
            await fleet.node("hall-a-1").kill();
            expect(await callUntilAnswered(fleet, "sapporo-1")).to.include({ target: "hall-b-1" });
            await fleet.node("hall-a-1").start();
            await fleet.waitUntilReady(STEP_TIMEOUT);
            expect(await callUntilAnswered(fleet, "hall-a-1")).to.include({ version: "halloway:1" });

            fleet.node("hall-b-1").freeze();
            expect(await callUntilAnswered(fleet, "hall-a-1")).to.include({ kind: "Answered" });
            fleet.node("hall-b-1").resume();
            expect(await callUntilAnswered(fleet, "hall-b-1")).to.include({ version: "halloway:1" });
        }
        finally {
            await fleet.stop();
        }
    }).timeout(TIME_LIMIT);
});

describe("main", () => {
    const program = fileURLToPath(new URL("../main.js", import.meta.url));

    it("stops all processes on Ctrl-C and exits with 0", async () => {
        // Guards against daemons that keep running and occupy their ports after Ctrl-C. The terminal sends SIGINT to
        // the whole process group and npm sends it again; the second signal must not interrupt the stop of the child
        // processes.
        const base = String(choosePortBase(3));
        const main = spawn(process.execPath, [program, "--small", "--port-base", base], {
            detached: true,
            stdio: ["ignore", "pipe", "inherit"],
        });
        const exited = once(main, "exit");
        let folder = "";
        for await (const line of createInterface({ input: main.stdout })) {
            folder = /logs: (.+)$/.exec(line)?.[1] ?? folder;
            if (line.startsWith("Ctrl-C") && main.pid !== undefined) {
                process.kill(-main.pid, "SIGINT");
            }
            if (line === "Stopping.") {
                main.kill("SIGINT");
            }
        }

        expect(await exited).to.deep.equal([0, null]);
        expect(folder).to.not.equal("");
        expect(existsSync(folder)).to.equal(false);
        expect(await listProcessIds(folder)).to.deep.equal([]);
    }).timeout(TIME_LIMIT);
});
