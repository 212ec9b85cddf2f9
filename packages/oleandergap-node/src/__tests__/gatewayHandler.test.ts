import { createHash } from "node:crypto";
import { expect } from "chai";
import type { Milliseconds, TableView } from "oleandergap-types";
import { createManualClock, createSystemClock } from "oleandergap-utils";
import { createMember, createRow, createView, HOST, startGateway } from "./gatewaySupport.js";
import {
    call,
    createAnnouncement,
    createCleanup,
    startGate,
    startRawTarget,
    startTarget,
    TEST_LIMIT,
    until,
} from "./support.js";

const LARGE_BODY_BYTES = 3 * 1024 * 1024;
const GATE_SILENCE_MS: Milliseconds = 500;

describe("createGatewayHandler", () => {
    const cleanup = createCleanup();
    afterEach(() => cleanup.run());

    it("forwards a request to the target and returns the complete response", async () => {
        const clock = createManualClock();
        const target = await startTarget(cleanup.add, (request, response) => {
            response.setHeader("x-seen-host", request.headers.host ?? "");
            response.setHeader("x-seen-timeout", request.headers["oleandergap-timeout-ms"] ?? "");
            request.pipe(response);
        });
        const gate = await startGate(cleanup.add, { clock });
        gate.keeper.announce(createAnnouncement(target));
        const gateway = await startGateway(cleanup.add, { clock, targets: [createMember("a", gate.port)] });

        const headers = { host: HOST, "oleandergap-request-id": "file-17", "oleandergap-timeout-ms": "800" };
        const answer = await call({ port: gateway.port, method: "PUT", headers, body: "codicil" });

        expect(answer.statusCode).to.equal(200);
        expect(answer.body.toString()).to.equal("codicil");
        expect(answer.headers).to.include({
            "x-seen-host": HOST,
            "x-seen-timeout": "800",
            "oleandergap-verdict": "ran",
            "oleandergap-version": "halloway:7",
            "oleandergap-request-id": "file-17",
        });
        expect(answer.headers["oleandergap-load"]).to.equal(undefined);
    });

    it("distinguishes unknown services, invalid hosts, invalid timeouts and missing targets", async () => {
        const gateway = await startGateway(cleanup.add, { clock: createManualClock(), targets: [] });
        const ask = (headers: Record<string, string>): ReturnType<typeof call> => call({ port: gateway.port, headers });

        const unknown = await ask({ host: "nothing.halloway" });
        const malformed = await ask({ host: "halloway" });
        const badTimeout = await ask({ host: HOST, "oleandergap-timeout-ms": "soon" });
        const noTarget = await ask({ host: HOST });

        expect([unknown, malformed, badTimeout, noTarget].map((answer) => answer.statusCode))
            .to.deep.equal([404, 400, 400, 503]);
        expect([unknown, malformed, badTimeout, noTarget].map((answer) => answer.headers["oleandergap-reason"]))
            .to.deep.equal(["UnknownService", "BadRequest", "BadRequest", "NoTarget"]);
        expect(Number(noTarget.headers["retry-after"])).to.be.greaterThan(0);
    });

    it("rejects a non-idempotent request without a key when the row requires a key", async () => {
        const clock = createManualClock();
        let runs = 0;
        const target = await startTarget(cleanup.add, (_request, response) => {
            runs++;
            response.end();
        });
        const gate = await startGate(cleanup.add, { clock });
        gate.keeper.announce(createAnnouncement(target));
        const row = createRow({ idempotency: "required" });
        const gateway = await startGateway(cleanup.add, { clock, row, targets: [createMember("a", gate.port)] });
        const lodge = (method: string, headers: Record<string, string>): ReturnType<typeof call> =>
            call({ port: gateway.port, method, headers: { host: HOST, ...headers } });

        const keyless = await lodge("POST", {});
        expect(keyless.statusCode).to.equal(400);
        expect(keyless.headers["oleandergap-verdict"]).to.equal("notRun");
        expect(runs).to.equal(0);

        expect((await lodge("POST", { "idempotency-key": "lodgement-0001" })).statusCode).to.equal(200);
        expect((await lodge("GET", {})).statusCode).to.equal(200);
    });

    // Guards against requests in flight that fail or reach a wrong service whenever an operator changes the table. A
    // change comes into force while a request is being handled, and the table is read a second time for the same
    // request.
    it("uses the table version in force at the start of a request until its end", async () => {
        const clock = createManualClock();
        let view: TableView = createView(createRow(), 7);
        let arrived = 0;
        const target = await startTarget(cleanup.add, (_request, response) => {
            arrived++;
            view = createView(createRow({ service: "deed-vault" }), 8);
            setImmediate(() => response.end("old version"));
        });
        const gate = await startGate(cleanup.add, { clock });
        gate.keeper.announce(createAnnouncement(target));
        const targets = [createMember("a", gate.port)];
        const gateway = await startGateway(cleanup.add, { clock, targets, view: () => view });

        const answer = await call({ port: gateway.port, headers: { host: HOST } });
        const next = await call({ port: gateway.port, headers: { host: HOST } });

        expect(answer.headers["oleandergap-version"]).to.equal("halloway:7");
        expect(next.headers["oleandergap-reason"]).to.equal("UnknownService");
        expect(arrived).to.equal(1);
    });

    // Guards against a non-idempotent request that runs twice. A gate receives the request and fails before it
    // responds. If the lost response was treated like a refusal, the gateway would send the request to another gate.
    it("does not retry a non-idempotent request once its first byte has been sent", async () => {
        const clock = createManualClock();
        let taken = 0;
        const dying = await startRawTarget(cleanup.add, (socket) => {
            socket.once("data", () => {
                taken++;
                socket.destroy();
            });
        });
        const targets = [createMember("a", dying), createMember("b", dying)];
        const gateway = await startGateway(cleanup.add, { clock, targets });

        const answer = await call({ port: gateway.port, method: "POST", headers: { host: HOST }, body: "grant" });

        expect(taken).to.equal(1);
        expect(answer.statusCode).to.equal(502);
        expect(answer.headers["oleandergap-verdict"]).to.equal("mayHaveRun");
    });

    it("retries an idempotent request at another target after a lost response", async () => {
        const clock = createManualClock();
        const dying = await startRawTarget(cleanup.add, (socket) => {
            socket.once("data", () => socket.destroy());
        });
        const target = await startTarget(cleanup.add, (_request, response) => response.end("file"));
        const gate = await startGate(cleanup.add, { clock });
        gate.keeper.announce(createAnnouncement(target));
        const targets = [createMember("a", dying), createMember("b", gate.port)];
        const gateway = await startGateway(cleanup.add, { clock, targets });

        const ask = (): ReturnType<typeof call> => call({ port: gateway.port, headers: { host: HOST } });
        const answers = await Promise.all([ask(), ask(), ask(), ask()]);

        expect(answers.map((answer) => answer.body.toString())).to.deep.equal(["file", "file", "file", "file"]);
        expect(answers.some((answer) => answer.headers["oleandergap-retry"] === "no")).to.equal(true);
    });

    // Guards against an upload that fails although another target has capacity for it. If the body is sent before the
    // gate has admitted the request, its first part is lost when the gate refuses it.
    it("retries a large upload at another gate when the first gate refuses it", async () => {
        const clock = createSystemClock();
        const full = await startGate(cleanup.add, { clock, limit: { ...TEST_LIMIT, concurrency: 1, queue: 0 } });
        const busy = await startTarget(cleanup.add, () => undefined);
        full.keeper.announce(createAnnouncement(busy));
        let received = "";
        const target = await startTarget(cleanup.add, (request, response) => {
            const hash = createHash("sha256");
            request.on("data", (chunk: Buffer) => hash.update(chunk));
            request.on("end", () => {
                received = hash.digest("hex");
                response.end();
            });
        });
        const free = await startGate(cleanup.add, { clock });
        free.keeper.announce(createAnnouncement(target));
        const occupied = full.serve({
            service: { partner: "halloway", service: "grant-filer" },
            caller: { partner: "halloway", service: "grant-filer" },
            method: "GET", path: "/", headers: [], host: HOST, body: { kind: "Empty" }, idempotent: true, priority: 0, kind: "",
            isSuspect: false,
            idempotencyKey: undefined, requestId: "occupies", deadline: clock.monotonic() + 60_000, objective: undefined,
            signal: new AbortController().signal, onAdmitted: () => undefined,
        });
        void occupied;
        const targets = [createMember("a", full.port), createMember("b", free.port)];
        const gateway = await startGateway(cleanup.add, { clock, targets });
        const upload = Buffer.alloc(LARGE_BODY_BYTES, "deed");

        for (let round = 0; round < 4; round++) {
            received = "";
            const answer = await call({ port: gateway.port, method: "POST", headers: { host: HOST }, body: upload });
            expect(answer.statusCode).to.equal(200);
            expect(received).to.equal(createHash("sha256").update(upload).digest("hex"));
        }
    });

    // Guards against half a document that is delivered as the complete document. The target's node fails within a
    // response, and the end of the connection is treated as the end of the body.
    it("visibly cuts a response off when the gate fails in the middle of it", async () => {
        const gate = await startRawTarget(cleanup.add, (socket) => {
            socket.once("data", (data) => {
                const id = /oleandergap-request-id: (\S+)/.exec(data.toString())?.[1] ?? "";
                const head = `HTTP/1.1 200 OK\r\noleandergap-request-id: ${id}\r\ntransfer-encoding: chunked\r\n\r\n`;
                socket.write(`${head}5\r\nfirst\r\n`);
                setImmediate(() => socket.destroy());
            });
        });
        const clock = createManualClock();
        const gateway = await startGateway(cleanup.add, { clock, targets: [createMember("a", gate)] });

        const answer = await call({ port: gateway.port, headers: { host: HOST } }).catch(() => undefined);

        expect(answer?.whole ?? false).to.equal(false);
    });

    // Guards against a caller that receives the response to another request. A response without an id, or with another
    // id, arrives on the connection to a gate and is treated as the response to the current request.
    it("discards a response of a gate that does not contain the attempt's id", async () => {
        for (const id of ["", "oleandergap-request-id: another\r\n"]) {
            const gate = await startRawTarget(cleanup.add, (socket) => {
                socket.on("data", () => socket.write(`HTTP/1.1 200 OK\r\n${id}content-length: 7\r\n\r\nkitchen`));
            });
            const clock = createManualClock();
            const gateway = await startGateway(cleanup.add, { clock, targets: [createMember("a", gate)] });

            const answer = await call({ port: gateway.port, headers: { host: HOST } });

            expect(answer.statusCode).to.equal(502);
            expect(answer.body.toString()).not.to.include("kitchen");
        }
    });

    // Guards against a healthy target that appears to have failed because of one silent connection. Requests on that
    // connection get neither a response nor an error and wait for their deadlines, and the silence of the connection is
    // attributed to the target.
    it("replaces a silent connection to a gate and does not count it as a failure of the gate", async () => {
        const clock = createManualClock();
        let connections = 0;
        let requests = 0;
        const silentOnce = await startRawTarget(cleanup.add, (socket) => {
            const isSilent = ++connections === 1;
            socket.on("data", (data) => {
                requests++;
                const id = /oleandergap-request-id: (\S+)/.exec(data.toString())?.[1] ?? "";
                if (!isSilent) {
                    socket.write(`HTTP/1.1 200 OK\r\noleandergap-request-id: ${id}\r\ncontent-length: 2\r\n\r\nok`);
                }
            });
        });
        const gateway = await startGateway(cleanup.add, { clock, targets: [createMember("a", silentOnce)] });

        const pending = call({ port: gateway.port, headers: { host: HOST } });
        await until(() => requests === 1);
        await clock.advance(GATE_SILENCE_MS);
        const answer = await pending;

        expect(answer.body.toString()).to.equal("ok");
        expect(answer.headers["oleandergap-retry"]).to.equal(undefined);
    });

    // Guards against requests that are still sent to a frozen node for seconds. A gate accepts requests and sends no
    // heartbeat, and one request reaches the silence timeout. If only that request uses this result, writes end with
    // mayHaveRun, and reads wait twice the timeout.
    it("sends no further requests to a gate after one silence, and delays no second read for it", async () => {
        const clock = createManualClock();
        let taken = 0;
        let served = 0;
        const frozen = await startRawTarget(cleanup.add, (socket) => {
            socket.on("data", () => taken++);
        });
        const target = await startTarget(cleanup.add, (_request, response) => {
            served++;
            response.end("file");
        });
        const gate = await startGate(cleanup.add, { clock });
        gate.keeper.announce(createAnnouncement(target));
        const targets = [createMember("a", frozen), createMember("b", gate.port)];
        const gateway = await startGateway(cleanup.add, { clock, targets });
        const ask = (count: number, method: string): ReturnType<typeof call>[] =>
            Array.from({ length: count }, () => call({ port: gateway.port, method, headers: { host: HOST } }));

        ask(4, "POST").forEach((lodgement) => void lodgement.catch(() => undefined));
        await until(() => taken + served === 4);
        const reads = ask(8, "GET");
        await until(() => taken + served === 12);
        const takenBefore = taken;
        await clock.advance(GATE_SILENCE_MS);
        const answers = await Promise.all([...reads, ...ask(10, "POST")]);

        expect(takenBefore).to.be.at.least(2);
        expect(answers.map(({ statusCode }) => statusCode)).to.deep.equal(answers.map(() => 200));
        expect(taken).to.equal(takenBefore);
    });

    it("does not treat a slow target as a silent connection", async () => {
        const clock = createManualClock();
        let runs = 0;
        let finish: () => void = () => undefined;
        const target = await startTarget(cleanup.add, (_request, response) => {
            runs++;
            finish = () => response.end("slow");
        });
        const gate = await startGate(cleanup.add, { clock });
        gate.keeper.announce(createAnnouncement(target));
        const gateway = await startGateway(cleanup.add, { clock, targets: [createMember("a", gate.port)] });

        const pending = call({ port: gateway.port, headers: { host: HOST } });
        await until(() => runs === 1);
        for (let step = 0; step < 30; step++) {
            await clock.advance(100);
            // The heartbeats are sent over real sockets.
            await new Promise((resolve) => setTimeout(resolve, 5));
        }
        finish();

        expect((await pending).body.toString()).to.equal("slow");
        expect(runs).to.equal(1);
    });

    it("responds at the deadline with 504, and with mayHaveRun once the request was sent", async () => {
        const clock = createManualClock();
        let arrived = 0;
        const target = await startTarget(cleanup.add, () => {
            arrived++;
        });
        const gate = await startGate(cleanup.add, { clock });
        gate.keeper.announce(createAnnouncement(target));
        const gateway = await startGateway(cleanup.add, { clock, targets: [createMember("a", gate.port)] });

        const headers = { host: HOST, "oleandergap-timeout-ms": "300" };
        const pending = call({ port: gateway.port, method: "POST", headers, body: "grant" });
        await until(() => arrived === 1);
        await clock.advance(300);
        const answer = await pending;

        expect(answer.statusCode).to.equal(504);
        expect(answer.headers["oleandergap-verdict"]).to.equal("mayHaveRun");
        await until(() => gate.keeper.current()?.gate.load().inFlight === 0);
    });
});
