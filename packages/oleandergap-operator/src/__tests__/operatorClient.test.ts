import type { RequestListener } from "node:http";
import { expect } from "chai";
import fc from "fast-check";
import * as either from "fp-ts/lib/Either.js";
import { createManualClock } from "oleandergap-utils";
import { createOperatorClient, type NodeAddress } from "../index.js";
import {
    createFakeChanges, createFakeNode, createTestClient, HALLOWAY_CREDENTIAL, KUSHIRO_CREDENTIAL, listen, startFakeNode,
    type RunningNode,
} from "./fakes.js";

const edit = { cell: "services/grant-filer/weights/hall-a", expected: { kind: "Empty" as const }, value: 50 };
const change = { changeId: "change-0001", edits: [edit] };

describe("createOperatorClient", () => {
    const closeCallbacks: (() => void)[] = [];

    const startNode = async (...args: Parameters<typeof startFakeNode>): Promise<RunningNode> => {
        const node = await startFakeNode(...args);
        closeCallbacks.push(node.close);
        return node;
    };

    const startServer = async (listener: RequestListener): Promise<NodeAddress> => {
        const server = await listen(listener);
        closeCallbacks.push(server.close);
        return server.address;
    };

    afterEach(() => {
        closeCallbacks.splice(0).forEach((close) => close());
    });

    it("gets the first outcome from the next node after a lost response", async () => {
        // Guards against a change that is made twice or conflicts with itself: node 1 accepts the change and crashes
        // before it responds, and the client sends the change to node 2. It must use the same change id.
        const changes = createFakeChanges();
        const first = await startNode(createFakeNode(changes));
        const second = await startNode(createFakeNode(changes));
        const client = createTestClient([first.address, second.address]);
        changes.beforeResponse = async () => {
            changes.beforeResponse = () => Promise.resolve();
            first.close();
        };
        const response = await client.acceptChange(change)();
        expect(response).to.have.nested.property("right.sequence", 1);
        expect(response).to.have.nested.property("right.repeated", true);
        expect(changes.requests.map((request) => request.changeId)).to.deep.equal(["change-0001", "change-0001"]);
    });

    it("queries the next node when a node does not respond", async () => {
        // Guards against a command that hangs: a frozen process accepts the connection and never responds, and the wait
        // for one node has no timeout.
        const clock = createManualClock();
        const node = await startNode();
        const unresponsiveNode = await startServer(() => {
            void clock.advance(1000);
        });
        const client = createOperatorClient({
            nodes: [unresponsiveNode, node.address],
            credential: HALLOWAY_CREDENTIAL,
            timeoutMs: 1000,
            clock,
            signal: new AbortController().signal,
        });
        expect(await client.getTable({})()).to.have.property("_tag", "Right");
    });

    it("reports an unknown outcome when the response of the only node is lost", async () => {
        const address = await startServer((request) => {
            request.socket.destroy();
        });
        const response = await createTestClient([address]).acceptChange(change)();
        expect(response).to.have.nested.property("left.kind", "OutcomeUnknown");
        expect(response).to.have.nested.property("left.changeId", "change-0001");
    });

    it("reports unreachable nodes when no connection could be established", async () => {
        const closedServer = await listen(() => undefined);
        closedServer.close();
        const response = await createTestClient([closedServer.address]).acceptChange(change)();
        expect(response).to.deep.equal(either.left({
            kind: "NodeUnreachable",
            attempts: [{ node: `127.0.0.1:${closedServer.address.port}`, detail: "ECONNREFUSED" }],
        }));
    });

    it("treats any response that did not come from a node as lost", async () => {
        // Guards against a crash or a wrong empty table: another server listens at the address, or the response is cut
        // off, and the response is used without validation.
        let body = "";
        let status = 200;
        const address = await startServer((_request, response) => {
            response.writeHead(status, { "content-type": "application/json" });
            response.end(body);
        });
        const arbitraryBody = fc.oneof(
            fc.string(), fc.json(), fc.json().map((json) => `{"result":{"data":${json}}}`),
            fc.json().map((json) => `{"result":{"data":{"_tag":"Right","right":${json}}}}`),
            fc.json().map((json) => `{"error":{"code":1,"message":"x","data":{"operatorError":${json}}}}`),
        );
        await fc.assert(fc.asyncProperty(arbitraryBody, fc.constantFrom(200, 404, 500), async (text, code) => {
            body = text;
            status = code;
            const response = await createTestClient([address]).acceptChange(change)();
            expect(response).to.have.nested.property("left.kind", "OutcomeUnknown");
        }), { numRuns: 60 });
    });

    it("does not send its credential to the destination of a redirect", async () => {
        const receivedCredentials: string[] = [];
        const redirectDestination = await startServer((request, response) => {
            receivedCredentials.push(String(request.headers.authorization));
            response.end();
        });
        const address = await startServer((_request, response) => {
            response.writeHead(307, { location: `http://127.0.0.1:${redirectDestination.port}/operator/table.get` });
            response.end();
        });
        expect(await createTestClient([address]).getTable({})()).to.have.property("_tag", "Left");
        expect(receivedCredentials).to.deep.equal([]);
    });

    it("does not include a credential that is not a valid header value in its errors", async () => {
        const node = await startNode();
        const response = await createTestClient([node.address], `${HALLOWAY_CREDENTIAL}\nsecret`).getTable({})();
        expect(response).to.deep.equal(either.left({ kind: "Unauthenticated" }));
    });

    it("returns the expected value and the found value of a conflict", async () => {
        const node = await startNode();
        const client = createTestClient([node.address]);
        await client.acceptChange(change)();
        const response = await client.acceptChange({
            changeId: "change-0002", edits: [{ ...edit, expected: { kind: "Value", value: 10 }, value: 60 }],
        })();
        expect(response).to.deep.equal(either.left({
            kind: "Conflict", conflicts: [{ cell: edit.cell, expected: 10, found: 50 }],
        }));
    });

    it("returns an error instead of an empty table while the node recovers", async () => {
        const node = await startNode();
        node.ready = false;
        expect(await createTestClient([node.address]).getTable({})()).to.have.nested.property("left.kind", "NotReady");
    });

    it("limits excessive requests of one partner without affecting the requests of the other", async () => {
        // Guards against a script of one partner that prevents operators of the other partner from using a node:
        // halloway sends many requests at once, and both partners share one rate limit.
        const node = await startNode(createFakeNode(), { requestsPerSecond: 1 });
        const halloway = createTestClient([node.address]);
        const results = await Promise.all(Array.from({ length: 20 }, () => halloway.listMembers()()));
        const rejected = results.filter((result) => either.isLeft(result) && result.left.kind === "OverBudget");
        expect(rejected.length).to.be.at.least(17);
        const kushiro = createTestClient([node.address], KUSHIRO_CREDENTIAL);
        expect(await kushiro.listMembers()()).to.have.property("_tag", "Right");
    });

    it("responds at its deadline even if the platform never responds", async () => {
        const node = await startNode(createFakeNode(), { requestTimeoutMs: 50 });
        node.changes.beforeResponse = () => new Promise(() => undefined);
        const response = await createTestClient([node.address]).acceptChange(change)();
        expect(response).to.have.nested.property("left.detail", `127.0.0.1:${node.address.port}: OutcomeUnknown`);
    });
});

