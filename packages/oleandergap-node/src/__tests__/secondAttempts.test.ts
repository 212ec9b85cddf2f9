import type { ServerResponse } from "node:http";
import { expect } from "chai";
import { createManualClock, type ManualClock } from "oleandergap-utils";
import type { LogUnresponsiveGate, UnresponsiveGate } from "../gateway/unresponsiveGateLog.js";
import { createMember, HOST, startGateway } from "./gatewaySupport.js";
import { sendHttpRequest, createCleanup, startTarget, waitUntil, type ReceivedResponse } from "./support.js";

const GATE_TIMEOUT_MS = 500;
const HEADERS = { host: HOST, "oleandergap-timeout-ms": "10000" };

describe("two attempts at one gate", () => {
    const cleanup = createCleanup();

    afterEach(() => cleanup.run());

    interface Gate {
        readonly port: number;
        /** Attempts that arrived; the test sends the responses. */
        readonly attempts: readonly ServerResponse[];
    }

    const startGate = async (): Promise<Gate> => {
        const attempts: ServerResponse[] = [];
        const port = await startTarget(cleanup.add, (request, response) => {
            response.setHeader("oleandergap-request-id", String(request.headers["oleandergap-request-id"]));
            response.setHeader("oleandergap-verdict", "ran");
            attempts.push(response);
        });
        return { port, attempts };
    };

    const sendRequest = async (
        gate: Gate,
        clock: ManualClock,
        logUnresponsiveGate: LogUnresponsiveGate = () => undefined,
    ): Promise<{ readonly answer: Promise<ReceivedResponse> }> => {
        const gateway = await startGateway(cleanup.add, { clock, targets: [createMember("a", gate.port)], logUnresponsiveGate });
        const answer = sendHttpRequest({ port: gateway.port, headers: HEADERS });
        await waitUntil(() => gate.attempts.length === 1);
        await clock.advance(GATE_TIMEOUT_MS);
        await waitUntil(() => gate.attempts.length === 2);
        return { answer };
    };

    // Guards against a second attempt that is aborted at its first inactivity timeout although its request is running.
    it("return the response of the second attempt although its heartbeats are late", async () => {
        const clock = createManualClock();
        const gate = await startGate();
        const { answer } = await sendRequest(gate, clock);
        await clock.advance(GATE_TIMEOUT_MS);
        gate.attempts[1]?.end("run");
        expect(await answer).to.include({ statusCode: 200 });
    });

    it("are logged, each at its inactivity timeout and when it is aborted", async () => {
        const clock = createManualClock();
        const gate = await startGate();
        const loggedGates: UnresponsiveGate[] = [];
        const { answer } = await sendRequest(gate, clock, (gate) => loggedGates.push(gate));
        await clock.advance(2 * GATE_TIMEOUT_MS);
        await answer;
        expect(loggedGates.map(({ isLost, sinceSentMs }) => ({ isLost, sinceSentMs }))).to.deep.equal([
            { isLost: false, sinceSentMs: GATE_TIMEOUT_MS },
            { isLost: true, sinceSentMs: 2 * GATE_TIMEOUT_MS },
            { isLost: false, sinceSentMs: GATE_TIMEOUT_MS },
            { isLost: true, sinceSentMs: 2 * GATE_TIMEOUT_MS },
        ]);
    });
});
