import http from "node:http";
import net from "node:net";
import { expect } from "chai";
import { createCallerSignals } from "../http/callerSignal.js";
import { createTurnQueue } from "../http/turnQueue.js";
import { createCleanup, LOOPBACK, until } from "./support.js";

describe("createTurnQueue", () => {
    it("starts one task in each turn, in order, and the first one at once", () => {
        const turns: (() => void)[] = [];
        const queue = createTurnQueue((task) => turns.push(task));
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

/*
 * Symptom: for ten seconds a node reads calls only after their callers have gone, while its target is idle.
 * Sequence: a node that has just started is behind; callers of queued requests leave, others come.
 * Cause: a request whose caller had left took a whole turn of the event loop, like one that makes work.
 * Evidence: each second 98 to 264 calls reached a gate after their callers had left, and none was answered.
 */
describe("requests whose callers have left", () => {
    it("take no turn from those that wait", () => {
        const turns: (() => void)[] = [];
        const queue = createTurnQueue((task) => turns.push(task));
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

    it("leave turns short, however many they are", () => {
        const turns: (() => void)[] = [];
        const queue = createTurnQueue((task) => turns.push(task));
        let gone = 0;
        queue.run(() => true);
        Array.from({ length: 100 }).forEach(() => queue.run(() => {
            gone += 1;
            return false;
        }));
        turns.shift()?.();
        expect(gone).to.be.within(1, 20);
        while (turns.length > 0) {
            turns.shift()?.();
        }
        expect(gone).to.equal(100);
        expect(queue.size()).to.equal(0);
    });
});

describe("the first request of a connection", () => {
    it("waits until the end of its connection would be known", () => {
        const turns: (() => void)[] = [];
        const queue = createTurnQueue((task) => turns.push(task));
        const started: string[] = [];
        queue.runFirst(() => started.push("first") > 0);
        queue.run(() => started.push("later") > 0);
        expect(started).to.deep.equal(["later"]);
        for (let turn = 0; turn < 3 && started.length < 2; turn++) {
            turns.splice(0).forEach((task) => task());
        }
        expect(started).to.deep.equal(["later", "first"]);
    });
});

describe("callers that left before their request was started", () => {
    const cleanup = createCleanup();
    afterEach(() => cleanup.run());

    // Symptom: a request is handed to a target long after its caller left.
    // Sequence: a request waits for its turn; its caller hangs up; the request is started after that.
    // Cause: who listens for the end of a connection that has ended already never hears of it.
    it("are known to have left", async () => {
        const signals = createCallerSignals();
        let arrived: http.ServerResponse | undefined;
        const server = http.createServer((_request, response) => {
            arrived = response;
        });
        await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
        cleanup.add(() => server.close());
        const client = net.connect((server.address() as net.AddressInfo).port, LOOPBACK);
        client.write("GET / HTTP/1.1\r\nhost: a.example\r\n\r\n");
        await until(() => arrived !== undefined);
        client.end();
        await until(() => arrived?.req.socket.readableEnded === true);
        expect(arrived !== undefined && signals.create(arrived).aborted).to.equal(true);
        await until(() => arrived?.destroyed === true);
        expect(arrived !== undefined && signals.create(arrived).aborted).to.equal(true);
    });

    // Symptom: as above, although the node lets what has arrived be read before it hands a request on.
    // Sequence: the end of the connection is read; the request is handed on in the same turn of the event loop.
    // Cause: the answer's close told of the end, and it comes some turns after the end was read.
    // Evidence: a request whose caller had left 0.84 s before was handed to its target by a gate and cut within the
    //   same millisecond, although gates that are behind read what has arrived before they hand a request on.
    it("are known to have left as soon as the end of their connection is read", async () => {
        const signals = createCallerSignals();
        let wasAborted: boolean | undefined;
        const server = http.createServer((request, response) => {
            const signal = signals.create(response);
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
        await until(() => wasAborted !== undefined);
        expect(wasAborted).to.equal(true);
    });
});
