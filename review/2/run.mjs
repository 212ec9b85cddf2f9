// A roll-out that was completed, a drill of the store, and a final fault.
import http from "node:http";
import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { createManifest, createRoute } from "../standins/config.mjs";
import { planFleet, sleep, startNode, waitUntilReady } from "../standins/fleet.mjs";
import { startStore } from "../standins/store.mjs";
import { formatAnswer, startWorker } from "../standins/worker.mjs";

/** `0` leaves out the drill and the final fault, `final` the drill only. */
const TROUBLE = process.env.TROUBLE ?? "1";
const HAS_DRILL = TROUBLE !== "0" && TROUBLE !== "final";
const HAS_FINAL_FAULT = TROUBLE !== "0";
const HOST = "desk.example";
const ORDER_MS = 12_000;
const REQUESTS_PER_SECOND = 50;
/** Age of the copy from which the store comes back, and the time for which it is away. */
const COPY_AGE_MS = 4000;
const AWAY_MS = 500;
/** Time from the end of the drill to the final fault: some seconds before the second run of the order ends. */
const FAULT_AFTER_MS = 7500;
const DOWN_MS = 1500;
const RECOVERY_MS = 15_000;
const COUNTED_MS = 6000;

const record = [];
const startedAt = performance.now();
const write = (line) => record.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${line}`);

/** Requests of the consumers, with their ends. */
const requests = [];
let lastId = 0;

/** Sends one request of a consumer. A refused one is not sent again, so that each counts once. */
const sendRequest = (machine, agent) => {
    const id = `review2-${String(++lastId).padStart(6, "0")}`;
    const sent = { id, at: performance.now(), result: "none" };
    requests.push(sent);
    const request = http.request({
        host: machine.ip, port: machine.ports.outbound, path: "/view/1", agent, timeout: 2000,
        headers: { Host: HOST, "Attempt-Id": id, "Deadline-Ms": "2000" },
    }, (response) => {
        response.resume();
        response.on("end", () => {
            const isServed = response.statusCode === 200 && response.headers["server-stamp"] === id;
            sent.result = isServed ? "served" : String(response.statusCode);
        });
        response.on("error", () => undefined);
    });
    request.on("timeout", () => request.destroy());
    request.on("error", () => undefined);
    request.end();
};

/** Writes how the requests that were sent in a time ended, and returns the share that was served. */
const count = (name, from, to) => {
    const ends = {};
    const sent = requests.filter(({ at }) => at >= from && at < to);
    sent.forEach(({ result }) => {
        ends[result] = (ends[result] ?? 0) + 1;
    });
    const share = sent.length === 0 ? 0 : (ends.served ?? 0) / sent.length;
    write(`${name}: ${sent.length} requests, ${JSON.stringify(ends)}, served ${share.toFixed(3)}`);
    return share;
};

const main = async () => {
    const store = await startStore("127.0.0.1");
    const routes = [
        createRoute({ name: "view", host: HOST, prefix: "/view/", kind: "safe", timeout: "1000ms", service: "desk" }),
    ];
    store.set("op", "config", createManifest(7, routes, ["desk", "other"]));
    // Two machines with old workers, two with consumers, and two that join with the new workers.
    const fleet = await planFleet(["desk", "desk", "other", "other", "desk", "desk"], store.port, {
        zones: ["hall-a", "hall-b"],
        bounds: { canary_share: 0.1, canary_slack: 50, rollback: "5000ms" },
        contracts: ["rollout"],
    });
    const [oldMachines, consumers, newMachines] =
        [fleet.machines.slice(0, 2), fleet.machines.slice(2, 4), fleet.machines.slice(4)];
    const nodes = new Map();
    const workers = new Map();
    const start = (machine) => nodes.set(machine, startNode(machine));
    const startWith = async (machine, version) => {
        start(machine);
        workers.set(machine, await startWorker(machine, {
            id: `i-${version}-${machine.index}`, version,
            run: async (_request, _socket, echo) => {
                await sleep(20 + Math.random() * 20);
                return formatAnswer(200, { ...echo, "Server-Stamp": echo["Attempt-Id"] }, version);
            },
        }));
    };
    const timers = [];
    const agents = consumers.map(() => new http.Agent({ keepAlive: true }));
    let lastStatus;
    const watchStatus = setInterval(() => {
        const status = JSON.stringify(store.get("status", "rollout/desk"));
        if (status !== lastStatus) {
            lastStatus = status;
            write(`status/rollout/desk: ${status}`);
        }
    }, 50);
    try {
        await Promise.all([...oldMachines, ...consumers].map((machine) => startWith(machine, "v1")));
        await Promise.all([...oldMachines, ...consumers].map((machine) => waitUntilReady(machine)));
        await sleep(3000);
        consumers.forEach((machine, index) => timers.push(
            setInterval(() => sendRequest(machine, agents[index]), 1000 / REQUESTS_PER_SECOND * consumers.length),
        ));
        await sleep(2000);

        write("order: desk to v2");
        store.set("op", "rollout/desk", { service: "desk", to: "v2", duration: `${ORDER_MS}ms` });
        const orderedAt = performance.now();
        await Promise.all(newMachines.map((machine) => startWith(machine, "v2")));
        await Promise.all(newMachines.map((machine) => waitUntilReady(machine)));
        while (store.get("status", "rollout/desk")?.state !== "completed") {
            if (performance.now() - orderedAt > ORDER_MS + 2000) {
                write("the roll-out was not completed; the case could not run");
                return 2;
            }
            await sleep(20);
        }
        write("completed: the old workers stop, and their machines are removed");
        oldMachines.forEach((machine) => workers.get(machine).stop());
        oldMachines.forEach((machine) => nodes.get(machine).kill("SIGTERM"));
        await Promise.all(oldMachines.map((machine) => nodes.get(machine).exited));
        oldMachines.forEach((machine) => nodes.delete(machine));
        await sleep(2000);

        const copy = store.copy();
        await sleep(COPY_AGE_MS);
        if (HAS_DRILL) {
            write(`drill: the store is away for ${AWAY_MS} ms, and comes back from a copy of ${COPY_AGE_MS} ms before`);
            await store.restore(copy, AWAY_MS);
        }
        await sleep(FAULT_AFTER_MS);

        write("the operator changes the manifest");
        store.set("op", "config", createManifest(9, routes, ["desk", "other"]));
        const faultAt = performance.now();
        if (HAS_FINAL_FAULT) {
            write("final fault: all processes are killed");
            [...nodes.values()].forEach((node) => node.kill("SIGKILL"));
            await Promise.all([...nodes.values()].map(({ exited }) => exited));
            await sleep(DOWN_MS);
            [...nodes.keys()].forEach(start);
        }
        const backAt = performance.now();
        await sleep(RECOVERY_MS + COUNTED_MS);
        timers.forEach(clearInterval);
        await sleep(2200);
        const before = count("before the final fault", orderedAt, faultAt);
        const after = count("later than recovery", backAt + RECOVERY_MS, backAt + RECOVERY_MS + COUNTED_MS);
        if (before < 0.25 || ![...nodes.values()].every((node) => node.isRunning())) {
            write("the case could not run");
            return 2;
        }
        write(after < 0.25 ? "RECOVER is broken" : "RECOVER held");
        return after < 0.25 ? 1 : 0;
    }
    finally {
        clearInterval(watchStatus);
        timers.forEach(clearInterval);
        agents.forEach((agent) => agent.destroy());
        [...nodes.values()].forEach((node) => node.kill("SIGKILL"));
        workers.forEach((worker) => worker.stop());
        store.close();
        await Promise.all([...nodes.values()].map(({ exited }) => exited));
        fleet.remove();
    }
};

let code = 2;
try {
    code = await main();
}
catch (error) {
    write(`the case could not run: ${String(error)}`);
}
writeFileSync(fileURLToPath(new URL("record.txt", import.meta.url)), `${record.join("\n")}\n`);
process.stdout.write(`${record.slice(-4).join("\n")}\n`);
process.exit(code);
