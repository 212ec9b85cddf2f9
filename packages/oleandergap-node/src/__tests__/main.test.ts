import { spawn } from "node:child_process";
import dgram from "node:dgram";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import net from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { expect } from "chai";
import { sendHttpRequest, createCleanup, LOOPBACK, reservePorts, waitUntil } from "./support.js";

const MAIN = fileURLToPath(new URL("../main.js", import.meta.url));

/** A timeout that is longer than the time limit of these tests. */
const JOIN_TIMEOUT_BEYOND_TEST_MS = 600_000;

interface ProcessResult {
    readonly code: number | null;
    readonly output: string;
}

describe("oleandergap-node", function () {
    this.timeout(60_000);
    const cleanup = createCleanup();
    afterEach(() => cleanup.run());

    const writeSettings = async (ports: readonly number[], extra = "", joinTimeoutMs = 50): Promise<string> => {
        const folder = await mkdtemp(path.join(tmpdir(), "oleandergap-node-"));
        cleanup.add(() => rm(folder, { recursive: true }));
        const file = path.join(folder, "node.yaml");
        // No process listens at the platform's port, so the node starts during a platform outage.
        const platform = `{ address: ${LOOPBACK}, port: ${ports[4] ?? 1} }`;
        await writeFile(file, [
            "nodeId: hall-a-1",
            "zone: hall-a",
            "partners: [halloway]",
            `listen: { address: ${LOOPBACK}, gatewayPort: ${ports[0]}, gatePort: ${ports[1]}, ` +
            `controlPort: ${ports[2]}, adminPort: ${ports[3]} }`,
            `platform: { tableService: ${platform}, objectStore: ${platform} }`,
            `membership: { joinTimeoutMs: ${joinTimeoutMs} }`,
            "stop: { lingerMs: 50 }",
            extra,
        ].join("\n"));
        return file;
    };

    const run = (...args: string[]): { readonly ended: Promise<ProcessResult>; readonly stop: (name: "SIGTERM") => void } => {
        const child = spawn(process.execPath, [MAIN, ...args], { stdio: ["ignore", "pipe", "pipe"] });
        cleanup.add(() => child.kill("SIGKILL"));
        let output = "";
        child.stdout.on("data", (chunk: Buffer) => {
            output += chunk.toString();
        });
        child.stderr.on("data", (chunk: Buffer) => {
            output += chunk.toString();
        });
        const ended = new Promise<ProcessResult>((resolve) => child.on("close", (code) => resolve({ code: code, output })));
        return { ended, stop: (name) => child.kill(name) };
    };

    const waitUntilUp = async (adminPort: number): Promise<void> => {
        let isUp = false;
        const poll = async (): Promise<void> => {
            while (!isUp) {
                const clientResponse = sendHttpRequest({ port: adminPort, path: "/healthz" });
                isUp = await clientResponse.then(({ statusCode }) => statusCode === 200, () => false);
            }
        };
        void poll();
        await waitUntil(() => isUp);
    };

    it("checks settings without running, and rejects invalid settings with their path", async () => {
        const ports = await reservePorts(5);
        const right = await run("--settings", await writeSettings(ports), "--check-settings").ended;
        const wrong = await run("--settings", await writeSettings(ports, "target: { heartbeatTimeoutMs: soon }")).ended;

        expect(right.code).to.equal(0);
        expect(wrong.code).to.equal(1);
        expect(wrong.output).to.include("target.heartbeatTimeoutMs: found \"soon\"");
    });

    it("rejects a key file that others can read or that contains no valid key, and never prints its content", async () => {
        const ports = await reservePorts(5);
        const settings = await writeSettings(ports, "cluster: { keyFile: ./fleet.key }");
        const check = async (text: string, mode: number): Promise<ProcessResult> => {
            const file = path.join(path.dirname(settings), "fleet.key");
            await rm(file, { force: true });
            await writeFile(file, text, { mode });
            return run("--settings", settings, "--check-settings").ended;
        };
        const open = await check("key-of-the-fleet-0123456789abcdefgh", 0o644);
        const short = await check("key-of-the-fleet", 0o600);
        const right = await check("key-of-the-fleet-0123456789abcdefgh", 0o600);

        expect([open.code, short.code, right.code]).to.deep.equal([1, 1, 0]);
        expect(open.output).to.include("cluster.keyFile: Others can read the key file").and.include("mode 0644");
        expect(short.output).to.include("at least 32 bytes");
        expect(open.output + short.output + right.output).not.to.include("key-of-the-fleet");
    });

    it("reports the address and port that it cannot listen on", async () => {
        const ports = await reservePorts(5);
        const occupyingServer = net.createServer();
        await new Promise<void>((resolve) => occupyingServer.listen(ports[0], LOOPBACK, resolve));
        cleanup.add(() => occupyingServer.close());

        const ended = await run("--settings", await writeSettings(ports)).ended;

        expect(ended.code).to.equal(1);
        expect(ended.output).to.include(`Cannot listen on ${LOOPBACK}:${ports[0]} (gateway)`);
    });

    // Guards against a node that serves from an empty table, or crashes, if the platform is down at its start and there
    // is no other node to recover the configuration from.
    it("is not ready while it cannot recover the configuration, and stops cleanly", async () => {
        const ports = await reservePorts(5);
        const [gateway = 0, , , admin = 0] = ports;
        const node = run("--settings", await writeSettings(ports));
        await waitUntilUp(admin);

        const ready = await sendHttpRequest({ port: admin, path: "/readyz" });
        const refused = await sendHttpRequest({ port: gateway, headers: { host: "grant-filer.halloway" } });
        const metrics = await sendHttpRequest({ port: admin, path: "/metrics" });
        node.stop("SIGTERM");
        const ended = await node.ended;

        expect(ended.output).to.include("No cluster.keyFile is set");
        expect(ready.statusCode).to.equal(503);
        expect(ready.body.toString()).to.include("the configuration is not recovered");
        expect(refused.headers).to.include({ "oleandergap-verdict": "notRun", "oleandergap-reason": "NotReady" });
        expect(metrics.body.toString()).to.include("oleandergap_requests_total{at=\"gateway\",verdict=\"notRun\"");
        expect(ended.code).to.equal(0);
    });

    it("stops on a signal during the start without waiting for other nodes, before the process is killed", async () => {
        const ports = await reservePorts(5);
        const node = run("--settings", await writeSettings(ports, "", JOIN_TIMEOUT_BEYOND_TEST_MS));
        await waitUntilUp(ports[3] ?? 0);
        node.stop("SIGTERM");
        const { code, output } = await node.ended;

        expect(code).to.equal(0);
        expect(output).to.include("node: Stopped.");
    });

    // Guards against unauthenticated senders that drain targets or impersonate members although the fleet has a key.
    // This happens if a part of the daemon that serves the control port is not wired to the key.
    it("refuses unauthenticated requests and datagrams at its control port and counts them", async () => {
        const ports = await reservePorts(5);
        const [, , control = 0, admin = 0] = ports;
        const settings = await writeSettings(ports, "cluster: { keyFile: ./fleet.key }");
        await writeFile(path.join(path.dirname(settings), "fleet.key"), "key-of-the-fleet-0123456789abcdefgh", { mode: 0o600 });
        const node = run("--settings", settings);
        await waitUntilUp(admin);

        const drain = await sendHttpRequest({ port: control, method: "POST", path: "/fleet/drain", body: "{}" });
        const heads = await sendHttpRequest({ port: control, method: "POST", path: "/peer/heads" });
        const socket = dgram.createSocket("udp4");
        cleanup.add(() => socket.close());
        await new Promise((resolve) => {
            socket.send(Uint8Array.of(1, 2, 3), control, LOOPBACK, resolve);
        });
        const readMetrics = async (): Promise<string> =>
            (await sendHttpRequest({ port: admin, path: "/metrics" })).body.toString();
        let metrics = await readMetrics();
        while (!metrics.includes("oleandergap_strangers{figure=\"datagrams\"} 1")) {
            metrics = await readMetrics();
        }
        node.stop("SIGTERM");
        const { output } = await node.ended;

        expect([drain.statusCode, heads.statusCode]).to.deep.equal([401, 401]);
        expect(metrics).to.include("oleandergap_strangers{figure=\"requests\"} 2");
        expect(output).not.to.include("key-of-the-fleet").and.not.include("No cluster.keyFile");
    });
});
