import { once } from "node:events";
import http from "node:http";
import { expect } from "chai";
import { createSystemClock } from "oleandergap-utils";
import { createOpenRequests } from "../http/openRequests.js";
import { createMember, HOST, startGateway } from "./gatewaySupport.js";
import {
    createAnnouncement,
    createCleanup,
    LOOPBACK,
    sendHttpRequest,
    startGate,
    startTarget,
    waitUntil,
} from "./support.js";

describe("aborting the requests in flight", () => {
    const cleanup = createCleanup();
    const clock = createSystemClock();

    afterEach(() => cleanup.run());

    // Guards against a caller's connection that is closed without any response when a node stops. A request waits at a
    // gate or runs at a target when the drain timeout of the stopping node passes. The node must not close its
    // connections before it has written the pending responses.
    it("sends each caller a final response with the verdict on its request", async () => {
        let arrived: () => void = () => undefined;
        const running = new Promise<void>((resolve) => {
            arrived = resolve;
        });
        const target = await startTarget(cleanup.add, () => arrived());
        const gate = await startGate(cleanup.add, { clock });
        gate.targetManager.announce(createAnnouncement(target));
        const openRequests = createOpenRequests(clock);
        const gateway = await startGateway(cleanup.add, { clock, targets: [createMember("a", gate.port)], openRequests });
        const headers = { host: HOST, "oleandergap-timeout-ms": "10000" };
        const request = sendHttpRequest({ port: gateway.port, headers });
        await running;
        openRequests.abortAll();
        const clientResponse = await request;
        expect(clientResponse.isComplete).to.equal(true);
        expect(clientResponse.headers["oleandergap-verdict"]).to.equal("mayHaveRun");
        expect(clientResponse.statusCode).to.equal(502);
    });

    it("refuses a request whose body is still arriving, instead of closing its connection without a response", async () => {
        const openRequests = createOpenRequests(clock);
        const gateway = await startGateway(cleanup.add, { clock, targets: [], openRequests });
        const request = http.request({
            port: gateway.port, host: LOOPBACK, method: "POST",
            headers: { host: HOST, "content-length": "1000", "oleandergap-timeout-ms": "10000" },
        });
        cleanup.add(() => request.destroy());
        request.on("error", () => undefined);
        request.write("the first part");
        await waitUntil(() => openRequests.list().length === 1);
        openRequests.abortAll();
        const [response] = await once(request, "response") as [http.IncomingMessage];
        expect(response.statusCode).to.equal(503);
        expect(response.headers).to.include({
            "oleandergap-verdict": "notRun", "oleandergap-reason": "Draining", connection: "close",
        });
        response.resume();
    });
});
