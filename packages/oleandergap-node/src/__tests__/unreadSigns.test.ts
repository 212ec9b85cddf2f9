import type { ServerResponse } from "node:http";
import { expect } from "chai";
import { createManualClock, type ManualClock } from "oleandergap-utils";
import { createMember, HOST, startGateway } from "./gatewaySupport.js";
import { call, createCleanup, startTarget, until, type Received } from "./support.js";

const GATE_SILENCE_MS = 500;
const TIMEOUT_MS = 10_000;
/** Number of event loop iterations in which another attempt would arrive. */
const TURNS = 100;

describe("a gateway with event loop lag", () => {
    const cleanup = createCleanup();

    afterEach(() => cleanup.run());

    interface Scene {
        readonly clock: ManualClock;
        readonly tries: readonly ServerResponse[];
        readonly answer: Promise<Received>;
    }

    /** Starts a gateway and sends a request, which has reached its gate. */
    const startScene = async (): Promise<Scene> => {
        const tries: ServerResponse[] = [];
        const port = await startTarget(cleanup.add, (request, response) => {
            response.setHeader("oleandergap-request-id", String(request.headers["oleandergap-request-id"]));
            response.setHeader("oleandergap-verdict", "ran");
            tries.push(response);
        });
        const clock = createManualClock();
        const gateway = await startGateway(cleanup.add, { clock, targets: [createMember("a", port)] });
        const answer = call({ port: gateway.port, headers: { host: HOST, "oleandergap-timeout-ms": String(TIMEOUT_MS) } });
        await until(() => tries.length === 1);
        return { clock, tries, answer };
    };

    const passTurns = async (): Promise<void> => {
        for (let turn = 0; turn < TURNS; turn++) {
            await new Promise<void>((resolve) => setImmediate(resolve));
        }
    };

    // Guards against a reported silence although a heartbeat has arrived and only has not been read yet.
    it("reads the heartbeats that have arrived before it treats a gate as silent", async () => {
        const { clock, tries, answer } = await startScene();
        clock.block(GATE_SILENCE_MS - 100);
        tries[0]?.writeProcessing();
        clock.block(200);
        await passTurns();
        tries[0]?.end("run");
        expect(await answer).to.include({ statusCode: 200 });
        expect(tries).to.have.lengthOf(1);
    });

    // Guards against a response that is discarded at the deadline although it has arrived.
    it("delivers a response that has arrived before the deadline", async () => {
        const { clock, tries, answer } = await startScene();
        tries[0]?.end("run");
        clock.block(TIMEOUT_MS + 1);
        expect(await answer).to.include({ statusCode: 200 });
    });
});
