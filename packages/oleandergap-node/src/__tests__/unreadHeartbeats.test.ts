import type { ServerResponse } from "node:http";
import { expect } from "chai";
import { createManualClock, type ManualClock } from "oleandergap-utils";
import { createMember, HOST, startGateway } from "./gatewaySupport.js";
import { sendHttpRequest, createCleanup, startTarget, waitUntil, type ReceivedResponse } from "./support.js";

const GATE_TIMEOUT_MS = 500;
const TIMEOUT_MS = 10_000;
/** Number of event loop iterations in which another attempt would arrive. */
const TURNS = 100;

describe("a gateway with event loop lag", () => {
    const cleanup = createCleanup();

    afterEach(() => cleanup.run());

    interface Scenario {
        readonly clock: ManualClock;
        readonly attempts: readonly ServerResponse[];
        readonly answer: Promise<ReceivedResponse>;
    }

    /** Starts a gateway and sends a request, which has reached its gate. */
    const startScenario = async (): Promise<Scenario> => {
        const attempts: ServerResponse[] = [];
        const port = await startTarget(cleanup.add, (request, response) => {
            response.setHeader("oleandergap-request-id", String(request.headers["oleandergap-request-id"]));
            response.setHeader("oleandergap-verdict", "ran");
            attempts.push(response);
        });
        const clock = createManualClock();
        const gateway = await startGateway(cleanup.add, { clock, targets: [createMember("a", port)] });
        const answer = sendHttpRequest({ port: gateway.port, headers: { host: HOST, "oleandergap-timeout-ms": String(TIMEOUT_MS) } });
        await waitUntil(() => attempts.length === 1);
        return { clock, attempts, answer };
    };

    const runEventLoopTurns = async (): Promise<void> => {
        for (let turn = 0; turn < TURNS; turn++) {
            await new Promise<void>((resolve) => setImmediate(resolve));
        }
    };

    // Guards against a gate that is reported as unresponsive although its heartbeat has arrived and has not been read
    // yet.
    it("reads the heartbeats that have arrived before it treats a gate as unresponsive", async () => {
        const { clock, attempts, answer } = await startScenario();
        clock.block(GATE_TIMEOUT_MS - 100);
        attempts[0]?.writeProcessing();
        clock.block(200);
        await runEventLoopTurns();
        attempts[0]?.end("run");
        expect(await answer).to.include({ statusCode: 200 });
        expect(attempts).to.have.lengthOf(1);
    });

    // Guards against a response that is discarded at the deadline although it has arrived.
    it("delivers a response that has arrived before the deadline", async () => {
        const { clock, attempts, answer } = await startScenario();
        attempts[0]?.end("run");
        clock.block(TIMEOUT_MS + 1);
        expect(await answer).to.include({ statusCode: 200 });
    });
});
