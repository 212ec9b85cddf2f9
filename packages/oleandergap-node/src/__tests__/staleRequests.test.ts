import { setMaxListeners } from "node:events";
import net from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import { createUnlimitedQuota } from "oleandergap-customers";
import { createLogger } from "oleandergap-logger";
import { createIsolatedRollouts } from "oleandergap-rollout";
import { createMemoryTableService } from "oleandergap-platform";
import { createSeededRandom, createSystemClock } from "oleandergap-utils";
import { createNodeMetrics } from "../admin/metrics.js";
import { createReadinessState } from "../admin/readiness.js";
import { createRequestPath } from "../createRequestPath.js";
import { defaultDialects } from "../http/dialect.js";
import { startListener } from "../http/listener.js";
import { startEventLoopLagMonitor } from "../http/eventLoopLag.js";
import { createTurnQueue } from "../http/turnQueue.js";
import { nodeOptionsSchema } from "../options.js";
import { createMember, createRow, createView, HOST } from "./gatewaySupport.js";
import {
    sendHttpRequest,
    createAnnouncement,
    createCleanup,
    createIsolatedContainment,
    createGateHeaders,
    LOOPBACK,
    startGate,
    startTarget,
    TEST_LIMIT,
    waitUntil,
} from "./support.js";

/** Longer than the longest pause that does not count as event loop lag. */
const PAUSE_MS = 150;
/** Number of callers that disconnect while the process is blocked. */
const CALLERS = 6;
/** Time in which a forwarded request reliably reaches the gate. */
const SETTLE_MS = 100;

