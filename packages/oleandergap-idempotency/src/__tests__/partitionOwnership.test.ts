import { expect } from "chai";
import {
    FIRST_RANKED,
    LEASE,
    SECOND_RANKED,
    createOwnershipHarness,
    expectAccepted,
    type OwnershipHarness,
    type OwnerNode,
} from "./support/ownershipHarness.js";

const RESPONSE = { status: 200, headers: [], body: Buffer.from("lodged") };
/** Time that is enough to move a partition, in milliseconds. */
const MOVE_TIME = 30_000;
const DOWN = { kind: "Unavailable" } as const;

describe("createPartitionOwnership", () => {
    let harness: OwnershipHarness;
    let first: OwnerNode;
    let second: OwnerNode;

    beforeEach(async () => {
        harness = createOwnershipHarness();
        first = harness.start(FIRST_RANKED);
        second = harness.start(SECOND_RANKED);
        await harness.clock.advance(MOVE_TIME);
    });
    afterEach(() => harness.stop());

    const findRecord = (key: string): unknown => harness.table.rows().find((row) => row.key.endsWith(key))?.value;

    it("lets only the owner accept a key, and refuses it at other nodes and when it is repeated", () => {
        const key = harness.generateKey();
        expect(second.decide(key)).to.include({ kind: "Decided" });
        expectAccepted(first.decide(key));
        expect(first.decide(key)).to.include({ kind: "Decided" });
    });

    // Guards against requests that are not accepted during an outage because each claim waits for the platform, and
    // against outcomes that are lost because only one attempt is made to record them.
    it("accepts keys during an outage until its lease ends, and records their outcomes afterwards", async () => {
        first.defaultOutcome = DOWN;
        const early = harness.generateKey();
        expectAccepted(first.decide(early)).complete(RESPONSE);
        await harness.clock.advance(LEASE / 2);
        expectAccepted(first.decide(harness.generateKey())).complete(RESPONSE);
        await harness.clock.advance(LEASE);
        expect(first.decide(harness.generateKey())).to.include({ kind: "Decided" });
        expect(findRecord(early)).to.equal(undefined);
        first.defaultOutcome = { kind: "Answered", delayMs: 1 };
        await harness.clock.advance(MOVE_TIME);
        expect(findRecord(early)).to.include({ state: "finished" });
        expectAccepted(first.decide(harness.generateKey()));
    });

    // Guards against a request that runs twice: the owner accepts a key and is frozen before it sends, another node
    // takes over after the lease ended and receives the repeated request, and the owner resumes and sends. The new
    // owner must not treat a key that is not in its memory as a new one.
    it("never lets a new owner run a key that a frozen owner may hold", async () => {
        const key = harness.generateKey();
        const claim = expectAccepted(first.decide(key));
        first.clock.freeze();
        harness.members = [SECOND_RANKED];
        harness.alive = [SECOND_RANKED];
        await harness.clock.advance(MOVE_TIME);
        expect(second.decide(key)).to.deep.equal({ kind: "LookUp" });
        await harness.clock.advance(LEASE);
        expectAccepted(second.decide(harness.generateKey()));
        expect(second.decide(key)).to.deep.equal({ kind: "LookUp" });
        first.clock.resume();
        claim.complete(RESPONSE);
        expect(first.decide(harness.generateKey()).kind).to.equal("Decided");
        await harness.clock.advance(MOVE_TIME);
        const fresh = harness.generateKey();
        expectAccepted(second.decide(fresh));
        expect(first.decide(fresh).kind, "decision of the former owner after its next renewal").to.equal("Decided");
    });

    // Guards against a key that runs at two owners: the partition is handed over while the request runs, and the new
    // owner finds no record of it. A handover must wait until all outcomes are recorded.
    it("hands a partition over only when all its keys are recorded", async () => {
        const key = harness.generateKey();
        const claim = expectAccepted(first.decide(key));
        harness.members = [SECOND_RANKED];
        await harness.clock.advance(MOVE_TIME);
        expect(second.decide(key).kind).to.equal("Decided");
        claim.complete(RESPONSE);
        await harness.clock.advance(MOVE_TIME);
        expect(findRecord(key)).to.include({ state: "finished" });
        expect(second.decide(key)).to.deep.equal({ kind: "ClaimDurably" });
    });

    // Guards against two owners that accept the same key: the handover's response is lost and its write takes effect
    // late, while the members change back and the owner continues. A write with an unknown outcome must not count as
    // failed.
    it("accepts no keys after a handover with an unknown outcome until the row has been read", async () => {
        harness.members = [SECOND_RANKED];
        first.writeOutcomes.push({ kind: "TakesEffectLate", delayMs: 500 }, DOWN, DOWN, DOWN);
        await harness.clock.advance(2100);
        harness.members = [FIRST_RANKED, SECOND_RANKED];
        expect(first.decide(harness.generateKey()).kind).to.equal("Decided");
        await harness.clock.advance(MOVE_TIME);
        expect(first.ownership.stats().held + second.ownership.stats().held).to.equal(1);
    });

    // Guards against two owners that accept the same key after a long outage: a renewal is lost, the owner uses its new
    // ceiling although it was not written, and the next owner reads the old ceiling.
    it("does not use the ceiling of a renewal that was not written", async () => {
        first.writeOutcomes.push(...Array.from({ length: 200 }, () => ({ kind: "RequestLost" }) as const));
        await harness.clock.advance(LEASE + 1000);
        expect(first.decide(harness.generateKey()).kind).to.equal("Decided");
    });

    // Guards against a partition whose keys no node accepts: the write that takes it takes effect only when its node
    // should no longer own it, and the node has discarded that write although its outcome was unknown.
    it("hands over a partition when the write that took it takes effect late", async () => {
        harness.members = [SECOND_RANKED];
        second.writeOutcomes.push({ kind: "TakesEffectLate", delayMs: 1500 });
        await harness.clock.advance(2100);
        harness.members = [FIRST_RANKED, SECOND_RANKED];
        await harness.clock.advance(MOVE_TIME);
        expect(first.ownership.stats().held).to.equal(1);
        expect(second.ownership.stats().held).to.equal(0);
    });

    // Guards against keys that are refused forever after a crash although all nodes are alive: a process is killed, its
    // node restarts, another node ranks first for its partition, and the killed process counts as alive.
    it("releases the partitions of an earlier process of its node", async () => {
        harness.members = [SECOND_RANKED];
        await harness.clock.advance(MOVE_TIME);
        second.clock.freeze();
        harness.members = [FIRST_RANKED, SECOND_RANKED];
        harness.start(SECOND_RANKED);
        await harness.clock.advance(MOVE_TIME);
        expect(first.ownership.stats().held).to.equal(1);
        await harness.clock.advance(LEASE);
        expectAccepted(first.decide(harness.generateKey()));
    });

    it("hands over all partitions when it leaves", async () => {
        const key = harness.generateKey();
        expectAccepted(first.decide(key)).complete(RESPONSE);
        harness.members = [SECOND_RANKED];
        const left = first.ownership.leave(new AbortController().signal);
        await harness.clock.advance(MOVE_TIME);
        await left;
        expect(first.ownership.stats().held).to.equal(0);
        expect(second.ownership.stats().held).to.equal(1);
        await harness.clock.advance(LEASE);
        expectAccepted(second.decide(harness.generateKey()));
    });

    it("does not delay the shutdown of a process while the platform hangs", async () => {
        const limit = new AbortController();
        first.defaultOutcome = { kind: "Hangs", failsAfterMs: LEASE };
        let hasLeft = false;
        void first.ownership.leave(limit.signal).then(() => {
            hasLeft = true;
        });
        await harness.clock.advance(1000);
        limit.abort();
        await harness.clock.advance(0);
        expect(hasLeft).to.equal(true);
    });
});