describe("createOperatorHandler", () => {
    it("responds to any input with a structured result or error and continues to serve requests", async () => {
        const node = await startFakeNode();
        const procedures = ["table.get", "table.row", "change.accept", "audit.list", "target.drain", "nothing"];
        const headers = { authorization: `Bearer ${HALLOWAY_CREDENTIAL}`, "content-type": "application/json" };
        await fc.assert(fc.asyncProperty(
            fc.constantFrom(...procedures), fc.oneof(fc.string(), fc.json()), fc.boolean(),
            async (procedure, text, isPost) => {
                const url = `http://127.0.0.1:${node.address.port}/operator/${procedure}`;
                const response = isPost ?
                    await fetch(url, { method: "POST", headers, body: text }) :
                    await fetch(`${url}?input=${encodeURIComponent(text)}`, { headers });
                const body = await response.text();
                expect(response.status, body).to.be.lessThan(500);
                expect(JSON.parse(body)).to.have.any.keys("error", "result");
            },
        ), { numRuns: 150 });
        expect(node.changes.requests).to.deep.equal([]);
        const oversizedResponse = await fetch(`http://127.0.0.1:${node.address.port}/operator/change.accept`, {
            method: "POST", headers, body: JSON.stringify({ changeId: "x".repeat(300_000) }),
        });
        expect(oversizedResponse.status).to.equal(413);
        expect(await createTestClient([node.address]).getTable({})()).to.have.property("_tag", "Right");
        node.close();
    });
});
