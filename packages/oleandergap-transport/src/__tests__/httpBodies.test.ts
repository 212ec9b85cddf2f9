import http from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import { createManualClock } from "oleandergap-utils";
import { createCleanup, LOOPBACK, startTarget, waitUntil } from "./loopback.js";
import {
    createOutgoing,
    createPool,
    hasEnded,
    OK,
    OK_EVENTS,
    receive,
    send,
    startScriptedTarget,
} from "./transportSupport.js";

describe("bodies on HTTP connections", () => {
    const cleanup = createCleanup();

    afterEach(() => cleanup.run());

    it("does not use a connection again after HEAD or when the response came before the whole request", async () => {
        const target = await startScriptedTarget(cleanup.add, (socket, request) => {
            if (request.startsWith("HEAD") || request.includes("POST")) {
                socket.write(request.startsWith("HEAD") ? "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n" : OK);
            }
        });
        const pool = createPool(cleanup.add, target.port);
        expect(await receive(pool, { method: "HEAD" })).to.deep.equal(["sent", "head 200", "end"]);
        const endless = async function* (): AsyncGenerator<Buffer> {
            yield Buffer.from("part");
            await new Promise(() => undefined);
        };
        const upload = await receive(pool, { method: "POST", body: { kind: "Streamed", length: 100, chunks: endless } });
        expect(upload).to.deep.equal(OK_EVENTS);
        await waitUntil(() => target.sockets[1]?.destroyed === true);
        expect(target.sockets).to.have.lengthOf(2);
    });

    it("fails a response that is silent within its body, but not while the receiver pauses", async () => {
        const clock = createManualClock();
        const target = await startScriptedTarget(cleanup.add, (socket) => socket.write("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello"));
        const pool = createPool(cleanup.add, target.port, 1, clock);
        const sent = send(pool, { bodySilenceMs: 1000 });
        await waitUntil(() => sent.events.includes("data hello"));
        sent.control.pause();
        await clock.advance(5000);
        expect(hasEnded(sent)).to.equal(false);
        sent.control.resume();
        await clock.advance(900);
        expect(hasEnded(sent)).to.equal(false);
        await clock.advance(2000);
        await waitUntil(() => hasEnded(sent));
        expect(sent.events.at(-1)).to.equal("error");
    });

    for (const isPaused of [false, true]) {
        it(`fails a response that goes on beyond its deadline${isPaused ? ", also while the receiver pauses" : ""}`, async () => {
            const clock = createManualClock();
            const target = await startScriptedTarget(cleanup.add, (socket) => {
                socket.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n");
            });
            const pool = createPool(cleanup.add, target.port, 1, clock);
            const sent = send(pool, { bodySilenceMs: 1000, bodyDeadline: clock.monotonic() + 3000 });
            await waitUntil(() => sent.events.includes("data hello"));
            if (isPaused) {
                sent.control.pause();
            }
            for (let part = 0; part < 5; part++) {
                await clock.advance(500);
                target.sockets[0]?.write("1\r\n.\r\n");
                await waitUntil(() => isPaused || sent.events.includes(`data hello${".".repeat(part + 1)}`));
                expect(hasEnded(sent)).to.equal(false);
            }
            await clock.advance(600);
            await waitUntil(() => hasEnded(sent));
            expect(sent.events.at(-1)).to.equal("error");
            await waitUntil(() => target.sockets[0]?.destroyed === true);
        });
    }

    it("stops reading a response while it is paused, and goes on with the same connection", async () => {
        const size = 16 * 1024 * 1024;
        const port = await startTarget(cleanup.add, (request, response) =>
            response.end(request.url === "/large" ? Buffer.alloc(size, "a") : "ok"));
        const pool = createPool(cleanup.add, port, 1);
        let receivedBytes = 0;
        let isEnded = false;
        const control = pool.send(createOutgoing({ path: "/large" }), {
            onSent: () => undefined,
            onHead: () => undefined,
            onData: (chunk) => {
                receivedBytes += chunk.length;
                control.pause();
            },
            onEnd: () => {
                isEnded = true;
            },
            onError: () => undefined,
        });
        await waitUntil(() => receivedBytes > 0);
        const bytesBefore = receivedBytes;
        await new Promise((resolve) => setTimeout(resolve, 30));
        expect(receivedBytes).to.equal(bytesBefore);
        while (!isEnded) {
            control.resume();
            await new Promise((resolve) => setImmediate(resolve));
        }
        expect(receivedBytes).to.equal(size);
        expect(await receive(pool)).to.deep.equal(OK_EVENTS);
    });

    it("takes no more of a streamed body than the remote side reads", async () => {
        const chunkBytes = 64 * 1024;
        const target = await startScriptedTarget(cleanup.add, (socket) => socket.pause());
        let taken = 0;
        const chunks = async function* (): AsyncGenerator<Buffer> {
            for (;;) {
                taken += 1;
                yield Buffer.alloc(chunkBytes);
            }
        };
        const sent = send(createPool(cleanup.add, target.port), { method: "POST", body: { kind: "Streamed", length: undefined, chunks } });
        await waitUntil(() => sent.events.includes("sent"));
        let before = -1;
        while (before !== taken) {
            before = taken;
            await new Promise((resolve) => setTimeout(resolve, 50));
        }
        // What the sockets of both sides buffer on loopback.
        expect(taken * chunkBytes).to.be.lessThan(32 * 1024 * 1024);
        sent.control.abort();
    });

    it("sends bodies that are empty, buffered, of known and of unknown length", async () => {
        const received: string[] = [];
        const server = http.createServer((request, response) => {
            const parts: Buffer[] = [];
            request.on("data", (part: Buffer) => parts.push(part));
            request.on("end", () => {
                const { "content-length": length, "transfer-encoding": encoding } = request.headers;
                received.push(`${request.method} ${length} ${encoding} ${Buffer.concat(parts).toString().length}`);
                response.end();
            });
        });
        await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
        cleanup.add(() => server.close());
        const pool = createPool(cleanup.add, (server.address() as AddressInfo).port);
        const chunks = async function* (): AsyncGenerator<Buffer> {
            yield Buffer.from("one");
            yield Buffer.alloc(0);
            yield Buffer.from("two");
        };
        await receive(pool);
        await receive(pool, { method: "POST" });
        await receive(pool, { method: "POST", body: { kind: "Buffered", bytes: Buffer.from("hello") } });
        await receive(pool, { method: "PUT", body: { kind: "Buffered", bytes: Buffer.alloc(40_000, "a") } });
        await receive(pool, { method: "POST", body: { kind: "Streamed", length: 6, chunks } });
        await receive(pool, { method: "POST", body: { kind: "Streamed", length: undefined, chunks } });
        expect(received).to.deep.equal([
            "GET undefined undefined 0",
            "POST 0 undefined 0",
            "POST 5 undefined 5",
            "PUT 40000 undefined 40000",
            "POST 6 undefined 6",
            "POST undefined chunked 6",
        ]);
    });

    for (const length of [5, 7]) {
        it(`breaks a request off whose body of 6 bytes was declared with ${length}`, async () => {
            const target = await startScriptedTarget(cleanup.add, () => undefined);
            const chunks = async function* (): AsyncGenerator<Buffer> {
                yield Buffer.from("sixsix");
            };
            const events = await receive(createPool(cleanup.add, target.port), { method: "POST", body: { kind: "Streamed", length, chunks } });
            expect(events).to.deep.equal(["sent", "error"]);
            await waitUntil(() => target.sockets[0]?.destroyed === true);
        });
    }
});
