import net from "node:net";
import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import { createManualClock } from "oleandergap-utils";
import {
    sendHttpRequest,
    createAnnouncement,
    createCleanup,
    createRecordedClaims,
    createGateHeaders,
    LOOPBACK,
    type ReceivedResponse,
    startGate,
    startRawTarget,
    startTarget,
    TEST_LIMIT,
    waitUntil,
} from "./support.js";

describe("createGateHandler", () => {
    const cleanup = createCleanup();
    afterEach(() => cleanup.run());

    it("forwards the complete response with verdict, request id and load", async () => {
        const target = await startTarget(cleanup.add, (request, response) => {
            response.setHeader("x-path", request.url ?? "");
            response.end("filed");
        });
        const gate = await startGate(cleanup.add, { clock: createManualClock() });
        gate.targetManager.announce(createAnnouncement(target));

        const clientResponse = await sendHttpRequest({ port: gate.port, path: "/grants?id=7", headers: createGateHeaders() });

        expect(clientResponse.statusCode).to.equal(200);
        expect(clientResponse.body.toString()).to.equal("filed");
        expect(clientResponse.headers).to.include({
            "x-path": "/grants?id=7",
            "oleandergap-verdict": "ran",
            "oleandergap-request-id": "attempt-1",
            "oleandergap-load": "1,0,12,0",
        });
    });

    it("refuses requests for another service with 421 and notRun", async () => {
        let runs = 0;
        const target = await startTarget(cleanup.add, (_request, response) => {
            runs++;
            response.end();
        });
        const gate = await startGate(cleanup.add, { clock: createManualClock() });
        gate.targetManager.announce(createAnnouncement(target));

        const headers = createGateHeaders({ "oleandergap-service": "kushiro/grant-filer" });
        const clientResponse = await sendHttpRequest({ port: gate.port, headers });

        expect(clientResponse.statusCode).to.equal(421);
        expect(clientResponse.headers).to.include({ "oleandergap-verdict": "notRun", "oleandergap-reason": "NoTarget" });
        expect(runs).to.equal(0);
    });

    it("responds with notRun if no connection to the target can be opened", async () => {
        const closed = net.createServer();
        await new Promise<void>((resolve) => closed.listen(0, LOOPBACK, resolve));
        const port = (closed.address() as net.AddressInfo).port;
        await new Promise((resolve) => closed.close(resolve));
        const gate = await startGate(cleanup.add, { clock: createManualClock() });
        gate.targetManager.announce(createAnnouncement(port));

        const clientResponse = await sendHttpRequest({ port: gate.port, method: "POST", headers: createGateHeaders() });

        expect(clientResponse.statusCode).to.equal(503);
        expect(clientResponse.headers).to.include({ "oleandergap-verdict": "notRun", "oleandergap-reason": "ConnectFailed" });
        expect(gate.targetManager.current()?.gate.load().inFlight).to.equal(0);
    });

    it("forwards a target's refusal as notRun only if the target's response states notRun", async () => {
        const target = await startTarget(cleanup.add, (request, response) => {
            if (request.url === "/shed") {
                response.setHeader("oleandergap-verdict", "notRun");
                response.setHeader("retry-after", "2");
            }
            response.statusCode = 503;
            response.end("busy");
        });
        const gate = await startGate(cleanup.add, { clock: createManualClock() });
        gate.targetManager.announce(createAnnouncement(target));

        const shed = await sendHttpRequest({ port: gate.port, path: "/shed", headers: createGateHeaders() });
        const failed = await sendHttpRequest({ port: gate.port, path: "/fails", headers: createGateHeaders() });

        expect(shed.headers).to.include({
            "oleandergap-verdict": "notRun", "oleandergap-reason": "LimitReached", "retry-after-ms": "2000",
        });
        expect(failed.statusCode).to.equal(503);
        expect(failed.headers["oleandergap-verdict"]).to.equal("ran");
        expect(failed.headers["oleandergap-reason"]).to.equal(undefined);
    });

    // Guards against an incomplete response that looks complete. If the target crashes within the body and the gate
    // ends the response cleanly, the caller cannot detect the loss: a chunked response has no length, so only a broken
    // connection shows that it is incomplete.
    for (const framing of ["content-length", "chunked"]) {
        it(`closes the connection of a response (${framing}) if the target crashes within its body`, async () => {
            const target = await startTarget(cleanup.add, (_request, response) => {
                if (framing === "content-length") {
                    response.setHeader("content-length", "1000");
                }
                response.write("the first half");
                setImmediate(() => response.destroy());
            });
            const gate = await startGate(cleanup.add, { clock: createManualClock() });
            gate.targetManager.announce(createAnnouncement(target));

            const clientResponse = await sendHttpRequest({ port: gate.port, headers: createGateHeaders() })
                .catch(() => undefined);

            expect(clientResponse?.isComplete ?? false).to.equal(false);
            await waitUntil(() => gate.targetManager.current()?.gate.load().inFlight === 0);
        });
    }

    // Guards against delivering the response to another request, such as another family's file. A target that mixes up
    // two responses sends each with the id of the other request, so the gate must compare the ids.
    it("never delivers a response that has another request's id", async () => {
        const target = await startTarget(cleanup.add, (_request, response) => {
            response.setHeader("oleandergap-request-id", "somebody-else");
            response.end("another family's file");
        });
        const gate = await startGate(cleanup.add, { clock: createManualClock() });
        gate.targetManager.announce(createAnnouncement(target));

        const clientResponse = await sendHttpRequest({ port: gate.port, headers: createGateHeaders() });

        expect(clientResponse.statusCode).to.equal(502);
        expect(clientResponse.headers["oleandergap-verdict"]).to.equal("mayHaveRun");
        expect(clientResponse.body.toString()).not.to.include("family");
    });

    // Guards against delivering the response to the previous request. If a connection is reused after the deadline of a
    // request has passed during the exchange, the late response arrives on it.
    it("does not reuse a connection on which a request was aborted", async () => {
        const clock = createManualClock();
        const sockets = new Set<unknown>();
        const target = await startTarget(cleanup.add, (request, response) => {
            sockets.add(request.socket);
            if (request.url === "/late") {
                setTimeout(() => response.end("late answer"), 20);
                return;
            }
            response.end("own answer");
        });
        const gate = await startGate(cleanup.add, { clock });
        gate.targetManager.announce(createAnnouncement(target, { connections: 1 }));

        const late = sendHttpRequest({
            port: gate.port, method: "POST", path: "/late", headers: createGateHeaders({ "oleandergap-timeout-ms": "1000" }),
        });
        await waitUntil(() => sockets.size === 1);
        await clock.advance(1000);
        const given = await late;
        const next = await sendHttpRequest({ port: gate.port, headers: createGateHeaders({ "oleandergap-request-id": "attempt-2" }) });

        expect(given.headers["oleandergap-verdict"]).to.equal("mayHaveRun");
        expect(next.body.toString()).to.equal("own answer");
        expect(sockets.size).to.equal(2);
    });

    // Guards against slots that stay occupied after callers have disconnected. If the gate does not notice the
    // disconnect, it refuses requests although the target has capacity.
    it("releases the slot and cancels the request at the target when the caller disconnects", async () => {
        let cancelled = 0;
        let arrived = 0;
        const target = await startTarget(cleanup.add, (_request, response) => {
            arrived++;
            response.on("close", () => {
                cancelled++;
            });
        });
        const gate = await startGate(cleanup.add, { clock: createManualClock() });
        gate.targetManager.announce(createAnnouncement(target));
        const caller = new AbortController();

        const pending = sendHttpRequest({ port: gate.port, headers: createGateHeaders(), signal: caller.signal })
            .catch(() => undefined);
        await waitUntil(() => arrived === 1);
        expect(gate.targetManager.current()?.gate.load().inFlight).to.equal(1);
        caller.abort();
        await pending;

        await waitUntil(() => cancelled === 1);
        await waitUntil(() => gate.targetManager.current()?.gate.load().inFlight === 0);
    });

    it("runs a request with an idempotency key under a claim and stores its response", async () => {
        const target = await startTarget(cleanup.add, (_request, response) => {
            response.statusCode = 201;
            response.end("lodged");
        });
        const recordedClaims = createRecordedClaims();
        const gate = await startGate(cleanup.add, { clock: createManualClock(), claims: recordedClaims.claims });
        gate.targetManager.announce(createAnnouncement(target));

        const headers = createGateHeaders({ "idempotency-key": "lodgement-0001" });
        await sendHttpRequest({ port: gate.port, method: "POST", headers, body: "grant" });
        await sendHttpRequest({ port: gate.port, method: "GET", headers });

        expect(recordedClaims.events).to.deep.equal(["claim lodgement-0001", "complete 201 lodged"]);
    });

    // Guards against reporting "may have run" for requests that never ran during an outage of the platform. If a claim
    // may wait until the request's deadline, the gateway times out before the gate's refusal arrives.
    it("decides a claim early enough for its refusal to arrive, and leaves the whole time for the run", async () => {
        const timeouts: (string | undefined)[] = [];
        const target = await startTarget(cleanup.add, (request, response) => {
            timeouts.push(request.headers["oleandergap-timeout-ms"] as string | undefined);
            response.end("lodged");
        });
        const clock = createManualClock();
        const claimTimes: number[] = [];
        const recordedClaims = createRecordedClaims(({ deadline }) => {
            claimTimes.push(deadline - clock.monotonic());
            return undefined;
        });
        const gate = await startGate(cleanup.add, { clock, claims: recordedClaims.claims });
        gate.targetManager.announce(createAnnouncement(target));

        for (const timeout of ["2000", "80"]) {
            const headers = createGateHeaders({ "idempotency-key": "lodgement-0001", "oleandergap-timeout-ms": timeout });
            await sendHttpRequest({ port: gate.port, method: "POST", headers, body: "grant" });
        }

        expect(claimTimes).to.deep.equal([1900, 60]);
        expect(timeouts).to.deep.equal(["2000", "80"]);
    });

    it("leaves the claim open if the response is lost, and replays a stored response", async () => {
        const target = await startRawTarget(cleanup.add, (socket) => {
            socket.once("data", () => socket.destroy());
        });
        const recordedClaims = createRecordedClaims(({ key }) => key === "lodgement-0002" ?
            either.right({
                kind: "Replay", answer: { status: 201, headers: [["x-id", "5"]], body: Buffer.from("lodged") },
            }) :
            undefined);
        const gate = await startGate(cleanup.add, { clock: createManualClock(), claims: recordedClaims.claims });
        gate.targetManager.announce(createAnnouncement(target));
        const lodge = (key: string): Promise<ReceivedResponse> =>
            sendHttpRequest({ port: gate.port, method: "POST", headers: createGateHeaders({ "idempotency-key": key }), body: "grant" });

        const lost = await lodge("lodgement-0001");
        const repeat = await lodge("lodgement-0002");

        expect(lost.headers["oleandergap-verdict"]).to.equal("mayHaveRun");
        expect(recordedClaims.events).to.deep.equal(["claim lodgement-0001", "leaveOpen", "claim lodgement-0002"]);
        expect(repeat.statusCode).to.equal(201);
        expect(repeat.headers).to.include({ "x-id": "5", "idempotency-replayed": "true" });
        expect(repeat.body.toString()).to.equal("lodged");
    });

    // Guards against running a non-idempotent request twice. If the target crashes after the run but before it
    // responds, the gate must not treat the lost response as a request that never ran.
    it("never retries a non-idempotent request after its first byte was sent", async () => {
        let runs = 0;
        const target = await startRawTarget(cleanup.add, (socket) => {
            socket.once("data", () => {
                runs++;
                socket.destroy();
            });
        });
        const gate = await startGate(cleanup.add, { clock: createManualClock() });
        gate.targetManager.announce(createAnnouncement(target));

        const clientResponse = await sendHttpRequest({ port: gate.port, method: "POST", headers: createGateHeaders(), body: "sign" });

        expect(clientResponse.headers["oleandergap-verdict"]).to.equal("mayHaveRun");
        expect(runs).to.equal(1);
    });

    // Guards against requests that wait until their deadline although the target is healthy. A device in the network
    // path can drop the state of an open connection, after which requests on it get neither a response nor an error.
    it("retries on a new connection to the same target if the old one is unresponsive", async () => {
        const clock = createManualClock();
        let connections = 0;
        const connectionOfRequest: number[] = [];
        const target = await startRawTarget(cleanup.add, (socket) => {
            const connection = ++connections;
            socket.on("data", () => {
                connectionOfRequest.push(connection);
                const isForgotten = connection === 1 && connectionOfRequest.length > 1;
                if (!isForgotten) {
                    socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
                }
            });
        });
        const gate = await startGate(cleanup.add, { clock });
        gate.targetManager.announce(createAnnouncement(target));
        await sendHttpRequest({ port: gate.port, headers: createGateHeaders() });

        const pending = sendHttpRequest({ port: gate.port, headers: createGateHeaders() });
        await waitUntil(() => connectionOfRequest.length === 2);
        await clock.advance(1000);
        const clientResponse = await pending;

        expect(clientResponse.body.toString()).to.equal("ok");
        expect(connectionOfRequest).to.have.length(3);
        expect(connectionOfRequest.slice(0, 2)).to.deep.equal([1, 1]);
        expect(connectionOfRequest[2]).not.to.equal(1);
    });

    it("refuses immediately with a retry delay if the queue is full", async () => {
        const target = await startTarget(cleanup.add, () => undefined);
        const limit = { ...TEST_LIMIT, concurrency: 1, queue: 0 };
        const gate = await startGate(cleanup.add, { clock: createManualClock(), limit });
        gate.targetManager.announce(createAnnouncement(target));
        const caller = new AbortController();
        const pending = sendHttpRequest({ port: gate.port, headers: createGateHeaders(), signal: caller.signal })
            .catch(() => undefined);
        await waitUntil(() => gate.targetManager.current()?.gate.load().inFlight === 1);

        const clientResponse = await sendHttpRequest({ port: gate.port, headers: createGateHeaders() });
        caller.abort();
        await pending;

        expect(clientResponse.statusCode).to.equal(429);
        expect(clientResponse.headers["oleandergap-verdict"]).to.equal("notRun");
        expect(Number(clientResponse.headers["retry-after"])).to.be.greaterThan(0);
        expect(Number(clientResponse.headers["retry-after-ms"])).to.be.greaterThan(0);
    });
});
