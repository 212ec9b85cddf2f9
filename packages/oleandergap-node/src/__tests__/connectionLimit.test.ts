import net from "node:net";
import { expect } from "chai";
import { createSystemClock } from "oleandergap-utils";
import { createCleanup, LOOPBACK, startTestListener, waitUntil } from "./support.js";

const MAX_CONNECTIONS = 20;
const REQUEST = "GET / HTTP/1.1\r\nhost: desk\r\n\r\n";

interface Caller {
    readonly send: () => void;
    /** Returns the number of responses that it received. */
    readonly responses: () => number;
    readonly isClosed: () => boolean;
}

describe("a listener whose connections reach their maximum number", () => {
    const cleanup = createCleanup();
    afterEach(() => cleanup.run());

    const openCaller = (port: number): Caller => {
        const socket = net.connect(port, LOOPBACK);
        cleanup.add(() => socket.destroy());
        let received = "";
        let isClosed = false;
        socket.on("error", () => undefined);
        socket.once("close", () => {
            isClosed = true;
        });
        socket.on("data", (chunk: Buffer) => {
            received += chunk.toString();
        });
        return {
            send: () => socket.write(REQUEST),
            responses: () => received.split("HTTP/1.1 ").length - 1,
            isClosed: () => isClosed,
        };
    };

    /** Sends a request on a new connection, which stays open. Resolves when it was answered or closed. */
    const callOnce = async (port: number): Promise<Caller> => {
        const caller = openCaller(port);
        caller.send();
        await waitUntil(() => caller.responses() === 1 || caller.isClosed());
        return caller;
    };

    // Guards against callers that are reset while others hold all connections of a node without using them.
    it("answers new callers while others keep their connections open without using them", async () => {
        const listener = await startTestListener(cleanup.add, createSystemClock(), (_request, response) => {
            response.writeHead(503).end();
        }, { maxConnections: MAX_CONNECTIONS });
        for (let count = 0; count < 3 * MAX_CONNECTIONS; count++) {
            expect((await callOnce(listener.port)).responses(), `caller ${count}`).to.equal(1);
        }
    });

    it("closes no connection that waits for its response, and refuses new ones if all do", async () => {
        const answers: (() => void)[] = [];
        const listener = await startTestListener(cleanup.add, createSystemClock(), (_request, response) => {
            answers.push(() => response.writeHead(200).end());
        }, { maxConnections: MAX_CONNECTIONS });
        const callers = Array.from({ length: MAX_CONNECTIONS }, () => openCaller(listener.port));
        callers.forEach(({ send }) => send());
        await waitUntil(() => answers.length === MAX_CONNECTIONS);
        const refused = await callOnce(listener.port);
        expect(refused.isClosed()).to.equal(true);
        answers.forEach((answer) => answer());
        await waitUntil(() => callers.every(({ responses }) => responses() === 1));
    });
});