describe("requests whose callers disconnected before they were read", () => {
    const cleanup = createCleanup();
    const clock = createSystemClock();

    afterEach(() => cleanup.run());

    /** Starts a stand-in for the gate of another node, which records the paths of the requests that it receives. */
    const startOtherGate = async (): Promise<{ readonly port: number; readonly received: string[] }> => {
        const received: string[] = [];
        const port = await startTarget(cleanup.add, (request, response) => {
            received.push(request.url ?? "");
            const id = String(request.headers["oleandergap-request-id"]);
            response.writeHead(200, { "oleandergap-request-id": id, "oleandergap-verdict": "ran" });
            response.end("answer");
        });
        return { port, received };
    };

    /**
     * Starts the complete request path of a node without a local target, with a listener that is configured as in a
     * node.
     */
    const startNodeGateway = async (gatePort: number): Promise<number> => {
        const abortController = new AbortController();
        setMaxListeners(0, abortController.signal);
        cleanup.add(() => abortController.abort());
        const random = createSeededRandom(1);
        const row = createRow();
        const view = createView(row);
        const targets = [createMember("a", gatePort)];
        const path = createRequestPath({
            options: nodeOptionsSchema.parse({
                nodeId: "gateway",
                zone: "hall-a",
                partners: ["halloway"],
                listen: { address: LOOPBACK, gatewayPort: 1, gatePort: 2, controlPort: 3, adminPort: 4 },
                platform: {
                    tableService: { address: LOOPBACK, port: 5 },
                    objectStore: { address: LOOPBACK, port: 5 },
                },
            }),
            clock,
            backgroundClock: clock,
            random,
            createPartLogger: createLogger,
            metrics: createNodeMetrics(),
            containment: createIsolatedContainment(clock),
            rollouts: createIsolatedRollouts({ clock, tableService: createMemoryTableService() }),
            quota: createUnlimitedQuota(clock),
            view: () => view,
            publishTarget: () => undefined,
            departures: { record: () => Promise.resolve(true) },
            directory: { targetsOf: () => targets },
            tableService: createMemoryTableService(),
            bootId: "boot",
            readiness: { ...createReadinessState(), listening: true, recovered: true },
            dialects: defaultDialects,
            callerService: undefined,
            signal: abortController.signal,
        });
        cleanup.add(() => path.pools.destroy());
        const listener = await startListener({
            name: "test",
            address: LOOPBACK,
            port: 0,
            maxConnections: 1000,
            clock,
            handle: path.handleGateway,
            turns: createTurnQueue({ clock: createSystemClock() }).callers,
        })();
        if (either.isLeft(listener)) {
            throw new Error(listener.left.detail);
        }
        cleanup.add(() => listener.right.destroy());
        return listener.right.port;
    };

    const openConnection = async (port: number): Promise<net.Socket> => {
        const socket = net.connect(port, LOOPBACK);
        socket.on("error", () => undefined);
        await new Promise<void>((resolve) => socket.once("connect", () => resolve()));
        return socket;
    };

    const write = (socket: net.Socket, path: string): void => {
        socket.write(`GET ${path} HTTP/1.1\r\nhost: ${HOST}\r\noleandergap-timeout-ms: 5000\r\n\r\n`);
    };

    const receiveResponse = async (socket: net.Socket): Promise<void> => {
        let text = "";
        socket.on("data", (chunk: Buffer) => {
            text += chunk.toString("latin1");
        });
        await waitUntil(() => text.includes("answer"));
        socket.removeAllListeners("data");
    };

    /** Blocks the process, as when its VM gets no processor time. */
    const blockProcess = (): void => {
        const end = clock.monotonic() + PAUSE_MS;
        while (clock.monotonic() < end) {
            // Busy-waits.
        }
    };

    /** Each caller requests `/left` and disconnects before the process reads any input. */
    const sendAndDisconnect = async (sockets: readonly net.Socket[]): Promise<void> => {
        for (const socket of sockets) {
            write(socket, "/left");
            socket.destroy();
        }
        blockProcess();
        await sleep(SETTLE_MS);
    };

    // The end of a reused connection is read one event loop iteration after the request that arrived with it.
    it("are not forwarded by a node with event loop lag, on reused connections", async () => {
        const gate = await startOtherGate();
        const port = await startNodeGateway(gate.port);
        const sockets = await Promise.all(Array.from({ length: CALLERS }, () => openConnection(port)));
        await Promise.all(sockets.map(async (socket) => {
            write(socket, "/before");
            await receiveResponse(socket);
        }));
        await sleep(SETTLE_MS);
        await sendAndDisconnect(sockets);
        expect(gate.received).not.to.include("/left");
    });

    // The response that frees a slot and the end of the queued request's connection are read in the same event loop
    // iteration.
    it("are not sent to the target by a gate with event loop lag when they leave the queue", async () => {
        const received: string[] = [];
        let respondToFirst: () => void = () => undefined;
        const target = await startTarget(cleanup.add, (request, response) => {
            received.push(request.url ?? "");
            respondToFirst = () => response.end("answer");
        });
        const abortController = new AbortController();
        cleanup.add(() => abortController.abort());
        const { catchUp } = startEventLoopLagMonitor({ clock, onPause: () => undefined }, abortController.signal);
        const limit = { ...TEST_LIMIT, concurrency: 1 };
        const gate = await startGate(cleanup.add, { clock, limit, catchUp });
        gate.targetManager.announce(createAnnouncement(target));
        const waitingCaller = await openConnection(gate.port);
        const first = sendHttpRequest({ port: gate.port, path: "/first", headers: createGateHeaders() });
        await waitUntil(() => received.length === 1);
        const headers = Object.entries(createGateHeaders({ "oleandergap-request-id": "second" }));
        const lines = ["GET /left HTTP/1.1", ...headers.map(([name, value]) => `${name}: ${value}`)];
        waitingCaller.write(`${lines.join("\r\n")}\r\n\r\n`);
        await waitUntil(() => gate.targetManager.current()?.gate.load().queued === 1);

        respondToFirst();
        waitingCaller.destroy();
        blockProcess();
        await first;
        await sleep(SETTLE_MS);
        expect(received).to.deep.equal(["/first"]);
    });

    it("are not forwarded by a node with event loop lag, on new connections", async () => {
        const gate = await startOtherGate();
        const port = await startNodeGateway(gate.port);
        const sockets = await Promise.all(Array.from({ length: CALLERS }, () => openConnection(port)));
        await sendAndDisconnect(sockets);
        expect(gate.received).not.to.include("/left");
    });
});
