import { expect } from "chai";
import { createSystemClock } from "oleandergap-utils";
import { createCallerSignals } from "../http/callerSignal.js";
import { createMember, HOST, startGateway } from "./gatewaySupport.js";
import { call, createAnnouncement, createCleanup, startGate, startTarget } from "./support.js";

describe("giving up what is under way", () => {
    const cleanup = createCleanup();
    const clock = createSystemClock();

    afterEach(() => cleanup.run());

    // Symptom: a caller's connection is closed without any answer when a node stops.
    // Sequence: a request waits at a gate or runs at a target; the stopping node's time for draining is over.
    // Cause: the node closes all connections at that moment, whatever is still due on them.
    it("gives each caller its final answer, with what is known of its request", async () => {
        let arrived: () => void = () => undefined;
        const running = new Promise<void>((resolve) => {
            arrived = resolve;
        });
        const target = await startTarget(cleanup.add, () => arrived());
        const gate = await startGate(cleanup.add, { clock });
        gate.keeper.announce(createAnnouncement(target));
        const callerSignals = createCallerSignals();
        const gateway = await startGateway(cleanup.add, { clock, targets: [createMember("a", gate.port)], callerSignals });
        const headers = { host: HOST, "oleandergap-timeout-ms": "10000" };
        const request = call({ port: gateway.port, headers });
        await running;
        callerSignals.giveUpAll();
        const answer = await request;
        expect(answer.whole).to.equal(true);
        expect(answer.headers["oleandergap-verdict"]).to.equal("mayHaveRun");
        expect(answer.statusCode).to.equal(502);
    });
});
