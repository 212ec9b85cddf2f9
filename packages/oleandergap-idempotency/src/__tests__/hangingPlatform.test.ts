import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import type { CallOutcome } from "../measure/memoryTable.js";
import {
    createClaimHarness,
    expectFailure,
    expectGranted,
    TIMEOUT,
    type ClaimHarness,
    type ClaimNode,
} from "./support/claimHarness.js";

/** Default value of `answerTimeoutMs`. */
const RESPONSE_TIMEOUT = 500;
/** Time after which a hanging call fails, in milliseconds. */
const CALL_TIMEOUT = 2000;
const UNAVAILABLE = { kind: "Refused", verdict: "notRun", reason: "ClaimUnavailable" };

const repeatOutcome = (outcome: CallOutcome): CallOutcome[] => Array.from({ length: 500 }, () => outcome);
const createHangingCalls = (takesEffectAfterMs?: number): CallOutcome[] =>
    repeatOutcome({ kind: "Hangs", failsAfterMs: CALL_TIMEOUT, takesEffectAfterMs });
const formatKey = (index: number): string => `lodgement-${String(index).padStart(4, "0")}`;

describe("createClaimManager while the platform hangs", () => {
    let harness: ClaimHarness;
    let node: ClaimNode;

    beforeEach(() => {
        harness = createClaimHarness();
        node = harness.startNode("node-1");
    });
    afterEach(() => harness.stop());

    /** Starts a first claim while the platform hangs and returns its failure. */
    const claimDuringHang = async (): Promise<ReturnType<typeof expectFailure>> => {
        const pending = node.startClaim(formatKey(0));
        await harness.clock.advance(RESPONSE_TIMEOUT);
        return expectFailure(await pending);
    };

    // Guards against requests that wait until their deadline during an outage. Many of them fail with "may have run"
    // although nothing ran: the platform accepts the write and never responds, and gate and gateway reach the deadline
    // together. A missing response must count as an outage, not only a refusal.
    it("refuses the first claim long before its deadline and the next ones immediately without a call", async () => {
        node.writeOutcomes.push(...createHangingCalls());
        expect(await claimDuringHang()).to.include(UNAVAILABLE);
        const transactionsBefore = node.claimManager.stats().transactions;
        expect(expectFailure(await node.startClaim(formatKey(1)))).to.include(UNAVAILABLE);
        expect(node.claimManager.stats().transactions).to.equal(transactionsBefore);
    });

    // Guards against callers that retry after the retry-after time and then all wait for a timeout again: at the end of
    // each open time, all claims would call a platform that still hangs. The end of the open time is not the end of the
    // outage.
    it("lets one claim through as a probe after the retry-after time and refuses the others immediately", async () => {
        node.writeOutcomes.push(...createHangingCalls());
        const refusal = await claimDuringHang();
        await harness.clock.advance("retryAfterMs" in refusal ? refusal.retryAfterMs : 0);
        const probe = node.startClaim(formatKey(1));
        const other = expectFailure(await node.startClaim(formatKey(2)));
        expect(other).to.deep.equal({ ...UNAVAILABLE, retryAfterMs: RESPONSE_TIMEOUT });
        await harness.clock.advance(RESPONSE_TIMEOUT);
        expect(expectFailure(await probe)).to.include(UNAVAILABLE);
    });

    // Guards against requests that are still refused after an outage: the caller of the probe disconnects, so the probe
    // never reports a result, and no other claim may call the platform until it does.
    it("lets another claim through when the caller of the probe disconnects, and accepts claims after it", async () => {
        node.writeOutcomes.push(...createHangingCalls());
        const refusal = await claimDuringHang();
        await harness.clock.advance("retryAfterMs" in refusal ? refusal.retryAfterMs : 0);
        const caller = new AbortController();
        const probe = node.startClaim(formatKey(1), caller.signal);
        caller.abort();
        expect(expectFailure(await probe)).to.include({ verdict: "notRun", reason: "Cancelled" });
        node.writeOutcomes.length = 0;
        await harness.clock.advance(RESPONSE_TIMEOUT);
        expectGranted(await node.claim(formatKey(2)));
        expectGranted(await node.claim(formatKey(3)));
    });

    // Guards against a backoff of seconds after the first 500 ms of an outage: many claims are in flight when the
    // platform stops responding, and each of them would count as one more consecutive failure.
    it("counts claims that were in flight together as one failure", async () => {
        node.writeOutcomes.push(...createHangingCalls());
        const pending: Promise<unknown>[] = [];
        for (let index = 0; index < 40; index++) {
            pending.push(node.startClaim(formatKey(index)));
            await harness.clock.advance(10);
        }
        await harness.clock.advance(RESPONSE_TIMEOUT);
        await Promise.all(pending);
        const probe = node.startClaim(formatKey(100));
        await harness.clock.advance(RESPONSE_TIMEOUT);
        const refusal = expectFailure(await probe);
        // After two consecutive failures: 20 ms plus a jitter below 40 ms.
        expect("retryAfterMs" in refusal && refusal.retryAfterMs).to.be.within(20, 60);
    });

    // Guards against a request that runs although its caller received notRun, or whose key stays blocked: the claim is
    // refused because the platform does not respond, and its write takes effect later. The late row must not count as a
    // claim with a holder.
    it("never grants a refused claim, and releases its key when the write takes effect late", async () => {
        node.writeOutcomes.push(...createHangingCalls(3 * CALL_TIMEOUT));
        expect(await claimDuringHang()).to.include(UNAVAILABLE);
        node.writeOutcomes.length = 0;
        await harness.clock.advance(20 * CALL_TIMEOUT);
        expect(node.claimManager.stats().granted).to.equal(0);
        expectGranted(await harness.startNode("node-2").claim(formatKey(0)));
    });

    it("refuses a repeated claim immediately while the earlier attempt is not settled", async () => {
        node.writeOutcomes.push(...createHangingCalls());
        await claimDuringHang();
        expect(expectFailure(await node.startClaim(formatKey(0)))).to.include(UNAVAILABLE);
    });

    // Guards against a platform that responds in 300 ms but counts as down: claims that wait in the queue for earlier
    // claims or need two writes take more than 500 ms in total. The timeout must apply to the time without any
    // response, not to the whole claim.
    it("continues to use a platform that is slow but responds", async () => {
        expectGranted(await node.claim(formatKey(0))).release();
        await harness.clock.advance(TIMEOUT);
        node.writeOutcomes.push(...repeatOutcome({ kind: "Answered", delayMs: 300 }));
        const other = harness.startNode("node-2");
        other.writeOutcomes.push(...repeatOutcome({ kind: "Answered", delayMs: 300 }));
        const pending = [other.startClaim(formatKey(0))];
        for (let index = 1; index <= 100; index++) {
            pending.push(node.startClaim(formatKey(index)));
            await harness.clock.advance(10);
        }
        await harness.clock.advance(TIMEOUT);
        expect((await Promise.all(pending)).filter(either.isLeft)).to.deep.equal([]);
    });
});
