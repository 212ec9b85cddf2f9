import { expect } from "chai";
import {
    FIRST,
    LEASE,
    SECOND,
    createOwnershipHarness,
    expectAccepted,
    type OwnershipHarness,
    type OwnerNode,
} from "./support/ownershipHarness.js";

const ANSWER = { status: 200, headers: [], body: Buffer.from("lodged") };
const MOVE_TIME = 30_000;
const DOWN = { kind: "Unavailable" } as const;

describe("createPartitionOwnership", () => {
    let harness: OwnershipHarness;
    let first: OwnerNode;
    let second: OwnerNode;

    beforeEach(async () => {
        harness = createOwnershipHarness();
        first = harness.start(FIRST);
        second = harness.start(SECOND);
        await harness.clock.advance(MOVE_TIME);
    });
    afterEach(() => harness.stop());

    const recordOf = (key: string): unknown => harness.table.rows().find((row) => row.key.endsWith(key))?.value;

    it("lets one node accept a key, and tells others to go there", () => {
        const key = harness.mint();
        expect(second.decide(key)).to.include({ kind: "Decided" });
        expectAccepted(first.decide(key));
        expect(first.decide(key)).to.include({ kind: "Decided" });
    });

    // Symptom: no lodgement is accepted during an outage, or its outcome is lost after it. Sequence: outage, requests,
    // return. Cause: every claim waits for the platform, or the record is tried once.
    it("accepts through an outage until its lease ends, and records afterwards", async () => {
        first.weather = DOWN;
        const early = harness.mint();
        expectAccepted(first.decide(early)).complete(ANSWER);
        await harness.clock.advance(LEASE / 2);
        expectAccepted(first.decide(harness.mint())).complete(ANSWER);
        await harness.clock.advance(LEASE);
        expect(first.decide(harness.mint())).to.include({ kind: "Decided" });
        expect(recordOf(early)).to.equal(undefined);
        first.weather = { kind: "Answered", delayMs: 1 };
        await harness.clock.advance(MOVE_TIME);
        expect(recordOf(early)).to.include({ state: "finished" });
        expectAccepted(first.decide(harness.mint()));
    });

    // Symptom: a signing runs twice, days apart. Sequence: the owner accepts a key, is frozen before it sends, another
    // node takes over and receives the repeat, the owner resumes and sends. Cause: a lease lapsed in between, and the
    // successor takes a key that it does not know for a new one.
    it("never lets a successor run a key that a frozen owner may hold", async () => {
        const key = harness.mint();
        const claim = expectAccepted(first.decide(key));
        first.clock.freeze();
        harness.members = [SECOND];
        harness.alive = [SECOND];
        await harness.clock.advance(MOVE_TIME);
        expect(second.decide(key)).to.deep.equal({ kind: "LookUp" });
        await harness.clock.advance(LEASE);
        expectAccepted(second.decide(harness.mint()));
        expect(second.decide(key)).to.deep.equal({ kind: "LookUp" });
        first.clock.resume();
        claim.complete(ANSWER);
        expect(first.decide(harness.mint()).kind).to.equal("Decided");
        await harness.clock.advance(MOVE_TIME);
        const fresh = harness.mint();
        expectAccepted(second.decide(fresh));
        expect(first.decide(fresh).kind, "the former owner, after its next renewal").to.equal("Decided");
    });

    // Symptom: a key runs at two owners. Sequence: the partition moves while the key runs; the new owner looks for its
    // record and finds none. Cause: the old owner handed over before everything was recorded.
    it("hands a partition over only when every key is recorded", async () => {
        const key = harness.mint();
        const claim = expectAccepted(first.decide(key));
        harness.members = [SECOND];
        await harness.clock.advance(MOVE_TIME);
        expect(second.decide(key).kind).to.equal("Decided");
        claim.complete(ANSWER);
        await harness.clock.advance(MOVE_TIME);
        expect(recordOf(key)).to.include({ state: "finished" });
        expect(second.decide(key)).to.deep.equal({ kind: "ClaimDurably" });
    });

    // Symptom: two owners accept the same key. Sequence: the hand-over's answer is lost and it lands late; meanwhile
    // the members change back and the owner goes on. Cause: a write of unknown fate is taken for one that failed.
    it("accepts nothing after a hand-over of unknown fate until the table tells", async () => {
        harness.members = [SECOND];
        first.writeFates.push({ kind: "LandsLate", delayMs: 500 }, DOWN, DOWN, DOWN);
        await harness.clock.advance(2100);
        harness.members = [FIRST, SECOND];
        expect(first.decide(harness.mint()).kind).to.equal("Decided");
        await harness.clock.advance(MOVE_TIME);
        expect(first.ownership.stats().held + second.ownership.stats().held).to.equal(1);
    });

    // Symptom: two owners accept the same key after a long outage. Sequence: a renewal is lost; the owner believes in
    // it; the successor reads the older ceiling. Cause: a ceiling counts before it is surely written.
    it("does not trust a renewal that was not written", async () => {
        first.writeFates.push(...Array.from({ length: 200 }, () => ({ kind: "RequestLost" }) as const));
        await harness.clock.advance(LEASE + 1000);
        expect(first.decide(harness.mint()).kind).to.equal("Decided");
    });

    // Symptom: a partition that nobody accepts keys for. Sequence: a take lands after its node no longer wants the
    // partition. Cause: a take of unknown fate was forgotten.
    it("gives up a partition whose take landed late", async () => {
        harness.members = [SECOND];
        second.writeFates.push({ kind: "LandsLate", delayMs: 1500 });
        await harness.clock.advance(2100);
        harness.members = [FIRST, SECOND];
        await harness.clock.advance(MOVE_TIME);
        expect(first.ownership.stats().held).to.equal(1);
        expect(second.ownership.stats().held).to.equal(0);
    });

    // Symptom: after a crash, keys are refused for ever although all nodes are alive. Sequence: a process dies, its
    // node restarts, another node ranks first for its partition. Cause: the dead process passes for alive.
    it("frees what a former process of its node held", async () => {
        harness.members = [SECOND];
        await harness.clock.advance(MOVE_TIME);
        second.clock.freeze();
        harness.members = [FIRST, SECOND];
        harness.start(SECOND);
        await harness.clock.advance(MOVE_TIME);
        expect(first.ownership.stats().held).to.equal(1);
        await harness.clock.advance(LEASE);
        expectAccepted(first.decide(harness.mint()));
    });

    it("hands everything over when it leaves", async () => {
        const key = harness.mint();
        expectAccepted(first.decide(key)).complete(ANSWER);
        harness.members = [SECOND];
        const left = first.ownership.leave(new AbortController().signal);
        await harness.clock.advance(MOVE_TIME);
        await left;
        expect(first.ownership.stats().held).to.equal(0);
        expect(second.ownership.stats().held).to.equal(1);
        await harness.clock.advance(LEASE);
        expectAccepted(second.decide(harness.mint()));
    });

    it("does not hold up a stopping process while the platform hangs", async () => {
        const limit = new AbortController();
        first.weather = { kind: "Hangs", givenUpMs: LEASE };
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
