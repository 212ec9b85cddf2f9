import http, { type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import type { LogContext, Logger } from "oleandergap-logger";
import { createManualClock } from "oleandergap-utils";
import { createOpenRequests, getAbortCause } from "../http/openRequests.js";
import { startStopLog } from "../stop/stopLog.js";
import { createCleanup, LOOPBACK, sendHttpRequest, waitUntil } from "./support.js";

interface LoggedLine {
    readonly message: string;
    readonly context: LogContext | undefined;
}

describe("the log of a stop", () => {
    const cleanup = createCleanup();
    afterEach(() => cleanup.run());

    /** Starts a server whose responses are held, and sends requests to it. */
    const holdRequests = async (count: number): Promise<readonly ServerResponse[]> => {
        const held: ServerResponse[] = [];
        const server = http.createServer((_request, response) => held.push(response));
        await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
        cleanup.add(() => {
            server.closeAllConnections();
            server.close();
        });
        for (let sent = 0; sent < count; sent++) {
            sendHttpRequest({ port: (server.address() as AddressInfo).port }).catch(() => undefined);
        }
        await waitUntil(() => held.length === count);
        return held;
    };

    it("names each request that ends without its response, with how far the response has got, and counts all", async () => {
        const clock = createManualClock();
        const openRequests = { gateway: createOpenRequests(clock), gate: createOpenRequests(clock) };
        const [first, second, third] = await holdRequests(3);
        if (first === undefined || second === undefined || third === undefined) {
            throw new Error("a request is missing");
        }
        const lines: LoggedLine[] = [];
        const log = (message: string, context?: LogContext): void => void lines.push({ message, context });
        const logger: Logger = { debug: log, info: log, warn: log, error: log };
        const signal = openRequests.gateway.open(first, "waiting");
        const stopLog = startStopLog(logger, openRequests, () => 5100);
        openRequests.gateway.open(second, "finished");
        openRequests.gate.open(third, "begun");
        second.end("done");
        third.writeHead(200, { "content-length": "4" });
        third.write("ab");
        await clock.advance(2000);
        await waitUntil(() => second.closed);

        stopLog.logAborted();
        openRequests.gateway.abortAll();
        expect(getAbortCause(signal)).to.equal("NodeStopping");
        stopLog.logCut();
        stopLog.logSummary();

        const facts = lines.map(({ message, context }) => [message, context?.at, context?.id, context?.statusCode]);
        expect(facts).to.deep.equal([
            ["A request is aborted because the node stops.", "gateway", "waiting", undefined],
            ["A connection is closed before its response is complete.", "gateway", "waiting", undefined],
            ["A connection is closed before its response is complete.", "gate", "begun", 200],
            ["Requests during the stop.", undefined, undefined, undefined],
        ]);
        expect(lines[2]?.context).to.include({ openMs: 2000 }).and.property("sentBytes").above(2);
        expect(lines[3]?.context).to.include({
            elapsedMs: 5100,
            gateway: "1 in flight, 1 accepted, 1 finished, 0 abandoned, 1 aborted",
            gate: "0 in flight, 1 accepted, 0 finished, 0 abandoned, 0 aborted",
        });
    });
});
