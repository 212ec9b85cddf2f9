import { createHash } from "node:crypto";
import http from "node:http";
import { expect } from "chai";
import { createManualClock } from "oleandergap-utils";
import {
    sendHttpRequest,
    createAnnouncement,
    createCleanup,
    createGateHeaders,
    LOOPBACK,
    startGate,
    startRawTarget,
    startTarget,
    waitUntil,
} from "./support.js";

const LARGE_BODY_BYTES = 3 * 1024 * 1024;

/** Number of consecutive equal readings, and their interval; data in flight on loopback arrives far faster. */
const STEADY_READINGS = 20;
const READING_INTERVAL_MS = 10;

/** Returns the value of `read` once it has stopped changing. */
const waitUntilSteady = async (read: () => number): Promise<number> => {
    let last = read();
    for (let equal = 0; equal < STEADY_READINGS;) {
        await new Promise((resolve) => setTimeout(resolve, READING_INTERVAL_MS));
        const next = read();
        equal = next === last ? equal + 1 : 0;
        last = next;
    }
    return last;
};

describe("receiveBody", () => {
    const cleanup = createCleanup();
    afterEach(() => cleanup.run());

    // Guards against a few uploads that exhaust the node's memory. The target reads slowly, and the node continues to
    // read from the caller more than it can forward.
    it("streams a large upload with bounded memory while the target reads slowly", async () => {
        let received = 0;
        const hash = createHash("sha256");
        let release: () => void = () => undefined;
        const released = new Promise<void>((resolve) => {
            release = resolve;
        });
        const target = await startTarget(cleanup.add, (request, response) => {
            void released.then(() => {
                request.on("data", (chunk: Buffer) => {
                    received += chunk.length;
                    hash.update(chunk);
                });
                request.on("end", () => response.end(String(received)));
            });
        });
        const gate = await startGate(cleanup.add, { clock: createManualClock() });
        gate.targetManager.announce(createAnnouncement(target));
        const upload = Buffer.alloc(LARGE_BODY_BYTES * 10, "deed");

        const request = http.request({
            host: LOOPBACK, port: gate.port, method: "PUT", headers: createGateHeaders(), agent: false,
        });
        const responseText = new Promise<string>((resolve) => request.on("response", (response) => {
            let text = "";
            response.on("data", (chunk: Buffer) => {
                text += chunk.toString();
            });
            response.on("end", () => resolve(text));
        }));
        request.end(upload);
        await waitUntil(() => gate.targetManager.current()?.gate.load().inFlight === 1);
        const heldBack = await waitUntilSteady(() => request.socket?.writableLength ?? 0);
        release();

        expect(await responseText).to.equal(String(upload.length));
        expect(heldBack, "bytes that the caller could not send yet").to.be.greaterThan(LARGE_BODY_BYTES);
        expect(hash.digest("hex")).to.equal(createHash("sha256").update(upload).digest("hex"));
    });

    // Guards against an upload that is lost without an error. The target fails while an upload is streamed. The failure
    // of the connection to the target must reach the caller; otherwise the gate responds as if the body had arrived, or
    // not at all.
    it("reports an error to the caller when the target fails in the middle of an upload", async () => {
        const target = await startRawTarget(cleanup.add, (socket) => {
            socket.once("data", () => setTimeout(() => socket.destroy(), 10));
        });
        const gate = await startGate(cleanup.add, { clock: createManualClock() });
        gate.targetManager.announce(createAnnouncement(target));

        const clientResponse = await sendHttpRequest({
            port: gate.port, method: "PUT", headers: createGateHeaders(), body: Buffer.alloc(LARGE_BODY_BYTES),
        }).catch(() => undefined);

        expect(clientResponse === undefined || clientResponse.headers["oleandergap-verdict"] === "mayHaveRun").to.equal(true);
        await waitUntil(() => gate.targetManager.current()?.gate.load().inFlight === 0);
    });
});
