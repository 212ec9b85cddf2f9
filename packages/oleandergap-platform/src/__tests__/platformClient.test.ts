import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { PlatformError, TableOperation } from "oleandergap-types";
import { createManualClock, createTokenBucket, type ManualClock } from "oleandergap-utils";
import { createEraWatch } from "../eraWatch.js";
import { platformOptionsSchema } from "../options.js";
import { createPlatformClient, type PlatformClient } from "../platformClient.js";
import { ERA_HEADER } from "../wire.js";
import {
    createJsonHandler,
    ignoreRequest,
    startWireServer,
    type RequestHandler,
    type WireServer,
} from "./wireServer.js";

const TIMEOUT_MS = 500;
const MAXIMUM_ANSWER_BYTES = 4096;
const signal = new AbortController().signal;
const operations: readonly TableOperation[] = [{ kind: "Put", key: "a", condition: { kind: "Any" }, value: 1 }];

const getResultKind = (result: Either<PlatformError, unknown>): string =>
    either.isLeft(result) ? result.left.kind : "Right";

describe("createPlatformClient", () => {
    let server: WireServer;
    let clock: ManualClock;
    let shutdown: AbortController;
    let client: PlatformClient;

    const createClient = (port: number, ratePerSecond?: number): PlatformClient => createPlatformClient({
        ...platformOptionsSchema.parse({
            address: "127.0.0.1",
            port,
            timeoutMs: TIMEOUT_MS,
            maximumAnswerBytes: MAXIMUM_ANSWER_BYTES,
        }),
        clock,
        signal: shutdown.signal,
        ...ratePerSecond === undefined ?
            {} :
            { readBudget: createTokenBucket({ clock, ratePerSecond: () => ratePerSecond, burst: 1 }) },
    });

    beforeEach(async () => {
        server = await startWireServer();
        clock = createManualClock();
        shutdown = new AbortController();
        client = createClient(server.port);
    });

    afterEach(async () => {
        shutdown.abort();
        await server.close();
    });

    it("returns rows, transaction results and objects as sent by the server", async () => {
        const row = { key: "a", version: { era: 0, version: 2 }, value: { deep: [1] } };
        server.respondWith(createJsonHandler({ rows: [row] }));
        expect(await client.tableService.read(["a"], signal)()).to.deep.equal(either.right([row]));
        server.respondWith(createJsonHandler({ kind: "ConditionFailed", keys: ["a"] }));
        expect(await client.tableService.transact(operations, signal)())
            .to.deep.equal(either.right({ kind: "ConditionFailed", keys: ["a"] }));
        server.respondWith((request, response) => {
            response.writeHead(request.url === "/objects/x/y%20z" ? 200 : 404).end("bytes");
        });
        const found = await client.objectStore.get("x/y z", signal)();
        expect(either.isRight(found) && Buffer.from(found.right ?? []).toString()).to.equal("bytes");
        expect(await client.objectStore.get("x/other", signal)()).to.deep.equal(either.right(undefined));
    });

    const sendTruncatedBody: RequestHandler = (_request, response) => {
        response.writeHead(200, { "content-length": "100" });
        response.write("{\"rows\":[");
        setImmediate(() => response.destroy());
    };
    const sendUndelimitedBody: RequestHandler = (_request, response) => {
        response.socket?.end("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{\"kind\":\"Committed\"}");
    };
    const closeConnection: RequestHandler = (_request, response) => {
        response.destroy();
    };
    const sendOversizedBody = createJsonHandler({ kind: "Committed", padding: "x".repeat(MAXIMUM_ANSWER_BYTES) });

    // Failure: a change is reported as not applied although the platform has committed it, when the response is
    // truncated, unreadable, too long or missing. Without a complete, valid response the outcome of a write is unknown.
    const unusableResponses: readonly (readonly [string, RequestHandler])[] = [
        ["a truncated response", sendTruncatedBody],
        ["a response that does not declare where its body ends", sendUndelimitedBody],
        ["a closed connection", closeConnection],
        ["a response over the size limit", sendOversizedBody],
        ["a response that is not JSON", (_request, response) => response.end("oops")],
        ["a response that does not match the schema", createJsonHandler({ kind: "Committed", extra: 1 })],
        ["status 500", createJsonHandler({}, 500)],
        ["status 404 for a transaction", createJsonHandler({}, 404)],
    ];
    for (const [name, handleRequest] of unusableResponses) {
        it(`reports an unknown outcome of a write and the failure of a read after ${name}`, async () => {
            server.respondWith(handleRequest);
            expect(getResultKind(await client.tableService.transact(operations, signal)())).to.equal("OutcomeUnknown");
            expect(getResultKind(await client.tableService.read(["a"], signal)())).to.equal("Unavailable");
        });
    }

    for (const status of [503, 429, 400]) {
        it(`treats status ${status} as a rejection without effect`, async () => {
            server.respondWith(createJsonHandler({}, status));
            expect(getResultKind(await client.tableService.transact(operations, signal)())).to.equal("Unavailable");
        });
    }

    it("treats a refused connection as a call without effect", async () => {
        await server.close();
        expect(getResultKind(await client.tableService.transact(operations, signal)())).to.equal("Unavailable");
        server = await startWireServer();
    });

    it("treats a response of an earlier era as missing and returns the newest era", async () => {
        const lines: string[] = [];
        const recordLine = (line: string): void => {
            lines.push(line);
        };
        const eras = {
            watch: createEraWatch({ debug: recordLine, info: recordLine, warn: recordLine, error: recordLine }),
            header: ERA_HEADER,
        };
        const eraTrackingClient = createPlatformClient({
            ...platformOptionsSchema.parse({ address: "127.0.0.1", port: server.port, timeoutMs: TIMEOUT_MS }),
            clock,
            signal: shutdown.signal,
            eras,
        });
        const respondInEra = (era: number | readonly string[], value: unknown): void => {
            server.respondWith((_request, response) => {
                response.setHeader(ERA_HEADER, era);
                response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(value));
            });
        };
        respondInEra(4, { rows: [] });
        expect(getResultKind(await eraTrackingClient.tableService.read(["a"], signal)())).to.equal("Right");
        respondInEra(3, { rows: [] });
        expect(getResultKind(await eraTrackingClient.tableService.read(["a"], signal)())).to.equal("Unavailable");
        respondInEra(3, { kind: "Committed" });
        expect(getResultKind(await eraTrackingClient.tableService.transact(operations, signal)()))
            .to.equal("OutcomeUnknown");
        respondInEra(["4", "5"], { rows: [] });
        expect(getResultKind(await eraTrackingClient.tableService.read(["a"], signal)())).to.equal("Unavailable");
        expect(eraTrackingClient.objectStore.era?.()).to.equal(4);
        expect(lines).to.have.length(2);
    });

    // Failure: a caller receives the rows of another request, because an intermediary swaps two responses. A response
    // does not identify its request, so only the keys of the rows show that it belongs to another one.
    it("rejects rows that were not requested", async () => {
        server.respondWith(createJsonHandler({ rows: [{ key: "other", version: { era: 0, version: 1 }, value: 1 }] }));
        expect(getResultKind(await client.tableService.read(["a"], signal)())).to.equal("Unavailable");
        expect(getResultKind(await client.tableService.scan({ prefix: "a", limit: 5 }, signal)()))
            .to.equal("Unavailable");
    });

    // Failure: calls keep timing out although the platform is healthy. A network device has dropped the state of a
    // connection, and the client keeps using that connection although new ones work.
    it("does not reuse a connection on which a call timed out", async () => {
        server.respondWith(createJsonHandler({ rows: [] }));
        await client.tableService.read(["a"], signal)();
        server.respondWith(ignoreRequest);
        const arrived = server.waitForRequest();
        const timedOutCall = client.tableService.transact(operations, signal)();
        await arrived;
        await clock.advance(TIMEOUT_MS);
        expect(getResultKind(await timedOutCall)).to.equal("OutcomeUnknown");
        const connectionsBefore = server.connections();
        server.respondWith(createJsonHandler({ kind: "Committed" }));
        expect(getResultKind(await client.tableService.transact(operations, signal)())).to.equal("Right");
        expect(server.connections()).to.equal(connectionsBefore + 1);
        expect(client.counters().connectionsReplaced).to.equal(1);
    });

    it("ends a call when its signal aborts", async () => {
        const cancelled = new AbortController();
        const arrived = server.waitForRequest();
        const call = client.tableService.transact(operations, cancelled.signal)();
        await arrived;
        cancelled.abort();
        expect(getResultKind(await call)).to.equal("OutcomeUnknown");
        expect(getResultKind(await client.tableService.transact(operations, cancelled.signal)()))
            .to.equal("Unavailable");
        expect(clock.pendingTimers()).to.equal(0);
    });

    it("limits reads to their budget and does not limit writes", async () => {
        const limited = createClient(server.port, 2);
        server.respondWith(createJsonHandler({ rows: [] }));
        expect(getResultKind(await limited.tableService.read(["a"], signal)())).to.equal("Right");
        expect(await limited.tableService.read(["a"], signal)())
            .to.deep.equal(either.left({ kind: "OverBudget", retryAfterMs: 500 }));
        server.respondWith(createJsonHandler({ kind: "Committed" }));
        expect(getResultKind(await limited.tableService.transact(operations, signal)())).to.equal("Right");
        expect(limited.counters()).to.include({ reads: 1, writes: 1, overBudget: 1 });
    });
});
