import { spawn } from "node:child_process";
import { once } from "node:events";
import { expect } from "chai";
import { createManualClock } from "oleandergap-utils";
import { createCleanup, LOOPBACK, reservePorts, startTarget, waitUntil } from "./loopback.js";
import { createPool, hasEnded, OK, OK_EVENTS, receive, send, startScriptedTarget } from "./transportSupport.js";

/** Number of bytes that the runtime reads from a connection at once. */
const READ_BYTES = 64 * 1024;

describe("createHttpPool", () => {
    const cleanup = createCleanup();

    afterEach(() => cleanup.run());

    it("uses a connection again after a complete response", async () => {
        const target = await startScriptedTarget(cleanup.add, (socket) => socket.write(OK));
        const pool = createPool(cleanup.add, target.port);
        for (let round = 0; round < 3; round++) {
            expect(await receive(pool)).to.deep.equal(OK_EVENTS);
        }
        expect(target.sockets).to.have.lengthOf(1);
        expect(pool.isUnused()).to.equal(true);
    });

    // Bytes that belong to no request could be read as the response to the next one.
    for (const [name, late] of [["immediately", false], ["while the connection is idle", true]] as const) {
        it(`never uses a connection again on which bytes came ${name} after a response`, async () => {
            const target = await startScriptedTarget(cleanup.add, (socket, _request, count) => {
                const extra = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong";
                socket.write(late || count > 1 ? OK : OK + extra);
                if (late) {
                    setTimeout(() => socket.write("x"), 20);
                }
            });
            const pool = createPool(cleanup.add, target.port);
            expect(await receive(pool)).to.deep.equal(OK_EVENTS);
            await waitUntil(() => target.sockets[0]?.destroyed === true);
            expect(await receive(pool)).to.deep.equal(OK_EVENTS);
            expect(target.sockets).to.have.lengthOf(2);
        });
    }

    it("does not give a waiting request a connection on which more bytes follow the response", async () => {
        // The response fills exactly what is read at once, so that the bytes after it are read separately.
        const head = "HTTP/1.1 200 OK\r\ncontent-length: 65494\r\n\r\n";
        const body = "a".repeat(READ_BYTES - head.length);
        expect(body).to.have.lengthOf(65_494);
        const target = await startScriptedTarget(cleanup.add, (socket) =>
            socket.write(`${head}${body}HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong`));
        const pool = createPool(cleanup.add, target.port, 1);
        const first = send(pool);
        const second = send(pool);
        await waitUntil(() => hasEnded(first) && hasEnded(second));
        expect(second.events.join(" ")).not.to.include("wrong");
        expect(target.sockets).to.have.lengthOf(2);
    });

    for (const [name, head] of [
        ["closes", "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok"],
        ["answers in HTTP/1.0", "HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok"],
        ["closes idle connections too early", "HTTP/1.1 200 OK\r\nkeep-alive: timeout=2\r\ncontent-length: 2\r\n\r\nok"],
    ] as const) {
        it(`does not use a connection again if the remote side ${name}`, async () => {
            const target = await startScriptedTarget(cleanup.add, (socket) => socket.write(head));
            const pool = createPool(cleanup.add, target.port);
            await receive(pool);
            await receive(pool);
            expect(target.sockets).to.have.lengthOf(2);
        });
    }

    it("keeps at most as many connections as allowed, and lets further requests wait in their order", async () => {
        const order: string[] = [];
        let running = 0;
        let maxRunning = 0;
        const port = await startTarget(cleanup.add, (request, response) => {
            order.push(request.url ?? "");
            running += 1;
            maxRunning = Math.max(maxRunning, running);
            setTimeout(() => {
                running -= 1;
                response.end("ok");
            }, 5);
        });
        const pool = createPool(cleanup.add, port, 1);
        const paths = Array.from({ length: 6 }, (_, index) => `/${index}`);
        await Promise.all(paths.map((path) => receive(pool, { path })));
        expect(order).to.deep.equal(paths);
        expect(maxRunning).to.equal(1);
        pool.limitConnections(3);
        await Promise.all(paths.map((path) => receive(pool, { path })));
        expect(maxRunning).to.equal(3);
    });

    it("sends nothing of a request that is aborted while it waits", async () => {
        const target = await startScriptedTarget(cleanup.add, (socket, request) => {
            if (!request.includes("/slow")) {
                socket.write(OK);
            }
        });
        const pool = createPool(cleanup.add, target.port, 1);
        const slow = send(pool, { path: "/slow" });
        const aborted = send(pool, { path: "/aborted" });
        const next = send(pool);
        aborted.control.abort();
        await waitUntil(() => slow.events.includes("sent"));
        slow.control.abort();
        await waitUntil(() => hasEnded(next));
        expect(aborted.events).to.deep.equal([]);
        expect(slow.events).to.deep.equal(["sent"]);
        expect(next.events).to.deep.equal(OK_EVENTS);
        expect(target.sockets).to.have.lengthOf(2);
    });

    it("sends nothing of a request that may no longer be sent when its connection is open", async () => {
        const target = await startScriptedTarget(cleanup.add, (socket) => socket.write(OK));
        const pool = createPool(cleanup.add, target.port);
        let mayStart = true;
        const withheld = send(pool, { path: "/withheld", mayStart: () => mayStart });
        mayStart = false;
        await waitUntil(() => hasEnded(withheld));
        expect(withheld.events).to.deep.equal(["error"]);
        expect(await receive(pool)).to.deep.equal(OK_EVENTS);
        expect(target.sockets).to.have.lengthOf(1);
    });

    it("sends nothing of a request that may no longer be sent when another one has ended", async () => {
        const target = await startScriptedTarget(cleanup.add, (socket, request) => {
            if (!request.includes("/slow")) {
                socket.write(OK);
            }
        });
        const pool = createPool(cleanup.add, target.port, 1);
        let mayStart = true;
        const slow = send(pool, { path: "/slow" });
        const withheld = send(pool, { path: "/withheld", mayStart: () => mayStart });
        const next = send(pool);
        await waitUntil(() => slow.events.includes("sent"));
        mayStart = false;
        slow.control.abort();
        await waitUntil(() => hasEnded(next));
        expect(withheld.events).to.deep.equal(["error"]);
        expect(next.events).to.deep.equal(OK_EVENTS);
    });

    it("reports a refused connection without having sent the request", async () => {
        const [port = 0] = await reservePorts(1);
        expect(await receive(createPool(cleanup.add, port))).to.deep.equal(["error"]);
    });

    it("gives a request a new connection if an idle one was reset before", async () => {
        const target = await startScriptedTarget(cleanup.add, (socket) => socket.write(OK));
        const pool = createPool(cleanup.add, target.port);
        await receive(pool);
        target.sockets[0]?.resetAndDestroy();
        await new Promise((resolve) => setTimeout(resolve, 20));
        expect(await receive(pool)).to.deep.equal(OK_EVENTS);
    });

    it("fails a request whose response is malformed, and ends its connection", async () => {
        const target = await startScriptedTarget(cleanup.add, (socket) =>
            socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok"));
        expect(await receive(createPool(cleanup.add, target.port))).to.deep.equal(["sent", "error"]);
        await waitUntil(() => target.sockets[0]?.destroyed === true);
    });

    it("ends requests in flight on old connections when connections are replaced, and sends waiting ones on new ones", async () => {
        const target = await startScriptedTarget(cleanup.add, (socket, request) => {
            if (!request.includes("/slow")) {
                socket.write(OK);
            }
        });
        const pool = createPool(cleanup.add, target.port, 1);
        const slow = send(pool, { path: "/slow" });
        await waitUntil(() => target.sockets.length === 1 && slow.events.includes("sent"));
        const waiting = send(pool);
        pool.replaceConnections();
        await waitUntil(() => hasEnded(waiting));
        expect(waiting.events.at(-1)).to.equal("end");
        expect(target.sockets).to.have.lengthOf(2);
        target.sockets[0]?.write(OK);
        await waitUntil(() => hasEnded(slow));
        expect(slow.events).to.deep.equal(OK_EVENTS);
        await waitUntil(() => target.sockets[0]?.destroyed === true);
    });

    it("does not use a connection that was idle for too long", async () => {
        const clock = createManualClock();
        const target = await startScriptedTarget(cleanup.add, (socket) =>
            socket.write("HTTP/1.1 200 OK\r\nkeep-alive: timeout=5\r\ncontent-length: 2\r\n\r\nok"));
        const pool = createPool(cleanup.add, target.port, 4, clock);
        await receive(pool);
        await clock.advance(2900);
        await receive(pool);
        expect(target.sockets).to.have.lengthOf(1);
        await clock.advance(3000);
        await receive(pool);
        expect(target.sockets).to.have.lengthOf(2);
        await clock.advance(3000);
        pool.sweep();
        await waitUntil(() => target.sockets.every(({ destroyed }) => destroyed));
    });

    it("closes idle connections without further requests", async () => {
        const clock = createManualClock();
        const target = await startScriptedTarget(cleanup.add, (socket) => socket.write(OK));
        await receive(createPool(cleanup.add, target.port, 4, clock));
        await clock.advance(8000);
        await waitUntil(() => target.sockets[0]?.destroyed === true);
    });

    it("does not keep a process alive by an idle connection", async () => {
        const target = await startScriptedTarget(cleanup.add, (socket) => socket.write(OK));
        const program = `
            import { createConnector, createHttpPool } from "${new URL("../index.js", import.meta.url).href}";
            const clock = { monotonic: () => performance.now(), after: (delay, callback) => {
                const timer = setTimeout(callback, delay).unref();
                return () => clearTimeout(timer);
            } };
            const connect = createConnector({ clock, timeoutMs: 500 });
            const pool = createHttpPool({ clock, connect, address: "${LOOPBACK}", port: ${target.port}, idleMs: 60_000 });
            const noop = () => undefined;
            pool.send(
                {
                    method: "GET",
                    path: "/",
                    headers: ["host", "x"],
                    body: { kind: "Empty" },
                    bodySilenceMs: 1000,
                    bodyDeadline: Infinity,
                },
                { onSent: noop, onHead: noop, onData: noop, onEnd: () => process.stdout.write("end"), onError: noop },
            );
        `;
        const child = spawn(process.execPath, ["--input-type=module", "--eval", program]);
        let output = "";
        child.stdout.on("data", (data: Buffer) => {
            output += data.toString();
        });
        await once(child, "exit");
        expect([child.exitCode, output]).to.deep.equal([0, "end"]);
    });

    it("refuses to write a request that would break its framing", async () => {
        const pool = createPool(cleanup.add, 9);
        expect(() => send(pool, { headers: ["x", "a\r\nb: c"] })).to.throw();
        expect(() => send(pool, { headers: ["x\r\ny", "a"] })).to.throw();
        expect(() => send(pool, { path: "/a b" })).to.throw();
        expect(() => send(pool, { path: "/\r\n" })).to.throw();
        expect(() => send(pool, { method: "GET /x" })).to.throw();
    });

    it("fails all requests when it is destroyed", async () => {
        const target = await startScriptedTarget(cleanup.add, () => undefined);
        const pool = createPool(cleanup.add, target.port, 1);
        const running = send(pool);
        const waiting = send(pool);
        await waitUntil(() => running.events.includes("sent"));
        pool.destroy();
        expect(running.events).to.deep.equal(["sent", "error"]);
        expect(waiting.events).to.deep.equal(["error"]);
    });
});
