import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import type { OperatorClient } from "../index.js";
import {
    createFakeNode, createHead, createMember, createTestClient, HALLOWAY_CREDENTIAL, KUSHIRO_CREDENTIAL, startFakeNode,
    UNKNOWN_CREDENTIAL, type RunningNode,
} from "./fakes.js";

const change = {
    changeId: "change-0001",
    edits: [{ cell: "services/grant-filer/weights/hall-a", value: 50 }],
};

const procedures: readonly { readonly name: string; readonly call: (client: OperatorClient) => Promise<unknown> }[] = [
    { name: "table.get", call: (client) => client.getTable({})() },
    { name: "table.row", call: (client) => client.getRow({ service: "grant-filer" })() },
    { name: "change.accept", call: (client) => client.acceptChange(change)() },
    { name: "change.validate", call: (client) => client.validateChange({ edits: change.edits })() },
    { name: "history.list", call: (client) => client.listHistory({})() },
    { name: "audit.list", call: (client) => client.listAudit({})() },
    { name: "fleet.versions", call: (client) => client.listVersions()() },
    { name: "fleet.members", call: (client) => client.listMembers()() },
    { name: "fleet.targets", call: (client) => client.listTargets()() },
    { name: "target.drain", call: (client) => client.drainTarget({ nodeId: "hall-a-1" })() },
];

const findSecrets = (text: string): readonly string[] =>
    [HALLOWAY_CREDENTIAL, KUSHIRO_CREDENTIAL, UNKNOWN_CREDENTIAL].filter((secret) => text.includes(secret));

