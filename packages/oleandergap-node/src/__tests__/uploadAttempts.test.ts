import http, { type IncomingMessage, type ServerResponse } from "node:http";
import { expect } from "chai";
import { createManualClock } from "oleandergap-utils";
import { createMember, HOST, startGateway } from "./gatewaySupport.js";
import { createCleanup, LOOPBACK, startTarget, waitUntil } from "./support.js";

const GATE_TIMEOUT_MS = 500;
const PART_BYTES = 48 * 1024;
const PARTS = 8;

describe("an upload with two attempts at an unresponsive gate", () => {
    const cleanup = createCleanup();

    afterEach(() => cleanup.run());

    // Guards against two attempts that share the rest of one body, so that a part of it arrives as if it were complete.
    it("arrives completely or not at all when both attempts are admitted", async () => {
        const attempts: ServerResponse[] = [];
        const sizes: number[] = [];
        const port = await startTarget(cleanup.add, (request: IncomingMessage, response) => {
            attempts.push(response);
            let size = 0;
            request.on("error", () => undefined);
            request.on("data", (chunk: Buffer) => {
                size += chunk.length;
            });
            request.on("end", () => {
                sizes.push(size);
                response.setHeader("oleandergap-request-id", String(request.headers["oleandergap-request-id"]));
                response.setHeader("oleandergap-verdict", "ran");
                response.end("run");
            });
        });
        const clock = createManualClock();
        const gateway = await startGateway(cleanup.add, { clock, targets: [createMember("a", port)] });
        const upload = http.request({
            host: LOOPBACK,
            port: gateway.port,
            method: "PUT",
            headers: { host: HOST, "oleandergap-timeout-ms": "10000" },
            agent: false,
        });
        let isOver = false;
        upload.on("error", () => undefined);
        upload.on("close", () => {
            isOver = true;
        });
        upload.on("response", (response) => response.resume());
        for (let part = 0; part < 2; part++) {
            upload.write(Buffer.alloc(PART_BYTES));
        }
        await waitUntil(() => attempts.length === 1);
        await clock.advance(GATE_TIMEOUT_MS);
        await waitUntil(() => attempts.length === 2);
        attempts.forEach((response) => response.writeProcessing());
        for (let part = 2; part < PARTS; part++) {
            upload.write(Buffer.alloc(PART_BYTES));
            await new Promise<void>((resolve) => setTimeout(resolve, 5));
        }
        upload.end();
        await waitUntil(() => isOver || sizes.length > 0);
        expect(sizes.filter((size) => size !== PARTS * PART_BYTES)).to.deep.equal([]);
    });
});
