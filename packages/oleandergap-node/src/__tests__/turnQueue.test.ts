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
            queue.run(() => started.push(index));
        }
        expect(started).to.deep.equal([0]);
        expect(queue.size()).to.equal(2);
        turns.shift()?.();
        expect(started).to.deep.equal([0, 1]);
        queue.run(() => started.push(3));
        turns.shift()?.();
        turns.shift()?.();
        expect(started).to.deep.equal([0, 1, 2, 3]);
        turns.shift()?.();
        expect(turns).to.have.length(0);
        queue.run(() => started.push(4));
        expect(started.at(-1)).to.equal(4);
    });
});

describe("the first request of a connection", () => {
    it("waits until the end of its connection would be known", () => {
        const turns: (() => void)[] = [];
        const queue = createTurnQueue((task) => turns.push(task));
        const started: string[] = [];
        queue.runFirst(() => started.push("first"));
        queue.run(() => started.push("later"));
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
});
