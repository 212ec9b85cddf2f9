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
    setCells,
    waitTurns,
    type TestPlatform,
} from "./changeSupport.js";
import { startCells } from "./support.js";

const EAST = "services/desk/weights/east";

const setEast = (value: number): readonly CellEdit[] => [{ cell: EAST, value }];

const fillTable = async (platform: TestPlatform, partner: string): Promise<void> => {
    const request = createRequest(partner, "first-change", setCells(startCells));
    getAccepted(await createNode(platform).accept(request, neverAborted)());
};

const setEastTimes = async (platform: TestPlatform, first: number, last: number): Promise<void> => {
    const node = createNode(platform);
    for (let value = first; value <= last; value++) {
        const request = createRequest("halloway", `change-${value}`, setEast(value));
        getAccepted(await node.accept(request, neverAborted)());
    }
};

describe("createChangeService", () => {
    it("shows both values of a conflict and rebases over other cells", async () => {
        const platform = createTestPlatform();
        await fillTable(platform, "halloway");
        const [first, second] = [createNode(platform), createNode(platform)];
        const expected = { kind: "Value", value: 1 } as const;
        const edit: CellEdit = { cell: EAST, expected, value: 5 };
        getAccepted(await first.accept(createRequest("halloway", "change-a", [edit]), neverAborted)());
        const vault: CellEdit = { cell: "services/vault/weights/west", expected: { kind: "Value", value: 7 }, value: 8 };
        getAccepted(await second.accept(createRequest("halloway", "change-b", [vault]), neverAborted)());
        const refused = await second.accept(createRequest("halloway", "change-c", [{ ...edit, value: 6 }]), neverAborted)();
        expect(either.isLeft(refused) && refused.left.kind === "Conflict" ? refused.left.conflicts : refused)
            .to.deep.equal([{ cell: EAST, expected: 1, actual: 5, proposed: 6 }]);
        expect(readChain(platform, "halloway").document.cells).to.include({ [EAST]: 5, [vault.cell]: 8 });
    });

    // Guards against a number that nodes have seen for other contents, and refuse, after a restore of the platform.
    it("numbers a version above the one in force where the platform is behind", async () => {
        const platform = createTestPlatform();
        await fillTable(platform, "halloway");
        const copy = readChain(platform, "halloway").document;
        const node = createNode(platform, { findDocument: () => ({ ...copy, sequence: copy.sequence + 4 }) });
        getAccepted(await node.accept(createRequest("halloway", "change-a", setEast(5)), neverAborted)());
        const { document } = readChain(platform, "halloway");
        expect(document.sequence).to.equal(copy.sequence + 5);
        expect(document.cells).to.include({ [EAST]: 5 });
    });

    it("refuses an invalid table and writes nothing, and validates without writing", async () => {
        const platform = createTestPlatform();
        await fillTable(platform, "halloway");
        const node = createNode(platform);
        const wrong = createRequest("halloway", "change-a", [{ cell: "zones/east/enabled" }]);
        for (const result of [await node.accept(wrong, neverAborted)(), await node.validate(wrong, neverAborted)()]) {
            expect(either.isLeft(result) && result.left.kind).to.equal("Invalid");
        }
        const preview = await node.validate(createRequest("halloway", "change-b", setEast(3)), neverAborted)();
        expect(either.isRight(preview) && preview.right.changes)
            .to.deep.equal([{ cell: EAST, before: 1, after: 3 }]);
        expect(readChain(platform, "halloway").deltas).to.have.length(1);
    });

    it("refuses another change under a used id, and a malformed one", async () => {
        const platform = createTestPlatform();
        await fillTable(platform, "halloway");
        const node = createNode(platform);
        const reused = await node.accept(createRequest("halloway", "first-change", setEast(2)), neverAborted)();
        expect(either.isLeft(reused) && reused.left.kind).to.equal("ChangeIdReused");
        const malformed = await node.accept(createRequest("halloway", "short", setEast(2)), neverAborted)();
        expect(either.isLeft(malformed) && malformed.left.kind).to.equal("BadRequest");
    });

    // Symptom: a weight returns to an old value although nobody set it.
    // Sequence: a change that alters nothing is answered, the answer is lost, another change moves the cell, and the
    // client repeats the first.
    // Cause: without a record of its first outcome, the repeat looks like a new change.
    it("answers the repeat of a change that altered nothing as the first time", async () => {
        const platform = createTestPlatform();
        await fillTable(platform, "halloway");
        const node = createNode(platform);
        const same = createRequest("halloway", "change-same", setEast(1));
        expect(getAccepted(await node.accept(same, neverAborted)()).kind).to.equal("Unchanged");
        getAccepted(await node.accept(createRequest("halloway", "change-other", setEast(9)), neverAborted)());
        expect(getAccepted(await node.accept(same, neverAborted)()))
            .to.include({ kind: "Unchanged", isRepeat: true });
        expect(readChain(platform, "halloway").document.cells[EAST]).to.equal(9);
    });

    // Symptom: one partner's operators wait or are refused while the other's script runs wild.
    // Sequence: hundreds of changes of one partner wait at a node whose platform calls for that partner hang.
    // Cause: a queue, a lock or a budget that both partners share.
    it("accepts a partner's change in two platform calls during the other's flood", async () => {
        const calls: PlatformCall[] = [];
        let isHanging = false;
        const platform = createTestPlatform({
            decideFault: (call) => {
                calls.push(call);
                return noFault;
            },
            waitBefore: (call) =>
                isHanging && call.keys[0]?.includes("halloway") === true ? new Promise(() => undefined) : waitTurns(1),
        });
        await fillTable(platform, "halloway");
        await fillTable(platform, "kushiro");
        const options = changeOptionsSchema.parse({ changesBurst: 50, maximumWaiting: 20 });
        const node = createNode(platform, { options });
        const warmUp = createRequest("kushiro", "change-warm-up", setEast(2));
        getAccepted(await node.accept(warmUp, neverAborted)());
        isHanging = true;
        const flood = Array.from({ length: 300 }, (_, number) =>
            node.accept(createRequest("halloway", `change-${number}-flood`, setEast(number)), neverAborted)());
        const refused = await Promise.race([flood.at(-1), waitTurns(5)]);
        expect(refused !== undefined && either.isLeft(refused) && refused.left.kind).to.equal("OverBudget");
        calls.length = 0;
        getAccepted(await node.accept(createRequest("kushiro", "change-in-flood", setEast(3)), neverAborted)());
        expect(calls.filter((call) => call.keys[0]?.includes("kushiro") === true).map((call) => call.operation))
            .to.deep.equal(["Read", "Transact"]);
    });

    it("holds a partner to its rate limit over all nodes, and the other to its own", async () => {
        const platform = createTestPlatform();
        const clock = createManualClock();
        const options = changeOptionsSchema.parse({ fleetChangesPerSecond: 2, fleetChangesBurst: 3 });
        const accept = (partner: string, number: number): ReturnType<ReturnType<typeof createNode>["accept"]> =>
            createNode(platform, { clock, options }).accept(
                createRequest(partner, `change-${number}`, setCells({ [`zones/zone-${number}/enabled`]: 1 })),
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

    it("names only snapshots that exist, and reads the table through them", async () => {
        const platform = createTestPlatform();
        await fillTable(platform, "halloway");
        await setEastTimes(platform, 2, 12);
        const { head, document } = readChain(platform, "halloway");
        expect([...platform.objectStore.objects.keys()].at(-1))
            .to.equal(`config/halloway/snapshot/000000000008-${head?.snapshotDigest}`);
        expect(head?.snapshotSequence).to.equal(8);
        expect(await createConfigurationSource(platform).readDocument("halloway", neverAborted)())
            .to.deep.equal(either.right(document));
    });

    // Symptom: no change is accepted although the table service is well.
    // Sequence: the object store is down or silent when a snapshot falls due.
    // Cause: acceptance that waits for its snapshot depends on a second service.
    it("accepts changes without the object store and names the older snapshot", async () => {
        let isDown = false;
        const isObjectCall = (call: PlatformCall): boolean => call.operation === "Put" || call.operation === "Get";
        const platform = createTestPlatform({
            decideFault: (call) => isDown && isObjectCall(call) ? { kind: "Outage" } : noFault,
        });
        await fillTable(platform, "halloway");
        await setEastTimes(platform, 2, 5);
        isDown = true;
        await setEastTimes(platform, 6, 14);
        const { head, document } = readChain(platform, "halloway");
        expect(head).to.include({ sequence: 14, snapshotSequence: 4 });
        expect(await createConfigurationSource(platform).readDocument("halloway", neverAborted)())
            .to.deep.equal(either.right(document));
    });

    it("does not wait longer for a silent object store than its limit", async () => {
        const clock = createManualClock();
        let isSilent = false;
        const platform = createTestPlatform({
            waitBefore: (call) => isSilent && call.operation === "Put" ? new Promise(() => undefined) : waitTurns(1),
        });
        await fillTable(platform, "halloway");
        await setEastTimes(platform, 2, 4);
        isSilent = true;
        const node = createNode(platform, { clock });
        const change = node.accept(createRequest("halloway", "change-silent", setEast(77)), neverAborted)();
        while (clock.pendingTimers() === 0) {
            await waitTurns(1);
        }
        await clock.advance(generousOptions.snapshotTimeoutMs);
        expect(getAccepted(await change).head.sequence).to.equal(5);
    });

    it("says that the outcome is unknown as long as it is, and tells it at the repeat", async () => {
        let isLosing = false;
        const platform = createTestPlatform({
            decideFault: (call) => isLosing && call.operation === "Transact" ? { kind: "AnswerLost" } :
            isLosing && readChain(platform, "halloway").deltas.length > 1 ? { kind: "Outage" } : noFault,
        });
        await fillTable(platform, "halloway");
        isLosing = true;
        const request = createRequest("halloway", "change-lost", setEast(4));
        const node = createNode(platform);
        const lost = await node.accept(request, neverAborted)();
        expect(either.isLeft(lost) && lost.left.kind).to.equal("OutcomeUnknown");
        isLosing = false;
        expect(getAccepted(await createNode(platform).accept(request, neverAborted)()))
            .to.include({ kind: "Accepted", isRepeat: true });
    });

    // Symptom: an operator is told "nothing was written", and a second later the change is in force.
    // Sequence: the write is under way, its answer is lost, and the platform refuses everything after it.
    // Cause: as long as the head has not moved, a write that was given up may still land.
    it("does not deny a write that may still land", async () => {
        let release = (): void => undefined;
        const landing = new Promise<void>((resolve) => {
            release = resolve;
        });
        let writes = Number.NEGATIVE_INFINITY;
        const platform = createTestPlatform({
            decideFault: ({ operation }) => {
                writes += operation === "Transact" ? 1 : 0;
                return operation === "Transact" && writes > 0 ? { kind: writes === 1 ? "Late" : "Outage" } : noFault;
            },
            waitLate: () => landing,
        });
        await fillTable(platform, "halloway");
        writes = 0;
        const request = createRequest("halloway", "change-late", setEast(4));
        const open = await createNode(platform).accept(request, neverAborted)();
        expect(either.isLeft(open) && open.left.kind).to.equal("OutcomeUnknown");
        release();
        await waitTurns(2);
        expect(getAccepted(await createNode(platform).accept(request, neverAborted)()))
            .to.include({ kind: "Accepted", isRepeat: true });
    });

    // Symptom: an operator's value is overwritten a moment after it was set, and nobody is told.
    // Sequence: a change that names no expectation is read against one version and written against the next.
    // Cause: taking the expectation anew at each attempt makes the loser of the race the winner.
    it("shows a conflict to a change without expectation whose cell moved under way", async () => {
        let isHeld = true;
        const platform = createTestPlatform({
            waitBefore: async (call) => {
                while (isHeld && call.keys.includes("config/halloway/change/change-slow") && call.operation === "Transact") {
                    await waitTurns(1);
                }
            },
        });
        await fillTable(platform, "halloway");
        const slow = createNode(platform).accept(createRequest("halloway", "change-slow", setEast(4)), neverAborted)();
        await waitTurns(5);
        getAccepted(await createNode(platform).accept(createRequest("halloway", "change-fast", setEast(5)), neverAborted)());
        isHeld = false;
        const refused = await slow;
        expect(either.isLeft(refused) && refused.left.kind === "Conflict" ? refused.left.conflicts : refused)
            .to.deep.equal([{ cell: EAST, expected: 1, actual: 5, proposed: 4 }]);
    });

    it("survives one lost answer to a read, and tells of an outage after the second", async () => {
        let failures = 0;
        const platform = createTestPlatform({
            decideFault: (call) => {
                failures -= call.operation === "Read" ? 1 : 0;
                return call.operation === "Read" && failures >= 0 ? { kind: "AnswerLost" } : noFault;
            },
        });
        await fillTable(platform, "halloway");
        const node = createNode(platform);
        failures = 1;
        getAccepted(await node.accept(createRequest("halloway", "change-once", setEast(4)), neverAborted)());
        failures = 2;
        const refused = await node.accept(createRequest("halloway", "change-twice", setEast(5)), neverAborted)();
        expect(either.isLeft(refused) && refused.left.kind).to.equal("Unavailable");
    });

    it("pages through history and audit trail, newest first", async () => {
        const platform = createTestPlatform();
        await fillTable(platform, "halloway");
        await setEastTimes(platform, 2, 5);
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
