// Uploads that their worker answers before it has read the body, each followed by a request on the same connection.
import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { createManifest, createRoute } from "../standins/config.mjs";
import { formatHead, openConnection } from "../standins/consumer.mjs";
import { planFleet, sleep, startNode, waitUntilReady } from "../standins/fleet.mjs";
import { startStore } from "../standins/store.mjs";
import { formatAnswer, startWorker } from "../standins/worker.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const HOST = "deeds.example";
/** Timeout of the route of the second requests, and the time after it within which the answer is due. */
const TIMEOUT_MS = 1200;
const SLACK_MS = 500;
const DEADLINE_MS = 2500;
/** The largest upload of the site file. */
const UPLOAD_BYTES = 360_000;
const PIECES = 6;
const PIECE_GAP_MS = 60;
const CONSUMERS_PER_MACHINE = 6;
const RUN_MS = 100;
/** The rule in the section on manifests asks for as many requests. */
const FEWEST = 8;

const record = [];
const startedAt = performance.now();
const write = (line) => record.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${line}`);
let lastId = 0;
const createId = () => `review1-${String(++lastId).padStart(6, "0")}`;

/** Sends an upload in pieces, as over a slow link, and the next request when the upload is answered and sent. */
const consume = async (machine) => {
    const connection = await openConnection(machine.ip, machine.ports.outbound);
    const uploadId = createId();
    const answered = connection.receive();
    const piece = Buffer.alloc(UPLOAD_BYTES / PIECES, 97);
    const common = { Host: HOST, "Deadline-Ms": DEADLINE_MS };
    write(`${machine.service} sent ${uploadId}: POST /uploads/, ${UPLOAD_BYTES} bytes`);
    await connection.write(formatHead("POST", "/uploads/1", {
        ...common, "Attempt-Id": uploadId, "Content-Length": UPLOAD_BYTES,
    }));
    for (let sent = 0; sent < PIECES; sent++) {
        await connection.write(piece);
        await sleep(PIECE_GAP_MS);
    }
    const first = await answered;
    write(`${machine.service} got ${uploadId}: ${first?.status ?? "closed"}, connection ${first?.headers.connection ?? "-"}`);
    if (first === undefined || connection.isClosed() || /close/i.test(first.headers.connection ?? "")) {
        connection.close();
        return undefined;
    }
    const id = createId();
    const sentAt = performance.now();
    const body = "sign";
    write(`${machine.service} sent ${id}: POST /sign/, on the same connection`);
    void connection.write(`${formatHead("POST", "/sign/1", {
        ...common, "Attempt-Id": id, "Content-Length": body.length,
    })}${body}`);
    const answer = await Promise.race([connection.receive(), sleep(DEADLINE_MS).then(() => "none")]);
    const tookMs = Math.round(performance.now() - sentAt);
    write(`${machine.service} ${answer === "none" ? "gave up" : "got"} ${id} after ${tookMs} ms: ` +
        `${answer === "none" ? "no answer until its deadline" : answer?.status ?? "closed"}`);
    connection.close();
    return answer === "none" ? Number.POSITIVE_INFINITY : tookMs;
};

const main = async () => {
    const store = await startStore("127.0.0.1");
    const services = ["deed-vault", "deed-vault", "grant-filer", "grant-filer"];
    store.set("op", "config", createManifest(7, [
        createRoute({
            name: "uploads", host: HOST, prefix: "/uploads/", kind: "upload", timeout: "2500ms", service: "deed-vault",
        }),
        createRoute({
            name: "sign", host: HOST, prefix: "/sign/", kind: "non_idempotent", timeout: `${TIMEOUT_MS}ms`,
            service: "grant-filer",
        }),
    ], ["deed-vault", "grant-filer"]));
    const fleet = await planFleet(services, store.port);
    const nodes = fleet.machines.map(startNode);
    const workers = await Promise.all(fleet.machines.map((machine, index) => startWorker(machine, {
        id: `i-${index}`,
        onHead: ({ path, headers }, socket) => {
            const isEarly = HAS_TROUBLE && path.startsWith("/uploads/");
            if (isEarly) {
                write(`worker i-${index} answers ${headers["attempt-id"]} before it has read the body`);
                socket.write(formatAnswer(413, { "Attempt-Id": headers["attempt-id"], "Server-Stamp": "s-early" }, "too long"));
            }
        },
        run: async ({ path, body }, _socket, echo) => {
            if (path.startsWith("/uploads/")) {
                write(`worker i-${index} has read ${echo["Attempt-Id"]}: ${body.length} bytes`);
                return HAS_TROUBLE ? undefined : formatAnswer(413, { ...echo, "Server-Stamp": "s-late" }, "too long");
            }
            write(`worker i-${index} runs ${echo["Attempt-Id"]}`);
            await sleep(RUN_MS);
            return formatAnswer(200, { ...echo, "Server-Stamp": "s-run" }, "signed");
        },
    })));
    try {
        await Promise.all(fleet.machines.map((machine) => waitUntilReady(machine)));
        await sleep(5000);
        const consumers = fleet.machines.flatMap((machine) =>
            Array.from({ length: CONSUMERS_PER_MACHINE }, async (_, index) => {
                await sleep(index * 400);
                return consume(machine);
            }));
        const times = (await Promise.all(consumers)).filter((time) => time !== undefined);
        const isRunning = nodes.every((node) => node.isRunning());
        const unanswered = times.filter((time) => time > TIMEOUT_MS).length;
        const late = times.filter((time) => time > TIMEOUT_MS + SLACK_MS).length;
        const isBroken = unanswered >= FEWEST && late > unanswered / 2;
        write(`second requests sent: ${times.length}; unanswered at the timeout of their route: ${unanswered}; ` +
            `of these without an answer ${SLACK_MS} ms later: ${late}`);
        if (times.length < FEWEST || !isRunning) {
            write("the case could not run");
            return 2;
        }
        write(isBroken ? "CONFIG is broken" : "CONFIG held");
        return isBroken ? 1 : 0;
    }
    finally {
        nodes.forEach((node) => node.kill("SIGKILL"));
        workers.forEach((worker) => worker.stop());
        store.close();
        await Promise.all(nodes.map(({ exited }) => exited));
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
process.stdout.write(`${record.slice(-2).join("\n")}\n`);
process.exit(code);
