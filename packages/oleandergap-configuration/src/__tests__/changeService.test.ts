import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import { noFault, type PlatformCall } from "oleandergap-platform";
import { createManualClock } from "oleandergap-utils";
import type { CellEdit } from "../change/changeRequest.js";
import { changeOptionsSchema } from "../change/options.js";
import { createConfigurationSource } from "../platform/configurationSource.js";
import {
    createNode,
    createRequest,
    createTestPlatform,
    generousOptions,
    getAccepted,
    neverAborted,
    readChain,
    createEdits,
    waitEventLoopTurns,
    type TestPlatform,
} from "./changeSupport.js";
import { initialCells } from "./support.js";

const EAST_WEIGHT = "services/desk/weights/east";

const editEastWeight = (value: number): readonly CellEdit[] => [{ cell: EAST_WEIGHT, value }];

const acceptInitialTable = async (platform: TestPlatform, partner: string): Promise<void> => {
    const request = createRequest(partner, "first-change", createEdits(initialCells));
    getAccepted(await createNode(platform).accept(request, neverAborted)());
};

const acceptEastWeights = async (platform: TestPlatform, first: number, last: number): Promise<void> => {
    const node = createNode(platform);
    for (let value = first; value <= last; value++) {
        const request = createRequest("halloway", `change-${value}`, editEastWeight(value));
        getAccepted(await node.accept(request, neverAborted)());
    }
};

