import { expect } from "chai";
import { createManualClock, createSystemClock } from "oleandergap-utils";
import { createMember, HOST, startGateway } from "./gatewaySupport.js";
import {
    createAnnouncement,
    createCleanup,
    createGateHeaders,
    type ReceivedResponse,
    sendHttpRequest,
    startGate,
    startTarget,
    waitUntil,
} from "./support.js";

/** Longer than the inactivity timeout of the gateway in these tests, and shorter than twice that timeout. */
const SLOW_MS = 800;
/** Inactivity timeout of the gateway in these tests. */
const GATE_TIMEOUT_MS = 500;
const HEADERS = { host: HOST, "oleandergap-timeout-ms": "2000" };

describe("a gate that sends no heartbeat while its target processes a request", () => {
    const cleanup = createCleanup();
    const clock = createSystemClock();

    afterEach(() => cleanup.run());

    interface Gate {
        readonly port: number;
        /** Returns the number of attempts that arrived. */
        readonly attempts: () => number;
        /** Returns the number of running requests whose connection was closed before their response. */
        readonly aborts: () => number;
    }

    /**
     * Starts a gate that sends no heartbeats. It runs the first `runs` attempts, responds to them after
     * `responseDelayMs` if that is set, and refuses all further attempts.
     */
    const startUnresponsiveGate = async (responseDelayMs: number | undefined, runs = 1): Promise<Gate> => {
        let attempts = 0;
        let aborts = 0;
        const port = await startTarget(cleanup.add, (request, response) => {
            attempts += 1;
            const id = { "oleandergap-request-id": String(request.headers["oleandergap-request-id"]) };
            if (attempts > runs) {
                response.writeHead(504, {
                    ...id, "oleandergap-verdict": "notRun", "oleandergap-reason": "DeadlineTooShort",
                });
                response.end();
                return;
            }
            response.once("close", () => {
                aborts += response.writableFinished ? 0 : 1;
            });
            if (responseDelayMs !== undefined) {
                setTimeout(() => {
                    response.writeHead(200, { ...id, "oleandergap-verdict": "ran" });
                    response.end("answer");
                }, responseDelayMs);
            }
        });
        return { port, attempts: () => attempts, aborts: () => aborts };
    };

    const sendRequest = async (gate: Gate): Promise<ReceivedResponse> => {
        const gateway = await startGateway(cleanup.add, { clock, targets: [createMember("a", gate.port)] });
        return sendHttpRequest({ port: gateway.port, headers: HEADERS });
    };

    // The first attempt may still run when the second one is refused.
    it("is not reported as notRun because it refused the second attempt", async () => {
        const gate = await startUnresponsiveGate(undefined);
        const clientResponse = await sendRequest(gate);
        expect(gate.attempts()).to.equal(2);
        expect(clientResponse.headers["oleandergap-verdict"]).to.equal("mayHaveRun");
    });

    // The same failure between a gate and its target, which is unresponsive at the first attempt and sheds the second.
    it("is not reported as notRun because its target refused the second attempt", async () => {
        let requests = 0;
        const target = await startTarget(cleanup.add, (_request, response) => {
            requests += 1;
            if (requests === 1) {
                response.end("answer");
            }
            if (requests > 2) {
                response.writeHead(503, { "oleandergap-verdict": "notRun" });
                response.end();
            }
        });
        const gate = await startGate(cleanup.add, { clock });
        gate.targetManager.announce(createAnnouncement(target));
        const headers = createGateHeaders({ "oleandergap-timeout-ms": "4000" });
        await sendHttpRequest({ port: gate.port, headers });
        const clientResponse = await sendHttpRequest({ port: gate.port, headers });
        expect(requests).to.equal(3);
        expect(clientResponse.headers["oleandergap-verdict"]).to.equal("mayHaveRun");
    });

    // An inactivity timeout shows only that a connection may be lost. Closing the connection would abort the running
    // request.
    it("delivers the response of a request that is still running", async () => {
        const gate = await startUnresponsiveGate(SLOW_MS);
        const clientResponse = await sendRequest(gate);
        expect(clientResponse.statusCode).to.equal(200);
        expect(clientResponse.body.toString()).to.equal("answer");
        expect(gate.aborts()).to.equal(0);
    });

    it("does not delay the request when it refused the second attempt and another gate responds", async () => {
        const gate = await startUnresponsiveGate(undefined);
        const other = await startTarget(cleanup.add, (request, response) => {
            response.setHeader("oleandergap-request-id", String(request.headers["oleandergap-request-id"]));
            response.setHeader("oleandergap-verdict", "ran");
            response.end("other");
        });
        const manualClock = createManualClock();
        const targets = [createMember("a", gate.port), createMember("b", other)];
        const gateway = await startGateway(cleanup.add, { clock: manualClock, targets });
        // Sends requests until the unresponsive gate is selected first.
        let pending = sendHttpRequest({ port: gateway.port, headers: HEADERS });
        while (gate.attempts() === 0) {
            await Promise.race([pending, waitUntil(() => gate.attempts() > 0)]);
            if (gate.attempts() === 0) {
                pending = sendHttpRequest({ port: gateway.port, headers: HEADERS });
            }
        }
        await manualClock.advance(GATE_TIMEOUT_MS);
        expect((await pending).body.toString()).to.equal("other");
    });

    it("delivers the responses of all running requests when it already counts as unresponsive", async () => {
        const gate = await startUnresponsiveGate(SLOW_MS, 2);
        const gateway = await startGateway(cleanup.add, { clock, targets: [createMember("a", gate.port)] });
        const clientResponses = await Promise.all([1, 2].map(() =>
            sendHttpRequest({ port: gateway.port, headers: HEADERS })));
        expect(clientResponses.map(({ statusCode }) => statusCode)).to.deep.equal([200, 200]);
        expect(gate.aborts()).to.equal(0);
    });
});
