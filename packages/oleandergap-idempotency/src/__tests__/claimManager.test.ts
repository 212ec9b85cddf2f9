import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import {
    HEALTHY,
    TIMEOUT,
    createClaimHarness,
    expectFailure,
    expectGranted,
    type ClaimHarness,
    type ClaimNode,
} from "./support/claimHarness.js";

const KEY = "lodgement-0001";
const DAY = 24 * 3600 * 1000;
const DUPLICATE = { kind: "DuplicateKey", verdict: "mayHaveRun", retryAfterMs: 1000 };

describe("createClaimManager", () => {
    let harness: ClaimHarness;
    let first: ClaimNode;
    let second: ClaimNode;

    beforeEach(() => {
        harness = createClaimHarness();
        first = harness.startNode("node-1");
        second = harness.startNode("node-2");
    });
    afterEach(() => harness.stop());

    // Guards against a request that runs twice: the platform writes the row but its response is lost, and the caller's
    // proxy sends the key to another node. It would run twice if the first node assumed that it holds no claim, or if
    // the second node ignored the row because it contains no response.
    it("reads the row back after a lost response and grants the claim to one node only", async () => {
        first.writeOutcomes.push({ kind: "AnswerLost" });
        expectGranted(await first.claim(KEY));
        expect(expectFailure(await second.claim(KEY))).to.deep.equal(DUPLICATE);
    });

    // Guards against a key that fails with "may have run" for days although no target received it: the claim misses its
    // deadline and is released, and its insert takes effect only then. The release must leave a row that makes the
    // condition of the late insert fail.
    (["RequestLost", "Unavailable"] as const).forEach((kind) => {
        it(`does not let a claim that takes effect late block its key (${kind})`, async () => {
            const later = Array.from({ length: 500 }, () => ({ kind }));
            first.writeOutcomes.push({ kind: "TakesEffectLate", delayMs: 2 * TIMEOUT }, ...later);
            const pending = first.startClaim(KEY);
            await harness.clock.advance(TIMEOUT);
            expect(expectFailure(await pending)).to.include({ verdict: "notRun", reason: "DeadlinePassed" });
            first.writeOutcomes.length = 0;
            await harness.clock.advance(10 * TIMEOUT);
            expectGranted(await second.claim(KEY));
        });
    });

    // Guards against a key that was released before and then fails with "may have run" for days: the claim that
    // replaces the released row misses its deadline and takes effect late. Its release must overwrite the row that the
    // earlier attempt released.
    it("does not let a late claim replace an earlier release", async () => {
        expectGranted(await first.claim(KEY)).release();
        await harness.clock.advance(TIMEOUT);
        const later = Array.from({ length: 500 }, () => ({ kind: "RequestLost" }) as const);
        first.writeOutcomes.push(HEALTHY, { kind: "TakesEffectLate", delayMs: 3 * TIMEOUT }, ...later);
        const pending = first.startClaim(KEY);
        await harness.clock.advance(TIMEOUT);
        expect(expectFailure(await pending)).to.include({ verdict: "notRun", reason: "DeadlinePassed" });
        first.writeOutcomes.length = 0;
        await harness.clock.advance(10 * TIMEOUT);
        expectGranted(await second.claim(KEY));
    });

    // Guards against a request that runs twice after a crash: the holder is killed between claim and run, or between
    // run and record, and the caller repeats the key at another node. An old claim must not count as expired.
    it("does not grant the key of a killed holder to another process", async () => {
        expectGranted(await first.claim(KEY));
        first.clock.freeze();
        await harness.clock.advance(3 * DAY);
        const restarted = harness.startNode("node-1");
        expect(expectFailure(await second.claim(KEY))).to.deep.equal(DUPLICATE);
        expect(expectFailure(await restarted.claim(KEY))).to.deep.equal(DUPLICATE);
    });

    // Guards against a request that is sent hours after its caller disconnected: the holder is frozen after its claim
    // and resumes after the deadline. The deadline must be checked again between the claim and the send.
    it("does not let a holder start after its deadline when it was frozen, and releases its key", async () => {
        const claim = expectGranted(await first.claim(KEY));
        first.clock.freeze();
        await harness.clock.advance(DAY);
        first.clock.resume();
        expect(claim.mayStart()).to.equal(false);
        claim.release();
        await harness.clock.advance(100);
        expectGranted(await second.claim(KEY));
    });

    // Guards against two concurrent requests that both run: the same key arrives at nodes of two availability zones
    // within the same millisecond. Both would run if a node read the row and then inserted it without a condition.
    it("grants only one of several concurrent claims of a key", async () => {
        const claims = [first.startClaim(KEY), second.startClaim(KEY), first.startClaim(KEY)];
        await harness.clock.advance(50);
        const results = await Promise.all(claims);
        expect(results.filter(either.isRight)).to.have.length(1);
    });

    // Guards against callers that wait until their deadlines during an outage, and against a load peak when the
    // platform recovers: both occur if each claim calls the platform although it has just refused another claim.
    it("refuses claims immediately while the platform is down, with a retry-after time", async () => {
        first.writeOutcomes.push({ kind: "Unavailable" });
        const pending = first.startClaim(KEY);
        await harness.clock.advance(5);
        const refusal = expectFailure(await pending);
        expect(refusal).to.include({ kind: "Refused", verdict: "notRun", reason: "ClaimUnavailable" });
        const transactionsBefore = first.claimManager.stats().transactions;
        expect(expectFailure(await first.startClaim("lodgement-0002"))).to.include({ reason: "ClaimUnavailable" });
        expect(first.claimManager.stats().transactions).to.equal(transactionsBefore);
        await harness.clock.advance(10_000);
        expectGranted(await first.claim(KEY));
    });

    // Guards against a repeated request without a response after the node that ran it has crashed: the request ran, the
    // platform was down, and the caller repeats the key at another node. Recording the outcome must be retried.
    it("records an outcome after an outage and replays it at any node", async () => {
        const claim = expectGranted(await first.claim(KEY));
        first.writeOutcomes.push(...Array.from({ length: 5 }, () => ({ kind: "Unavailable" }) as const));
        claim.complete({
            status: 201,
            headers: [["Content-Type", "text/plain"], ["Set-Cookie", "secret"]],
            body: Buffer.from("lodged"),
        });
        await harness.clock.advance(30_000);
        expect(await second.claim(KEY)).to.deep.equal(either.right({
            kind: "Replay",
            answer: { status: 201, headers: [["content-type", "text/plain"]], body: Buffer.from("lodged") },
        }));
    });

    it("reports that the request already ran when its response was too large to store", async () => {
        expectGranted(await first.claim(KEY)).complete({ status: 200, headers: [], body: Buffer.alloc(17 * 1024) });
        expect(await first.claim(KEY)).to.deep.equal(either.right({ kind: "AlreadyRan", status: 200 }));
        expect(await second.claim(KEY)).to.deep.equal(either.right({ kind: "AlreadyRan", status: 200 }));
    });

    it("refuses another request with a used key", async () => {
        expectGranted(await first.claim(KEY));
        expect(expectFailure(await first.claim(KEY, "other"))).to.include({ kind: "BadRequest" });
        expect(expectFailure(await second.claim(KEY, "other"))).to.include({ kind: "BadRequest" });
    });

    it("releases the key when the caller disconnects before the claim is decided", async () => {
        const caller = new AbortController();
        const pending = first.startClaim(KEY, caller.signal);
        caller.abort();
        expect(expectFailure(await pending)).to.include({ verdict: "notRun", reason: "Cancelled" });
        expectGranted(await first.claim(KEY));
    });

    // Guards against one repeated key that makes 63 other claims fail: they share a transaction, which fails as a whole
    // when the condition of one key fails.
    it("commits the other claims of a batch when one key is already claimed", async () => {
        expectGranted(await second.claim("lodgement-0007"));
        const before = first.claimManager.stats().transactions;
        const keys = Array.from({ length: 64 }, (_, index) => `lodgement-${String(index).padStart(4, "0")}`);
        const pending = keys.map((key) => first.startClaim(key));
        await harness.clock.advance(50);
        const results = await Promise.all(pending);
        expect(results.filter(either.isRight)).to.have.length(63);
        expect(first.claimManager.stats().transactions - before).to.equal(2);
    });

    // Guards against a request that runs again after a day: its row is deleted after the retention time, and a repeated
    // request then finds no row, as for a key that was never used.
    it("refuses a key with a timestamp older than the retention time or in the future", async () => {
        const createTimedKey = (time: number): string => {
            const hex = time.toString(16).padStart(12, "0");
            return `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-000000000001`;
        };
        await harness.clock.advance(2 * DAY);
        const now = harness.clock.now();
        expect(expectFailure(await first.claim(createTimedKey(now - DAY)))).to.deep.equal(DUPLICATE);
        expect(expectFailure(await first.claim(createTimedKey(now + 60_000)))).to.include({ kind: "BadRequest" });
        expectGranted(await first.claim(createTimedKey(now)));
    });
});
