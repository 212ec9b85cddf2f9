import type { ServerResponse } from "node:http";
import net from "node:net";
import { expect } from "chai";
import { createManualClock, type ManualClock } from "oleandergap-utils";
import { createMember, HOST, startGateway } from "./gatewaySupport.js";
import {
    type Cleanup,
    createAnnouncement,
    createCleanup,
    LOOPBACK,
    type ReceivedResponse,
    sendHttpRequest,
    startGate,
    startTarget,
    waitUntil,
} from "./support.js";

const GATE_TIMEOUT_MS = 1200;
/** The inactivity timeout of a probe is half as long. */
const PROBE_TIMEOUT_MS = 600;
/** Time after which the request of a probe reaches the gate. */
const ARRIVAL_MS = 490;
/** Longer than the first backoff. */
const BACKOFF_MS = 1000;
const HEADERS = { host: HOST, "oleandergap-timeout-ms": "10000" };

type Handle = (response: ServerResponse) => void;

interface Relay {
    readonly port: number;
    /** Returns the number of requests that the relay received. */
    readonly requests: () => number;
    readonly hold: () => void;
    readonly release: () => void;
}

/** Starts a relay that simulates a slow link or node: held requests arrive when they are released. */
const startRelay = async (cleanup: Cleanup, gatePort: number): Promise<Relay> => {
    let requests = 0;
    let isHeld = false;
    const heldChunks = new Set<() => void>();
    const sockets = new Set<net.Socket>();
    const server = net.createServer((clientSocket) => {
        const gateSocket = net.connect(gatePort, LOOPBACK);
        for (const socket of [clientSocket, gateSocket]) {
            sockets.add(socket);
            socket.on("error", () => undefined);
        }
        clientSocket.on("data", (chunk) => {
            requests += 1;
            const forward = (): void => void gateSocket.write(chunk);
            if (!isHeld) {
                forward();
                return;
            }
            heldChunks.add(forward);
            clientSocket.once("close", () => heldChunks.delete(forward));
        });
        gateSocket.on("data", (chunk) => clientSocket.write(chunk));
        clientSocket.on("close", () => gateSocket.destroy());
        gateSocket.on("close", () => clientSocket.destroy());
    });
    await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
    cleanup(() => {
        server.close();
        sockets.forEach((socket) => socket.destroy());
    });
    return {
        port: (server.address() as net.AddressInfo).port,
        requests: () => requests,
        hold: () => {
            isHeld = true;
        },
        release: () => {
            isHeld = false;
            heldChunks.forEach((forward) => forward());
            heldChunks.clear();
        },
    };
};

describe("a running request whose heartbeats are late", () => {
    const cleanup = createCleanup();

    afterEach(() => cleanup.run());

    /** A gateway with two gates, one of which has been unresponsive for a request. */
    interface Scenario {
        readonly clock: ManualClock;
        readonly relay: Relay;
        /** Responses of the requests that run at the target of the unresponsive gate. */
        readonly runningResponses: readonly ServerResponse[];
        readonly aborts: () => number;
        /** Returns the number of requests at the other gate. */
        readonly otherRequests: () => number;
        /** Responds to a request at the other gate. */
        respondElsewhere: Handle;
        readonly sendRequest: () => Promise<ReceivedResponse>;
        /** Announces that the gateway's node stops. */
        readonly stop: () => void;
    }

    const startScenario = async (): Promise<Scenario> => {
        const clock = createManualClock();
        const runningResponses: ServerResponse[] = [];
        let aborts = 0;
        let otherRequests = 0;
        const target = await startTarget(cleanup.add, (_request, response) => {
            runningResponses.push(response);
            response.once("close", () => {
                aborts += response.writableFinished ? 0 : 1;
            });
        });
        // The clock of this gate does not advance, so the gate sends no heartbeats.
        const gate = await startGate(cleanup.add, { clock: createManualClock() });
        gate.targetManager.announce(createAnnouncement(target));
        const relay = await startRelay(cleanup.add, gate.port);
        const other = await startTarget(cleanup.add, (request, response) => {
            otherRequests += 1;
            response.setHeader("oleandergap-request-id", String(request.headers["oleandergap-request-id"]));
            scenario.respondElsewhere(response);
        });
        const gateway = await startGateway(cleanup.add, {
            clock,
            targets: [createMember("a", relay.port), createMember("b", other)],
            gateSilenceMs: GATE_TIMEOUT_MS,
        });
        const scenario: Scenario = {
            clock,
            relay,
            runningResponses,
            aborts: () => aborts,
            otherRequests: () => otherRequests,
            respondElsewhere: (response) => void response.end("other"),
            sendRequest: () => sendHttpRequest({ port: gateway.port, headers: HEADERS }),
            stop: gateway.announceClose,
        };
        return scenario;
    };

    /** Lets a request exceed the inactivity timeout at the relay's gate, so that the next request probes that gate. */
    const makeUnresponsive = async ({ clock, relay, sendRequest }: Scenario): Promise<void> => {
        relay.hold();
        let pending = sendRequest();
        while (relay.requests() === 0) {
            await Promise.race([pending, waitUntil(() => relay.requests() > 0)]);
            if (relay.requests() === 0) {
                pending = sendRequest();
            }
        }
        let hasResponse = false;
        void pending.then(() => {
            hasResponse = true;
        });
        await clock.advance(GATE_TIMEOUT_MS);
        await waitUntil(() => relay.requests() === 2);
        while (!hasResponse) {
            await clock.advance(GATE_TIMEOUT_MS);
        }
        await clock.advance(BACKOFF_MS);
    };

    /**
     * Sends a probe that starts to run shortly before its inactivity timeout, and advances the clock past that timeout.
     */
    const startProbe = async (
        scenario: Scenario,
        respondElsewhere: Handle,
    ): Promise<{ readonly answer: Promise<ReceivedResponse> }> => {
        const { clock, relay, runningResponses, sendRequest, otherRequests, stop } = scenario;
        await makeUnresponsive(scenario);
        scenario.respondElsewhere = respondElsewhere;
        const previousRequests = otherRequests();
        const answer = sendRequest();
        await waitUntil(() => relay.requests() === 3);
        stop();
        await clock.advance(ARRIVAL_MS);
        relay.release();
        await waitUntil(() => runningResponses.length === 1);
        await clock.advance(PROBE_TIMEOUT_MS - ARRIVAL_MS);
        await waitUntil(() => otherRequests() > previousRequests);
        // Some event loop iterations, in which the other gate's response is read.
        await clock.advance(1);
        await clock.advance(1);
        return { answer };
    };

    const refuse: Handle = (response) => {
        response.writeHead(429, { "oleandergap-verdict": "notRun", "oleandergap-reason": "LimitReached" });
        response.end();
    };

    // Guards against a running request that is aborted when the inactivity timeout of its probe has expired.
    it("provides the response when it was started by a probe and the other gate refuses the request", async () => {
        const scenario = await startScenario();
        const { answer } = await startProbe(scenario, refuse);
        scenario.runningResponses[0]?.end("run");
        expect(await answer).to.include({ statusCode: 200 });
        expect(scenario.aborts()).to.equal(0);
    });

    // Guards against a running request that is aborted before its deadline although no other response can arrive.
    it("provides the response after a second inactivity timeout when the other gate refuses the request", async () => {
        const scenario = await startScenario();
        const { answer } = await startProbe(scenario, refuse);
        await scenario.clock.advance(PROBE_TIMEOUT_MS);
        scenario.runningResponses[0]?.end("run");
        expect(await answer).to.include({ statusCode: 200 });
        expect(scenario.aborts()).to.equal(0);
    });
});
