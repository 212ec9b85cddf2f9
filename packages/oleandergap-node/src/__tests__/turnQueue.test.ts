import http from "node:http";
import net from "node:net";
import { expect } from "chai";
import { createManualClock, createSystemClock } from "oleandergap-utils";
import { createOpenRequests } from "../http/openRequests.js";
import { createTurnQueue, type TurnLane, type TurnQueue } from "../http/turnQueue.js";
import { createCleanup, LOOPBACK, waitUntil } from "./support.js";

/** Creates a queue whose iterations are collected in `turns`, as the listener of callers sees it. */
const createCallerQueue = (turns: (() => void)[]): TurnLane & Pick<TurnQueue, "size"> => {
    const { callers, size } = createTurnQueue({
        clock: createManualClock(),
        runNextTurn: (task) => turns.push(task),
    });
    return { ...callers, size };
};

describe("createTurnQueue", () => {
    it("starts one task in each iteration, in order, and the first one immediately", () => {
        const turns: (() => void)[] = [];
        const queue = createCallerQueue(turns);
        const started: number[] = [];
        for (let index = 0; index < 3; index++) {
            queue.run(() => started.push(index) > 0);
        }
        expect(started).to.deep.equal([0]);
        expect(queue.size()).to.equal(2);
        turns.shift()?.();
        expect(started).to.deep.equal([0, 1]);
        queue.run(() => started.push(3) > 0);
        turns.shift()?.();
        turns.shift()?.();
        expect(started).to.deep.equal([0, 1, 2, 3]);
        turns.shift()?.();
        expect(turns).to.have.length(0);
        queue.run(() => started.push(4) > 0);
        expect(started.at(-1)).to.equal(4);
    });
});

describe("requests that wait to be started", () => {
    const clock = createManualClock();
    const turns: (() => void)[] = [];
    const runTurn = (): void => turns.splice(0).forEach((task) => task());

    /** Queues first requests of callers, 10 ms apart, behind one that has just been started. */
    const queueCallers = async (count: number): Promise<{ readonly queue: TurnQueue; readonly started: string[] }> => {
        const queue = createTurnQueue({ clock, runNextTurn: (task) => turns.push(task) });
        const started: string[] = [];
        queue.callers.run(() => true);
        for (let index = 0; index < count; index++) {
            queue.callers.runFirst((isOverdue) => started.push(`${isOverdue ? "overdue" : "caller"} ${index}`) > 0);
            await clock.advance(10);
        }
        return { queue, started };
    };

    beforeEach(() => turns.splice(0));

    // Guards against targets that are idle because the requests to them wait behind those of callers.
    it("do not delay those of other nodes", async () => {
        const { queue, started } = await queueCallers(5);
        queue.nodes.run(() => started.push("node") > 0);
        runTurn();
        expect(started).to.deep.equal(["node"]);
    });

    it("delay those of callers for a limited number of iterations", async () => {
        const { queue, started } = await queueCallers(1);
        Array.from({ length: 10 }).forEach((_, index) => queue.nodes.run(() => started.push(`node ${index}`) > 0));
        Array.from({ length: 6 }).forEach(runTurn);
        expect(started.filter((name) => name.startsWith("node"))).to.have.length(6);
        expect(started).to.include("caller 0");
    });

    it("are started in order unless the node is behind", async () => {
        const { started } = await queueCallers(3);
        Array.from({ length: 5 }).forEach(runTurn);
        expect(started).to.deep.equal(["caller 0", "caller 1", "caller 2"]);
    });

    // Guards against a node that starts every request when its caller is about to leave.
    it("are started from the newest on while the oldest has waited for long", async () => {
        const { started } = await queueCallers(4);
        runTurn();
        runTurn();
        await clock.advance(150);
        runTurn();
        expect(started).to.deep.equal(["caller 0", "caller 3"]);
    });

    // Guards against callers that get no response from a node that is behind.
    it("are overdue after a while", async () => {
        const { queue, started } = await queueCallers(3);
        runTurn();
        runTurn();
        await clock.advance(160);
        queue.nodes.run((isOverdue) => started.push(`node ${isOverdue ? "overdue" : "in time"}`) > 0);
        await clock.advance(90);
        runTurn();
        expect(started).to.deep.equal(["caller 0", "overdue 1", "overdue 2", "node in time"]);
    });

    // Guards against requests of other nodes that are started when their senders are about to give up.
    it("are overdue earlier if they are those of other nodes", async () => {
        const { queue, started } = await queueCallers(0);
        queue.nodes.run((isOverdue) => started.push(`node ${isOverdue ? "overdue" : "in time"}`) > 0);
        queue.callers.run((isOverdue) => started.push(`caller ${isOverdue ? "overdue" : "in time"}`) > 0);
        await clock.advance(110);
        runTurn();
        expect(started).to.deep.equal(["node overdue", "caller in time"]);
    });

    // Guards against a node that pays for a whole iteration for each request while many wait.
    it("are started several at a time once they have waited, if they are those of other nodes", async () => {
        const { queue, started } = await queueCallers(0);
        Array.from({ length: 5 }).forEach((_, index) => queue.nodes.run(() => started.push(`node ${index}`) > 0));
        runTurn();
        expect(started).to.have.length(1);
        await clock.advance(20);
        runTurn();
        expect(started).to.have.length(4);
    });

    // Guards against urgent requests of other nodes that are late because the node is behind with less urgent ones.
    it("are started by their priority if they are those of other nodes", async () => {
        const { queue, started } = await queueCallers(0);
        for (const [index, priority] of [2, 1, 99, 1, 0].entries()) {
            queue.nodes.run(() => started.push(`${priority} (${index})`) > 0, priority);
        }
        Array.from({ length: 8 }).forEach(runTurn);
        expect(started).to.deep.equal(["0 (4)", "1 (1)", "1 (3)", "2 (0)", "99 (2)"]);
        expect(queue.size()).to.equal(0);
    });
});

