// Symptom: a node that is behind stays behind although its peers hold the version and it asks them again and again.
// Sequence: the whole version travels over a narrow link that also carries requests; the pull is given up after a
// second while the answer still arrives; the next peer is asked for all of it once more.
// Cause: the time limit of a call between nodes counted the whole of a long answer.
// Evidence: "A pull failed. NoAnswer: TimedOut" after 1,004 ms at nodes whose incoming links were full.
import { createServer, type ServerResponse } from "node:http";
import { Agent } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import { createManualClock, type ManualClock } from "oleandergap-utils";
import { defaultDistributionOptions } from "../options.js";
import { exchangeWithPeer, type ExchangeResult } from "../peerTransport.js";

const TIMEOUT_MS = 1_000;
const CHUNK = "x".repeat(4_096);
const CHUNKS = 4;

const waitForTick = (): Promise<void> => new Promise((resolve) => {
    setImmediate(resolve);
});

const listSockets = (agent: Agent): readonly Socket[] =>
    Object.values(agent.sockets).flatMap((sockets) => (sockets ?? []) as readonly Socket[]);

/** Waits until the client has read `bytes`, and has had a turn of its loop to deal with them. */
const waitUntilRead = async (agent: Agent, bytes: number): Promise<void> => {
    while (!listSockets(agent).some((socket) => socket.bytesRead >= bytes)) {
        await waitForTick();
    }
    await waitForTick();
    await waitForTick();
};

describe("exchangeWithPeer with a long answer", () => {
    const runExchange = async (
        send: (response: ServerResponse, clock: ManualClock, agent: Agent) => Promise<void>,
        onProgress?: () => void,
    ): Promise<ExchangeResult> => {
        const clock = createManualClock();
        const agent = new Agent({ keepAlive: true });
        const server = createServer((_request, response) => void send(response, clock, agent));
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        const outcome = await exchangeWithPeer({
            ...defaultDistributionOptions.peer,
            address: "127.0.0.1",
            port: (server.address() as AddressInfo).port,
            path: "/peer/document",
            authorization: undefined,
            body: undefined,
            timeoutMs: TIMEOUT_MS,
            onProgress,
            signal: new AbortController().signal,
        }, { agent, clock, countBytes: () => undefined });
        agent.destroy();
        server.closeAllConnections();
        server.close();
        return outcome;
    };

    it("reads an answer to its end as long as more of it arrives", async () => {
        const outcome = await runExchange(async (response, clock, agent) => {
            response.writeHead(200, { "content-length": CHUNKS * CHUNK.length });
            for (let chunk = 1; chunk <= CHUNKS; chunk++) {
                response.write(CHUNK);
                await waitUntilRead(agent, chunk * CHUNK.length);
                await clock.advance(TIMEOUT_MS - 100);
            }
            response.end();
        });
        expect(either.isRight(outcome) && outcome.right.text.length).to.equal(CHUNKS * CHUNK.length);
    });

    it("tells that an answer is arriving before it is whole", async () => {
        let progress = 0;
        let progressBefore = 0;
        await runExchange(async (response, _clock, agent) => {
            response.writeHead(200, { "content-length": 2 * CHUNK.length });
            response.write(CHUNK);
            await waitUntilRead(agent, CHUNK.length);
            progressBefore = progress;
            response.end(CHUNK);
        }, () => {
            progress += 1;
        });
        expect(progressBefore).to.be.greaterThan(0);
    });

    it("gives an answer up that stops in the middle", async () => {
        const outcome = await runExchange(async (response, clock, agent) => {
            response.writeHead(200, { "content-length": CHUNKS * CHUNK.length });
            response.write(CHUNK);
            await waitUntilRead(agent, CHUNK.length);
            await clock.advance(TIMEOUT_MS + 1);
        });
        expect(outcome).to.have.nested.property("left.kind", "Unreachable");
    });
});
