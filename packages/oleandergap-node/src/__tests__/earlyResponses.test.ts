import { expect } from "chai";
import { createManualClock, type ManualClock } from "oleandergap-utils";
import { createMember, HOST, startGateway } from "./gatewaySupport.js";
import { connectCaller, type PipeliningCaller } from "./pipeliningSupport.js";
import {
    createAnnouncement,
    createCleanup,
    createGateHeaders,
    startGate,
    startRawTarget,
    startTarget,
    waitUntil,
} from "./support.js";

const PARTS = 8;
const PART = Buffer.alloc(64 * 1024, "deed");
const BODY_BYTES = PARTS * PART.length;
const FINAL_STATUS_PATTERN = /HTTP\/1\.1 [2-5]\d\d/g;

/** How the size of a body is declared. */
type Framing = "a length" | "chunks";

const formatHead = (framing: Framing, headers: Readonly<Record<string, string>>): string => {
    const lines = Object.entries({
        ...headers,
        ...framing === "chunks" ? { "transfer-encoding": "chunked" } : { "content-length": String(BODY_BYTES) },
    });
    return `PUT /deeds HTTP/1.1\r\n${lines.map(([name, value]) => `${name}: ${value}\r\n`).join("")}\r\n`;
};

const writePart = ({ socket }: PipeliningCaller, framing: Framing): void => {
    if (framing === "a length") {
        socket.write(PART);
        return;
    }
    socket.write(`${PART.length.toString(16)}\r\n`);
    socket.write(PART);
    socket.write("\r\n");
};

const countResponses = (caller: PipeliningCaller): number => caller.received().match(FINAL_STATUS_PATTERN)?.length ?? 0;

/** Sends an upload whose response comes before its last parts, and the next request behind it. */
const sendUploadAndNext = async (
    caller: PipeliningCaller,
    framing: Framing,
    headers: Readonly<Record<string, string>>,
): Promise<void> => {
    caller.socket.write(formatHead(framing, headers));
    writePart(caller, framing);
    writePart(caller, framing);
    await waitUntil(() => countResponses(caller) === 1);
    for (let part = 2; part < PARTS; part++) {
        writePart(caller, framing);
    }
    if (framing === "chunks") {
        caller.socket.write("0\r\n\r\n");
    }
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    caller.socket.write(`GET /next HTTP/1.1\r\n${lines.join("")}\r\n`);
    await waitUntil(() => countResponses(caller) === 2 || caller.isClosed());
};

/** A way in which a gate ends an upload before it has arrived. */
interface EarlyEnd {
    readonly name: string;
    readonly statusCode: number;
    readonly verdict: string;
    readonly isAdmitted: boolean;
}

const EARLY_ENDS: readonly EarlyEnd[] = [
    { name: "answered", statusCode: 413, verdict: "ran", isAdmitted: true },
    { name: "answered without a sign of admission", statusCode: 200, verdict: "ran", isAdmitted: false },
    { name: "refused", statusCode: 503, verdict: "notRun", isAdmitted: false },
    { name: "refused after its admission", statusCode: 503, verdict: "notRun", isAdmitted: true },
];

describe("a request behind an upload that ends early", () => {
    const cleanup = createCleanup();
    let clock: ManualClock;

    beforeEach(() => {
        clock = createManualClock();
    });
    afterEach(() => cleanup.run());

    /** Starts a gate that responds to uploads before their bodies have arrived, and to other requests at once. */
    const startEarlyGate = ({ statusCode, verdict, isAdmitted }: EarlyEnd): Promise<number> =>
        startTarget(cleanup.add, (request, response) => {
            const isUpload = request.method === "PUT";
            request.on("error", () => undefined);
            if (isUpload && isAdmitted) {
                response.writeProcessing();
            }
            response.writeHead(isUpload ? statusCode : 200, {
                "oleandergap-request-id": String(request.headers["oleandergap-request-id"]),
                "oleandergap-verdict": isUpload ? verdict : "ran",
            });
            response.end("<early>");
        });

    for (const framing of ["a length", "chunks"] as const) {
        for (const early of EARLY_ENDS) {
            it(`is answered by the gateway when the upload with ${framing} was ${early.name}`, async () => {
                const gatePort = await startEarlyGate(early);
                const gateway = await startGateway(cleanup.add, { clock, targets: [createMember("a", gatePort)] });
                const caller = connectCaller(cleanup.add, gateway.port);
                await sendUploadAndNext(caller, framing, { host: HOST, "oleandergap-timeout-ms": "5000" });
                expect(countResponses(caller)).to.equal(2);
            });
        }

        it(`is answered by a gateway that refuses the upload with ${framing} before it reads it`, async () => {
            const gateway = await startGateway(cleanup.add, {
                clock,
                targets: [],
                closed: () => ({ reason: "NotReady", retryAfterMs: 100 }),
            });
            const caller = connectCaller(cleanup.add, gateway.port);
            await sendUploadAndNext(caller, framing, { host: HOST });
            expect(countResponses(caller)).to.equal(2);
        });

        it(`is answered by the gate when the target answered the upload with ${framing}`, async () => {
            const port = await startRawTarget(cleanup.add, (socket) => {
                socket.once("data", () =>
                    socket.write("HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n<early>"));
            });
            const gate = await startGate(cleanup.add, { clock });
            gate.targetManager.announce(createAnnouncement(port));
            const caller = connectCaller(cleanup.add, gate.port);
            await sendUploadAndNext(caller, framing, createGateHeaders());
            expect(countResponses(caller)).to.equal(2);
        });
    }

    it("is not awaited for ever when the rest of the upload does not come", async () => {
        const gatePort = await startEarlyGate({ name: "", statusCode: 413, verdict: "ran", isAdmitted: true });
        const gateway = await startGateway(cleanup.add, { clock, targets: [createMember("a", gatePort)] });
        const caller = connectCaller(cleanup.add, gateway.port);
        caller.socket.write(formatHead("a length", { host: HOST, "oleandergap-timeout-ms": "5000" }));
        writePart(caller, "a length");
        await waitUntil(() => countResponses(caller) === 1);
        for (let second = 0; second < 60 && !caller.isClosed(); second++) {
            await clock.advance(1000);
            await new Promise((resolve) => setTimeout(resolve, 2));
        }
        await waitUntil(caller.isClosed);
    });

    it("is not awaited when the upload goes on beyond the largest body", async () => {
        const gatePort = await startEarlyGate({ name: "", statusCode: 413, verdict: "ran", isAdmitted: true });
        const gateway = await startGateway(cleanup.add, {
            clock,
            targets: [createMember("a", gatePort)],
            maxBodyBytes: BODY_BYTES,
        });
        const caller = connectCaller(cleanup.add, gateway.port);
        caller.socket.write(formatHead("chunks", { host: HOST, "oleandergap-timeout-ms": "5000" }));
        while (!caller.isClosed()) {
            writePart(caller, "chunks");
            await new Promise((resolve) => setTimeout(resolve, 1));
        }
        expect(countResponses(caller)).to.equal(1);
    });
});