/*
 * Guards against a node that reads requests only after their callers have disconnected, while its target is idle. A
 * node that has just started has event loop lag, and callers of queued requests disconnect. If each such request takes
 * a whole event loop iteration like a request that causes work, the queue never catches up.
 */
describe("queued requests whose callers have disconnected", () => {
    it("do not use up an iteration of the requests queued after them", () => {
        const turns: (() => void)[] = [];
        const queue = createCallerQueue(turns);
        const started: string[] = [];
        const add = (name: string, hasCaller: boolean): void => queue.run(() => {
            started.push(name);
            return hasCaller;
        });
        add("first", true);
        Array.from({ length: 10 }).forEach((_, index) => add(`gone ${index}`, false));
        add("waits", true);
        add("next", true);
        turns.shift()?.();
        expect(started.at(-1)).to.equal("waits");
        turns.shift()?.();
        expect(started.at(-1)).to.equal("next");
        turns.shift()?.();
        expect(turns).to.have.length(0);
    });

    it("keep iterations short, regardless of their number", () => {
        const turns: (() => void)[] = [];
        const queue = createCallerQueue(turns);
        let disconnectedTasks = 0;
        queue.run(() => true);
        Array.from({ length: 100 }).forEach(() => queue.run(() => {
            disconnectedTasks += 1;
            return false;
        }));
        turns.shift()?.();
        expect(disconnectedTasks).to.be.within(1, 20);
        while (turns.length > 0) {
            turns.shift()?.();
        }
        expect(disconnectedTasks).to.equal(100);
        expect(queue.size()).to.equal(0);
    });
});

describe("the first request of a connection", () => {
    it("waits until the end of its connection would have been reported", () => {
        const turns: (() => void)[] = [];
        const queue = createCallerQueue(turns);
        const started: string[] = [];
        queue.runFirst(() => started.push("first") > 0);
        queue.run(() => started.push("later") > 0);
        expect(started).to.deep.equal(["later"]);
        for (let turn = 0; turn < 3 && started.length < 2; turn++) {
            turns.splice(0).forEach((task) => task());
        }
        expect(started).to.deep.equal(["later", "first"]);
    });

    /** Queues a first request and a later one, and lets iterations pass that each accept a connection. */
    const startWhileConnectionsAreAccepted = (turnCount: number): readonly string[] => {
        const turns: (() => void)[] = [];
        const queue = createCallerQueue(turns);
        const started: string[] = [];
        queue.runFirst(() => started.push("first") > 0);
        for (let turn = 0; turn < turnCount; turn++) {
            queue.recordConnection();
            if (turn === 5) {
                queue.run(() => started.push("later") > 0);
            }
            turns.splice(0).forEach((task) => task());
        }
        return started;
    };

    it("waits while more connections are accepted, and delays no requests of other connections", () => {
        expect(startWhileConnectionsAreAccepted(10)).to.deep.equal(["later"]);
    });

    it("waits for a limited number of iterations, however many connections are accepted", () => {
        expect(startWhileConnectionsAreAccepted(30)).to.deep.equal(["later", "first"]);
    });
});

describe("callers that disconnected before their request was started", () => {
    const cleanup = createCleanup();
    afterEach(() => cleanup.run());

    // Guards against a request that is sent to a target long after its caller disconnected. The caller disconnects
    // while the request is queued. A listener that is added after the connection has ended is never called.
    it("are detected when their connection has already ended", async () => {
        const signals = createOpenRequests(createSystemClock());
        let serverResponse: http.ServerResponse | undefined;
        const server = http.createServer((_request, response) => {
            serverResponse = response;
        });
        await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
        cleanup.add(() => server.close());
        const client = net.connect((server.address() as net.AddressInfo).port, LOOPBACK);
        client.write("GET / HTTP/1.1\r\nhost: a.example\r\n\r\n");
        await waitUntil(() => serverResponse !== undefined);
        client.end();
        await waitUntil(() => serverResponse?.req.socket.readableEnded === true);
        expect(serverResponse !== undefined && signals.open(serverResponse, undefined).aborted).to.equal(true);
        await waitUntil(() => serverResponse?.destroyed === true);
        expect(serverResponse !== undefined && signals.open(serverResponse, undefined).aborted).to.equal(true);
    });

    // Guards against the same failure at a node that reads pending input before it forwards a request. The end of the
    // connection is read, and the request is forwarded in the same event loop iteration. The `close` event of the
    // response fires only some iterations later, when the target has already received the request.
    it("are detected as soon as the end of their connection is read", async () => {
        const signals = createOpenRequests(createSystemClock());
        let wasAborted: boolean | undefined;
        const server = http.createServer((request, response) => {
            const signal = signals.open(response, undefined);
            request.socket.once("end", () => {
                wasAborted = signal.aborted;
            });
        });
        await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
        cleanup.add(() => server.close());
        const client = net.connect((server.address() as net.AddressInfo).port, LOOPBACK);
        client.write("GET / HTTP/1.1\r\nhost: a.example\r\n\r\n");
        await new Promise((resolve) => setTimeout(resolve, 20));
        client.end();
        await waitUntil(() => wasAborted !== undefined);
        expect(wasAborted).to.equal(true);
    });
});
