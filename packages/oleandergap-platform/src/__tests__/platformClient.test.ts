import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { PlatformError, TableOperation } from "oleandergap-types";
import { createManualClock, createTokenBucket, type ManualClock } from "oleandergap-utils";
import { createEraWatch } from "../eraWatch.js";
import { platformOptionsSchema } from "../options.js";
import { createPlatformClient, type PlatformClient } from "../platformClient.js";
import { ERA_HEADER } from "../wire.js";
import { answerJson, answerNothing, startWireServer, type Answer, type WireServer } from "./wireServer.js";

const TIMEOUT_MS = 500;
const MAXIMUM_ANSWER_BYTES = 4096;
const signal = new AbortController().signal;
const operations: readonly TableOperation[] = [{ kind: "Put", key: "a", condition: { kind: "Any" }, value: 1 }];

const kindOf = (result: Either<PlatformError, unknown>): string => either.isLeft(result) ? result.left.kind : "Right";

describe("createPlatformClient", () => {
    let server: WireServer;
    let clock: ManualClock;
    let ending: AbortController;
    let client: PlatformClient;

    const openClient = (port: number, ratePerSecond?: number): PlatformClient => createPlatformClient({
        ...platformOptionsSchema.parse({
            address: "127.0.0.1",
            port,
            timeoutMs: TIMEOUT_MS,
            maximumAnswerBytes: MAXIMUM_ANSWER_BYTES,
        }),
        clock,
        signal: ending.signal,
        ...ratePerSecond === undefined ?
            {} :
            { readBudget: createTokenBucket({ clock, ratePerSecond: () => ratePerSecond, burst: 1 }) },
    });

    beforeEach(async () => {
        server = await startWireServer();
        clock = createManualClock();
        ending = new AbortController();
        client = openClient(server.port);
    });

    afterEach(async () => {
        ending.abort();
        await server.close();
    });

    it("returns rows, transaction results and objects as answered", async () => {
        const row = { key: "a", version: { era: 0, version: 2 }, value: { deep: [1] } };
        server.answerWith(answerJson({ rows: [row] }));
        expect(await client.tableService.read(["a"], signal)()).to.deep.equal(either.right([row]));
        server.answerWith(answerJson({ kind: "ConditionFailed", keys: ["a"] }));
        expect(await client.tableService.transact(operations, signal)())
            .to.deep.equal(either.right({ kind: "ConditionFailed", keys: ["a"] }));
        server.answerWith((request, response) => {
            response.writeHead(request.url === "/objects/x/y%20z" ? 200 : 404).end("bytes");
        });
        const found = await client.objectStore.get("x/y z", signal)();
        expect(either.isRight(found) && Buffer.from(found.right ?? []).toString()).to.equal("bytes");
        expect(await client.objectStore.get("x/other", signal)()).to.deep.equal(either.right(undefined));
    });

    const cutShort: Answer = (_request, response) => {
        response.writeHead(200, { "content-length": "100" });
        response.write("{\"rows\":[");
        setImmediate(() => response.destroy());
    };
    const withoutEnd: Answer = (_request, response) => {
        response.socket?.end("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{\"kind\":\"Committed\"}");
    };
    const hangUp: Answer = (_request, response) => {
        response.destroy();
    };
    const tooLong = answerJson({ kind: "Committed", padding: "x".repeat(MAXIMUM_ANSWER_BYTES) });

    // Symptom: an operator is told that nothing was changed, and the change is there.
    // Sequence: the platform commits; its answer is cut, unreadable, too long or never comes.
    // Cause: without a whole, well-formed answer nothing is known of the write's outcome.
    const openOutcomes: readonly (readonly [string, Answer])[] = [
        ["an answer cut short", cutShort],
        ["an answer that does not say where it ends", withoutEnd],
        ["a closed connection", hangUp],
        ["an answer over the size limit", tooLong],
        ["an answer that is not JSON", (_request, response) => response.end("oops")],
        ["an answer of another shape", answerJson({ kind: "Committed", extra: 1 })],
        ["status 500", answerJson({}, 500)],
        ["status 404 for a transaction", answerJson({}, 404)],
    ];
    for (const [name, answer] of openOutcomes) {
        it(`leaves a write open and fails a read on ${name}`, async () => {
            server.answerWith(answer);
            expect(kindOf(await client.tableService.transact(operations, signal)())).to.equal("OutcomeUnknown");
            expect(kindOf(await client.tableService.read(["a"], signal)())).to.equal("Unavailable");
        });
    }

    for (const status of [503, 429, 400]) {
        it(`takes status ${status} as a refusal without effect`, async () => {
            server.answerWith(answerJson({}, status));
            expect(kindOf(await client.tableService.transact(operations, signal)())).to.equal("Unavailable");
        });
    }

    it("takes a refused connection as no effect", async () => {
        await server.close();
        expect(kindOf(await client.tableService.transact(operations, signal)())).to.equal("Unavailable");
        server = await startWireServer();
    });

    // Symptom: one reader sees the rows of another's question.
    // Sequence: two answers cross on their way.
    // Cause: an answer names no question; only its keys show whose it is.
    it("takes an answer of an era that is over for no answer, and tells the newest era", async () => {
        const lines: string[] = [];
        const note = (line: string): void => {
            lines.push(line);
        };
        const eras = {
            watch: createEraWatch({ debug: note, info: note, warn: note, error: note }),
            header: ERA_HEADER,
        };
        const following = createPlatformClient({
            ...platformOptionsSchema.parse({ address: "127.0.0.1", port: server.port, timeoutMs: TIMEOUT_MS }),
            clock,
            signal: ending.signal,
            eras,
        });
        const answerIn = (era: number | readonly string[], value: unknown): void => {
            server.answerWith((_request, response) => {
                response.setHeader(ERA_HEADER, era);
                response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(value));
            });
        };
        answerIn(4, { rows: [] });
        expect(kindOf(await following.tableService.read(["a"], signal)())).to.equal("Right");
        answerIn(3, { rows: [] });
        expect(kindOf(await following.tableService.read(["a"], signal)())).to.equal("Unavailable");
        answerIn(3, { kind: "Committed" });
        expect(kindOf(await following.tableService.transact(operations, signal)())).to.equal("OutcomeUnknown");
        answerIn(["4", "5"], { rows: [] });
        expect(kindOf(await following.tableService.read(["a"], signal)())).to.equal("Unavailable");
        expect(following.objectStore.era?.()).to.equal(4);
        expect(lines).to.have.length(2);
    });

    it("refuses rows that were not asked for", async () => {
        server.answerWith(answerJson({ rows: [{ key: "other", version: { era: 0, version: 1 }, value: 1 }] }));
        expect(kindOf(await client.tableService.read(["a"], signal)())).to.equal("Unavailable");
        expect(kindOf(await client.tableService.scan({ prefix: "a", limit: 5 }, signal)())).to.equal("Unavailable");
    });

    // Symptom: one time-out after the other, although the platform is well.
    // Sequence: a connection is used, then goes silent for good; new ones work.
    // Cause: a device between the ends has forgotten the connection, and it is used again and again.
    it("does not use a connection again that went silent", async () => {
        server.answerWith(answerJson({ rows: [] }));
        await client.tableService.read(["a"], signal)();
        server.answerWith(answerNothing);
        const arrived = server.nextRequest();
        const lost = client.tableService.transact(operations, signal)();
        await arrived;
        await clock.advance(TIMEOUT_MS);
        expect(kindOf(await lost)).to.equal("OutcomeUnknown");
        const before = server.connections();
        server.answerWith(answerJson({ kind: "Committed" }));
        expect(kindOf(await client.tableService.transact(operations, signal)())).to.equal("Right");
        expect(server.connections()).to.equal(before + 1);
        expect(client.counters().connectionsReplaced).to.equal(1);
    });

    it("ends a call when its signal aborts", async () => {
        const cancelled = new AbortController();
        const arrived = server.nextRequest();
        const call = client.tableService.transact(operations, cancelled.signal)();
        await arrived;
        cancelled.abort();
        expect(kindOf(await call)).to.equal("OutcomeUnknown");
        expect(kindOf(await client.tableService.transact(operations, cancelled.signal)())).to.equal("Unavailable");
        expect(clock.pendingTimers()).to.equal(0);
    });

    it("keeps reads within their budget and lets writes pass", async () => {
        const limited = openClient(server.port, 2);
        server.answerWith(answerJson({ rows: [] }));
        expect(kindOf(await limited.tableService.read(["a"], signal)())).to.equal("Right");
        expect(await limited.tableService.read(["a"], signal)())
            .to.deep.equal(either.left({ kind: "OverBudget", retryAfterMs: 500 }));
        server.answerWith(answerJson({ kind: "Committed" }));
        expect(kindOf(await limited.tableService.transact(operations, signal)())).to.equal("Right");
        expect(limited.counters()).to.include({ reads: 1, writes: 1, overBudget: 1 });
    });
});