describe("operatorRouter", () => {
    let node: RunningNode;

    beforeEach(async () => {
        const fake = createFakeNode();
        fake.changes.cells.set("halloway", new Map<string, string | number>([
            ["services/grant-filer/limit", "filing"],
            ["services/grant-filer/weights/hall-a", 10],
            ["services/wills-desk/limit", "desk"],
            ["limits/filing/concurrency", 12],
            ["limits/desk/concurrency", 4],
        ]));
        fake.report = {
            nodes: [
                { member: createMember("hall-a-1", "halloway/grant-filer"), applied: { kind: "Known", heads: [] } },
                { member: createMember("sap-1", "kushiro/evidence", "sapporo"), applied: { kind: "Known", heads: [] } },
            ],
            unknownZones: [{ zone: "hakodate", detail: "no contact answered" }],
        };
        node = await startFakeNode(fake);
    });

    afterEach(() => {
        node.close();
    });

    for (const { name, call } of procedures) {
        it(`allows ${name} with a valid credential and rejects it without one`, async () => {
            expect(await call(createTestClient([node.address]))).to.have.property("_tag", "Right");
            node.changes.requests.length = 0;
            for (const credential of [UNKNOWN_CREDENTIAL, "malformed", ""]) {
                const response = await call(createTestClient([node.address], credential));
                expect(response).to.deep.equal(either.left({ kind: "Unauthenticated" }));
            }
            expect(node.changes.requests).to.deep.equal([]);
            expect(findSecrets(node.logLines.join("\n"))).to.deep.equal([]);
        });
    }

    it("sends the same response to every unauthenticated request, regardless of its path, credential or body", async () => {
        const { address, port } = node.address;
        const send = async (path: string, headers: Record<string, string>, body?: string): Promise<string> => {
            const init = body === undefined ? { headers } : { method: "POST", headers, body };
            const response = await fetch(`http://${address}:${port}/operator/${path}`, init);
            return `${response.status} ${await response.text()}`;
        };
        const responses = await Promise.all([
            send("table.get", {}),
            send("no.such.procedure", {}),
            send("table.get", { authorization: "Basic aGFsbG93YXk=" }),
            send("table.get", { authorization: `Bearer ${UNKNOWN_CREDENTIAL}` }),
            send("table.get", { authorization: `Bearer ${"x".repeat(5000)}` }),
            send("change.accept", { authorization: "Bearer x" }, "{not json"),
            send("change.accept", { "content-type": "application/json" }, "x".repeat(400_000)),
        ]);
        expect(new Set(responses).size).to.equal(1);
        expect(responses[0]).to.match(/^401 /);
    });

    it("changes only the table of the partner that owns the credential", async () => {
        const accepted = await createTestClient([node.address], KUSHIRO_CREDENTIAL).acceptChange(change)();
        expect(accepted).to.have.nested.property("right.partner", "kushiro");
        expect(node.changes.cells.get("halloway")?.get("services/grant-filer/weights/hall-a")).to.equal(10);
        expect(node.changes.requests[0]).to.include({ partner: "kushiro", operator: "m.sato" });
    });

    it("does not show the table, history or audit trail of the other partner", async () => {
        await createTestClient([node.address]).acceptChange(change)();
        const kushiro = createTestClient([node.address], KUSHIRO_CREDENTIAL);
        expect(await kushiro.getTable({})()).to.have.nested.property("right.cells").that.deep.equals({});
        expect(await kushiro.listHistory({})()).to.deep.equal(either.right({ partner: "kushiro", entries: [] }));
        expect(await kushiro.listAudit({})()).to.deep.equal(either.right({ partner: "kushiro", entries: [] }));
        expect(await kushiro.getRow({ service: "grant-filer" })()).to.have.nested.property("left.kind", "NotFound");
    });

    it("rejects a request in which the client specifies the partner", async () => {
        const response = await fetch(`http://127.0.0.1:${node.address.port}/operator/change.accept`, {
            method: "POST",
            headers: { authorization: `Bearer ${KUSHIRO_CREDENTIAL}`, "content-type": "application/json" },
            body: JSON.stringify({ ...change, partner: "halloway" }),
        });
        expect(response.status).to.equal(400);
        expect(node.changes.requests).to.deep.equal([]);
    });

    it("rejects a change as soon as the row of the credential is deleted", async () => {
        // Guards against a change with a revoked credential: the credential is used, its row is deleted, and a change
        // follows while the identity is still cached. The change must not rely on the cached identity.
        const client = createTestClient([node.address]);
        await client.getTable({})();
        node.table.rows.clear();
        expect(await client.acceptChange(change)()).to.deep.equal(either.left({ kind: "Unauthenticated" }));
        expect(node.changes.requests).to.deep.equal([]);
    });

    it("drains only targets of the operator's partner", async () => {
        const kushiro = createTestClient([node.address], KUSHIRO_CREDENTIAL);
        expect(await kushiro.drainTarget({ nodeId: "hall-a-1" })()).to.have.nested.property("left.kind", "Forbidden");
        expect(await kushiro.drainTarget({ nodeId: "hall-a-9" })()).to.have.nested.property("left.kind", "NotFound");
        expect(node.drained).to.deep.equal([]);
        await kushiro.drainTarget({ nodeId: "sap-1" })();
        expect(node.drained).to.deep.equal(["sap-1 kushiro/evidence"]);
    });

    it("shows the fleet to both partners, but the service of a target only to its owner", async () => {
        node.report = {
            ...node.report,
            nodes: node.report.nodes.map(({ member }) => ({
                member,
                applied: { kind: "Known", heads: [createHead("halloway", 5), createHead("kushiro", 2)] },
            })),
        };
        const kushiro = createTestClient([node.address], KUSHIRO_CREDENTIAL);
        const members = JSON.stringify(await kushiro.listMembers()());
        expect(members).to.include("hall-a-1").and.include("evidence").and.include("hakodate");
        expect(members).not.to.include("grant-filer");
        const targets = JSON.stringify(await kushiro.listTargets()());
        expect(targets).to.include("evidence").and.not.include("grant-filer");
        const versions = await kushiro.listVersions()();
        expect(versions).to.have.nested.property("right.newest").that.deep.includes({ partner: "halloway", sequence: 7 });
        expect(versions).to.have.nested.property("right.nodes[0].applied.versions")
            .that.deep.includes({ partner: "halloway", sequence: 5, lag: 2 });
    });
});