describe("createChangeService", () => {
    it("reports both values of a conflict and rebases changes of other cells", async () => {
        const platform = createTestPlatform();
        await acceptInitialTable(platform, "halloway");
        const [first, second] = [createNode(platform), createNode(platform)];
        const expected = { kind: "Value", value: 1 } as const;
        const edit: CellEdit = { cell: EAST_WEIGHT, expected, value: 5 };
        getAccepted(await first.accept(createRequest("halloway", "change-a", [edit]), neverAborted)());
        const vault: CellEdit = { cell: "services/vault/weights/west", expected: { kind: "Value", value: 7 }, value: 8 };
        getAccepted(await second.accept(createRequest("halloway", "change-b", [vault]), neverAborted)());
        const refused = await second.accept(createRequest("halloway", "change-c", [{ ...edit, value: 6 }]), neverAborted)();
        expect(either.isLeft(refused) && refused.left.kind === "Conflict" ? refused.left.conflicts : refused)
            .to.deep.equal([{ cell: EAST_WEIGHT, expected: 1, actual: 5, proposed: 6 }]);
        expect(readChain(platform, "halloway").document.cells).to.include({ [EAST_WEIGHT]: 5, [vault.cell]: 8 });
    });

    // Guards against reusing a sequence after the platform was restored from a backup: nodes that already received
    // other content with the same sequence would refuse the version.
    it("assigns a sequence above the active version when the platform has an older version", async () => {
        const platform = createTestPlatform();
        await acceptInitialTable(platform, "halloway");
        const copy = readChain(platform, "halloway").document;
        const node = createNode(platform, { findDocument: () => ({ ...copy, sequence: copy.sequence + 4 }) });
        getAccepted(await node.accept(createRequest("halloway", "change-a", editEastWeight(5)), neverAborted)());
        const { document } = readChain(platform, "halloway");
        expect(document.sequence).to.equal(copy.sequence + 5);
        expect(document.cells).to.include({ [EAST_WEIGHT]: 5 });
    });

    it("refuses an invalid table without writing, and validates changes without writing", async () => {
        const platform = createTestPlatform();
        await acceptInitialTable(platform, "halloway");
        const node = createNode(platform);
        const wrong = createRequest("halloway", "change-a", [{ cell: "zones/east/enabled" }]);
        for (const result of [await node.accept(wrong, neverAborted)(), await node.validate(wrong, neverAborted)()]) {
            expect(either.isLeft(result) && result.left.kind).to.equal("Invalid");
        }
        const preview = await node.validate(createRequest("halloway", "change-b", editEastWeight(3)), neverAborted)();
        expect(either.isRight(preview) && preview.right.changes)
            .to.deep.equal([{ cell: EAST_WEIGHT, before: 1, after: 3 }]);
        expect(readChain(platform, "halloway").deltas).to.have.length(1);
    });

    it("refuses a different change with a used id, and a malformed id", async () => {
        const platform = createTestPlatform();
        await acceptInitialTable(platform, "halloway");
        const node = createNode(platform);
        const reused = await node.accept(createRequest("halloway", "first-change", editEastWeight(2)), neverAborted)();
        expect(either.isLeft(reused) && reused.left.kind).to.equal("ChangeIdReused");
        const malformed = await node.accept(createRequest("halloway", "short", editEastWeight(2)), neverAborted)();
        expect(either.isLeft(malformed) && malformed.left.kind).to.equal("BadRequest");
    });

    // Guards against restoring an old weight. The response to a change without effect is lost, another change modifies
    // the cell, and the client retries the first change. Without a recorded outcome, the retry would be handled as a
    // new change.
    it("returns the recorded outcome for a retry of a change without effect", async () => {
        const platform = createTestPlatform();
        await acceptInitialTable(platform, "halloway");
        const node = createNode(platform);
        const same = createRequest("halloway", "change-same", editEastWeight(1));
        expect(getAccepted(await node.accept(same, neverAborted)()).kind).to.equal("Unchanged");
        getAccepted(await node.accept(createRequest("halloway", "change-other", editEastWeight(9)), neverAborted)());
        expect(getAccepted(await node.accept(same, neverAborted)()))
            .to.include({ kind: "Unchanged", isRepeat: true });
        expect(readChain(platform, "halloway").document.cells[EAST_WEIGHT]).to.equal(9);
    });

    // Guards against a flood of changes that delays or refuses the changes of the other partner. Hundreds of changes of
    // one partner wait at a node whose platform calls for that partner hang. A queue, lock or budget that both partners
    // share would cause this.
    it("accepts a change with two platform calls during a flood of changes of the other partner", async () => {
        const calls: PlatformCall[] = [];
        let isHanging = false;
        const platform = createTestPlatform({
            decideFault: (call) => {
                calls.push(call);
                return noFault;
            },
            waitBefore: (call) =>
                isHanging && call.keys[0]?.includes("halloway") === true ?
                    new Promise(() => undefined) :
                    waitEventLoopTurns(1),
        });
        await acceptInitialTable(platform, "halloway");
        await acceptInitialTable(platform, "kushiro");
        const options = changeOptionsSchema.parse({ changesBurst: 50, maximumWaiting: 20 });
        const node = createNode(platform, { options });
        const warmUp = createRequest("kushiro", "change-warm-up", editEastWeight(2));
        getAccepted(await node.accept(warmUp, neverAborted)());
        isHanging = true;
        const floodResults = Array.from({ length: 300 }, (_, number) =>
            node.accept(createRequest("halloway", `change-${number}-flood`, editEastWeight(number)), neverAborted)());
        const refused = await Promise.race([floodResults.at(-1), waitEventLoopTurns(5)]);
        expect(refused !== undefined && either.isLeft(refused) && refused.left.kind).to.equal("OverBudget");
        calls.length = 0;
        getAccepted(await node.accept(createRequest("kushiro", "change-in-flood", editEastWeight(3)), neverAborted)());
        expect(calls.filter((call) => call.keys[0]?.includes("kushiro") === true).map((call) => call.operation))
            .to.deep.equal(["Read", "Transact"]);
    });

    it("applies the rate limit of each partner separately and across all nodes", async () => {
        const platform = createTestPlatform();
        const clock = createManualClock();
        const options = changeOptionsSchema.parse({ fleetChangesPerSecond: 2, fleetChangesBurst: 3 });
        const accept = (partner: string, number: number): ReturnType<ReturnType<typeof createNode>["accept"]> =>
            createNode(platform, { clock, options }).accept(
                createRequest(partner, `change-${number}`, createEdits({ [`zones/zone-${number}/enabled`]: 1 })),
                neverAborted,
            );
        for (let number = 1; number <= 3; number++) {
            getAccepted(await accept("halloway", number)());
        }
        expect(await accept("halloway", 4)()).to.deep.equal(either.left({ kind: "OverBudget", retryAfterMs: 500 }));
        getAccepted(await accept("kushiro", 1)());
        await clock.advance(500);
        getAccepted(await accept("halloway", 4)());
    });

    it("refers only to existing snapshots and reads the table from them", async () => {
        const platform = createTestPlatform();
        await acceptInitialTable(platform, "halloway");
        await acceptEastWeights(platform, 2, 12);
        const { head, document } = readChain(platform, "halloway");
        expect([...platform.objectStore.objects.keys()].at(-1))
            .to.equal(`config/halloway/snapshot/000000000008-${head?.snapshotDigest}`);
        expect(head?.snapshotSequence).to.equal(8);
        expect(await createConfigurationSource(platform).readDocument("halloway", neverAborted)())
            .to.deep.equal(either.right(document));
    });

    // Guards against refusing all changes while only the object store is unavailable or unresponsive and a snapshot is
    // due. This would happen if acceptance depended on the snapshot.
    it("accepts changes while the object store is unavailable and keeps the older snapshot", async () => {
        let isDown = false;
        const isObjectCall = (call: PlatformCall): boolean => call.operation === "Put" || call.operation === "Get";
        const platform = createTestPlatform({
            decideFault: (call) => isDown && isObjectCall(call) ? { kind: "Outage" } : noFault,
        });
        await acceptInitialTable(platform, "halloway");
        await acceptEastWeights(platform, 2, 5);
        isDown = true;
        await acceptEastWeights(platform, 6, 14);
        const { head, document } = readChain(platform, "halloway");
        expect(head).to.include({ sequence: 14, snapshotSequence: 4 });
        expect(await createConfigurationSource(platform).readDocument("halloway", neverAborted)())
            .to.deep.equal(either.right(document));
    });

    it("waits for an unresponsive object store at most until the snapshot timeout", async () => {
        const clock = createManualClock();
        let isUnresponsive = false;
        const platform = createTestPlatform({
            waitBefore: (call) =>
                isUnresponsive && call.operation === "Put" ? new Promise(() => undefined) : waitEventLoopTurns(1),
        });
        await acceptInitialTable(platform, "halloway");
        await acceptEastWeights(platform, 2, 4);
        isUnresponsive = true;
        const node = createNode(platform, { clock });
        const change = node.accept(createRequest("halloway", "change-silent", editEastWeight(77)), neverAborted)();
        while (clock.pendingTimers() === 0) {
            await waitEventLoopTurns(1);
        }
        await clock.advance(generousOptions.snapshotTimeoutMs);
        expect(getAccepted(await change).head.sequence).to.equal(5);
    });

    it("reports an unknown outcome and returns the outcome for a later retry", async () => {
        let isLosing = false;
        const platform = createTestPlatform({
            decideFault: (call) => isLosing && call.operation === "Transact" ? { kind: "AnswerLost" } :
            isLosing && readChain(platform, "halloway").deltas.length > 1 ? { kind: "Outage" } : noFault,
        });
        await acceptInitialTable(platform, "halloway");
        isLosing = true;
        const request = createRequest("halloway", "change-lost", editEastWeight(4));
        const node = createNode(platform);
        const lost = await node.accept(request, neverAborted)();
        expect(either.isLeft(lost) && lost.left.kind).to.equal("OutcomeUnknown");
        isLosing = false;
        expect(getAccepted(await createNode(platform).accept(request, neverAborted)()))
            .to.include({ kind: "Accepted", isRepeat: true });
    });

    // Guards against reporting that nothing was written and activating the change later. The response of a write is
    // lost while the write is in flight, and the platform then refuses all calls. While the head row is unchanged, the
    // write without a response may still take effect.
    it("reports an unknown outcome while a write may still take effect", async () => {
        let completeLateWrite = (): void => undefined;
        const lateWrite = new Promise<void>((resolve) => {
            completeLateWrite = resolve;
        });
        let writes = Number.NEGATIVE_INFINITY;
        const platform = createTestPlatform({
            decideFault: ({ operation }) => {
                writes += operation === "Transact" ? 1 : 0;
                return operation === "Transact" && writes > 0 ? { kind: writes === 1 ? "Late" : "Outage" } : noFault;
            },
            waitLate: () => lateWrite,
        });
        await acceptInitialTable(platform, "halloway");
        writes = 0;
        const request = createRequest("halloway", "change-late", editEastWeight(4));
        const unresolved = await createNode(platform).accept(request, neverAborted)();
        expect(either.isLeft(unresolved) && unresolved.left.kind).to.equal("OutcomeUnknown");
        completeLateWrite();
        await waitEventLoopTurns(2);
        expect(getAccepted(await createNode(platform).accept(request, neverAborted)()))
            .to.include({ kind: "Accepted", isRepeat: true });
    });

    // Guards against silently overwriting a concurrent change. A change without an expectation is planned for one
    // version and written after the next one. If each attempt resolved the expectation again, the change that lost the
    // race would overwrite the other one.
    it("reports a conflict when a cell changes during a change without an expectation", async () => {
        let isSlowWriteBlocked = true;
        const platform = createTestPlatform({
            waitBefore: async (call) => {
                while (
                    isSlowWriteBlocked &&
                    call.keys.includes("config/halloway/change/change-slow") &&
                    call.operation === "Transact"
                ) {
                    await waitEventLoopTurns(1);
                }
            },
        });
        await acceptInitialTable(platform, "halloway");
        const slow = createNode(platform).accept(createRequest("halloway", "change-slow", editEastWeight(4)), neverAborted)();
        await waitEventLoopTurns(5);
        getAccepted(await createNode(platform).accept(createRequest("halloway", "change-fast", editEastWeight(5)), neverAborted)());
        isSlowWriteBlocked = false;
        const refused = await slow;
        expect(either.isLeft(refused) && refused.left.kind === "Conflict" ? refused.left.conflicts : refused)
            .to.deep.equal([{ cell: EAST_WEIGHT, expected: 1, actual: 5, proposed: 4 }]);
    });

    it("retries after one lost read response and reports an outage after the second", async () => {
        let failures = 0;
        const platform = createTestPlatform({
            decideFault: (call) => {
                failures -= call.operation === "Read" ? 1 : 0;
                return call.operation === "Read" && failures >= 0 ? { kind: "AnswerLost" } : noFault;
            },
        });
        await acceptInitialTable(platform, "halloway");
        const node = createNode(platform);
        failures = 1;
        getAccepted(await node.accept(createRequest("halloway", "change-once", editEastWeight(4)), neverAborted)());
        failures = 2;
        const refused = await node.accept(createRequest("halloway", "change-twice", editEastWeight(5)), neverAborted)();
        expect(either.isLeft(refused) && refused.left.kind).to.equal("Unavailable");
    });

    it("returns history and audit trail in pages, newest entry first", async () => {
        const platform = createTestPlatform();
        await acceptInitialTable(platform, "halloway");
        await acceptEastWeights(platform, 2, 5);
        const node = createNode(platform);
        const first = await node.audit("halloway", { limit: 3 }, neverAborted)();
        const page = either.isRight(first) ? first.right : undefined;
        expect(page?.entries.map((entry) => entry.changeId)).to.deep.equal(["change-5", "change-4", "change-3"]);
        expect(page?.before).to.equal(3);
        const last = await node.history("halloway", { limit: 3, before: 3 }, neverAborted)();
        expect(either.isRight(last) && last.right.entries.map((delta) => delta.sequence)).to.deep.equal([2, 1]);
        expect(either.isRight(last) && "before" in last.right).to.equal(false);
    });
});
