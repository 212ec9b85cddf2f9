import { expect } from "chai";
import { createManualClock, type ManualClock } from "oleandergap-utils";
import type { ListenerOptions } from "../http/listener.js";
import type { TurnTask } from "../http/taskList.js";
import { createMember, HOST, startGateway } from "./gatewaySupport.js";
import { callRaw, sendHttpRequest, createAnnouncement, createCleanup, createGateHeaders, startGate, startTarget, waitUntil } from "./support.js";

const TIMEOUT_MS = 1000;
/** Time that a request spends in the queue of the node. */
const WAIT_MS = 300;
const BODY_BYTES = 200_000;

/*
 * Guards against requests without a final response half a second after their route's timeout. Many requests arrive at
 * once, as after a restart of all nodes, and one is started in each event loop iteration. If the timeout started when
 * the request is started, the time in the queue would be added to it.
 */
describe("a queued request", () => {
    const cleanup = createCleanup();
    let clock: ManualClock;
    let queuedTasks: TurnTask[];
    let turns: NonNullable<ListenerOptions["turns"]>;

    beforeEach(() => {
        clock = createManualClock();
        queuedTasks = [];
        const run = (task: TurnTask): void => {
            queuedTasks.push(task);
        };
        turns = { run, runFirst: run, recordConnection: () => undefined };
    });

    afterEach(() => cleanup.run());

    const runQueuedTasksAfterWait = async (isOverdue = false): Promise<void> => {
        await waitUntil(() => queuedTasks.length === 1);
        await clock.advance(WAIT_MS);
        queuedTasks.forEach((start) => start(isOverdue));
    };

    /** Starts a gate or target that responds immediately and records the timeout of each request. */
    const startReceiver = async (): Promise<{ readonly port: number; readonly timeouts: number[] }> => {
        const timeouts: number[] = [];
        const port = await startTarget(cleanup.add, (request, response) => {
            timeouts.push(Number(request.headers["oleandergap-timeout-ms"]));
            response.setHeader("oleandergap-request-id", String(request.headers["oleandergap-request-id"]));
            response.end("answer");
        });
        return { port, timeouts };
    };

    it("has its waiting time deducted from the timeout at the gateway", async () => {
        const receiver = await startReceiver();
        const gateway = await startGateway(cleanup.add, { clock, turns, targets: [createMember("a", receiver.port)] });
        const headers = { host: HOST, "oleandergap-timeout-ms": String(TIMEOUT_MS) };
        const clientResponse = sendHttpRequest({ port: gateway.port, headers });
        await runQueuedTasksAfterWait();
        await clientResponse;
        expect(receiver.timeouts).to.deep.equal([TIMEOUT_MS - WAIT_MS]);
    });

    it("has its waiting time deducted from the timeout at the gate", async () => {
        const receiver = await startReceiver();
        const gate = await startGate(cleanup.add, { clock, turns });
        gate.targetManager.announce(createAnnouncement(receiver.port));
        const clientResponse = sendHttpRequest({
            port: gate.port, headers: createGateHeaders({ "oleandergap-timeout-ms": String(TIMEOUT_MS) }),
        });
        await runQueuedTasksAfterWait();
        await clientResponse;
        expect(receiver.timeouts).to.deep.equal([TIMEOUT_MS - WAIT_MS]);
    });

    // Guards against a gate that asks for all requests while its node starts half of them too late.
    it("is refused unsent at the gate if it waited for too long, and other nodes are asked to send fewer", async () => {
        const receiver = await startReceiver();
        const gate = await startGate(cleanup.add, { clock, turns });
        gate.targetManager.announce(createAnnouncement(receiver.port));
        const clientResponse = sendHttpRequest({
            port: gate.port, headers: createGateHeaders({ "oleandergap-priority": "1" }),
        });
        await runQueuedTasksAfterWait(true);
        const { statusCode, headers } = await clientResponse;
        expect(statusCode).to.equal(429);
        expect(headers).to.include({
            "oleandergap-verdict": "notRun",
            "oleandergap-reason": "LimitReached",
            "oleandergap-request-id": "attempt-1",
        });
        expect(Number(headers["oleandergap-admission-share"])).to.be.lessThan(1);
        expect(receiver.timeouts).to.have.length(0);
    });

    // Guards against a request that is never answered because the body of a refused one before it was not read.
    it("does not hold up the next request of its connection if it is refused with its body unread", async () => {
        const receiver = await startReceiver();
        const gate = await startGate(cleanup.add, { clock, turns });
        gate.targetManager.announce(createAnnouncement(receiver.port));
        const formatHead = (method: string, headers: Readonly<Record<string, string>>): string => [
            `${method} / HTTP/1.1`,
            ...Object.entries(createGateHeaders(headers)).map(([name, value]) => `${name}: ${value}`),
            "\r\n",
        ].join("\r\n");
        const body = "x".repeat(BODY_BYTES);
        const received = callRaw(gate.port, [
            formatHead("POST", { "content-length": String(BODY_BYTES) }),
            body,
            formatHead("GET", { "oleandergap-request-id": "attempt-2", connection: "close" }),
        ].join(""));
        await waitUntil(() => queuedTasks.length === 1);
        queuedTasks.shift()?.(true);
        await waitUntil(() => queuedTasks.length === 1);
        queuedTasks.shift()?.(false);
        const statusLines = (await received).match(/HTTP\/1\.1 \d+/g);
        expect(statusLines).to.deep.equal(["HTTP/1.1 429", "HTTP/1.1 200"]);
        expect(receiver.timeouts).to.have.length(1);
    });

    // Guards against callers that get no response from a node that is behind.
    it("is refused unsent at the gateway if it waited for too long", async () => {
        const receiver = await startReceiver();
        const gateway = await startGateway(cleanup.add, { clock, turns, targets: [createMember("a", receiver.port)] });
        const clientResponse = sendHttpRequest({ port: gateway.port, headers: { host: HOST } });
        await runQueuedTasksAfterWait(true);
        const { statusCode, headers } = await clientResponse;
        expect(statusCode).to.equal(429);
        expect(headers["oleandergap-verdict"]).to.equal("notRun");
        expect(headers["oleandergap-reason"]).to.equal("LimitReached");
        expect(Number(headers["retry-after-ms"])).to.be.greaterThan(0);
        expect(receiver.timeouts).to.have.length(0);
    });
});
