import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import fastCheck from "fast-check";
import type { Milliseconds } from "oleandergap-types";
import { createManualClock } from "oleandergap-utils";
import { createRequestRate } from "../requestRate.js";
import { createGateHarness } from "./gateHarness.js";

const WINDOW_MS: Milliseconds = 4000;
const SERVICE_MS: Milliseconds = 40;

/** Counts the largest number of requests in any window that ends at or after `from`. The naive way: every pair. */
const findLargestWindow = (sentAt: readonly Milliseconds[], from: Milliseconds): number =>
    Math.max(0, ...sentAt.filter((end) => end >= from)
        .map((end) => sentAt.filter((at) => at > end - WINDOW_MS && at <= end).length));

describe("createRequestRate", () => {
    it("allows everything without a limit", () => {
        const rate = createRequestRate(createManualClock());
        for (let count = 0; count < 1000; count++) {
            rate.recordRequest();
        }
        expect([rate.timeToNext(), rate.interval()]).to.deep.equal([0, 0]);
    });

    it("keeps every window within one and a half times the limit + 5, whenever the limit is named and changed", async () => {
        const limitArbitrary = fastCheck.double({ min: 0, max: 60, noNaN: true });
        await fastCheck.assert(fastCheck.asyncProperty(
            fastCheck.array(limitArbitrary, { minLength: 1, maxLength: 3 }),
            fastCheck.integer({ min: 1, max: 4 }),
            fastCheck.integer({ min: 5, max: 30 }),
            async (limits, earlierFactor, gapMs) => {
                const clock = createManualClock();
                const rate = createRequestRate(clock);
                const sentAt: Milliseconds[] = [];
                const send = (): void => {
                    rate.recordRequest();
                    sentAt.push(clock.monotonic());
                };
                const limit = Math.max(...limits);
                const earlierRequests = Math.floor(2 * earlierFactor * limit);
                for (let count = 0; count < earlierRequests; count++) {
                    send();
                    await clock.advance(2000 / earlierRequests);
                }
                const namedAt = clock.monotonic();
                for (let step = 0; clock.monotonic() < namedAt + 9000; step++) {
                    rate.setLimit(limits[step % limits.length]);
                    if (rate.timeToNext() === 0) {
                        send();
                    }
                    await clock.advance(gapMs);
                }
                expect(findLargestWindow(sentAt, namedAt + 3000)).to.be.at.most(1.5 * limit * WINDOW_MS / 1000 + 5);
            },
        ), { numRuns: 60 });
    });

    it("sends what the limit allows, once earlier requests are compensated", async () => {
        const clock = createManualClock();
        const rate = createRequestRate(clock);
        for (let count = 0; count < 80; count++) {
            rate.recordRequest();
            await clock.advance(10);
        }
        rate.setLimit(20);
        const countSent = async (durationMs: Milliseconds): Promise<number> => {
            let sent = 0;
            for (let elapsed = 0; elapsed < durationMs; elapsed += 5) {
                sent += rate.timeToNext() === 0 ? 1 : 0;
                if (rate.timeToNext() === 0) {
                    rate.recordRequest();
                }
                await clock.advance(5);
            }
            return sent;
        };
        expect(await countSent(3000)).to.be.within(27, 33);
        expect(await countSent(5000)).to.be.within(95, 105);
    });

    it("still sends a request every other second at a limit of 0, which shows when the limit ends", () => {
        const rate = createRequestRate(createManualClock());
        rate.setLimit(0);
        expect(rate.interval()).to.equal(2000);
        rate.setLimit(undefined);
        expect(rate.timeToNext()).to.equal(0);
    });
});

describe("a gate whose target names a request limit", () => {
    it("starts waiting requests at the rate of the limit although slots are free", async () => {
        const { clock, gate, submit, listInState } = createGateHarness(12, { queue: 50 });
        gate.setRequestLimit(10);
        for (let count = 0; count < 30; count++) {
            await submit();
        }
        await clock.advance(1000);
        expect(listInState("running").length).to.be.within(9, 11);
        gate.setRequestLimit(undefined);
        await clock.advance(0);
        expect(listInState("running")).to.have.length(12);
    });

    it("starts waiting requests soon after the limit has risen", async () => {
        const { clock, gate, submit, listInState } = createGateHarness(12, { queue: 50 });
        gate.setRequestLimit(0.5);
        for (let count = 0; count < 5; count++) {
            await submit();
        }
        gate.setRequestLimit(100);
        await clock.advance(200);
        expect(listInState("running")).to.have.length(5);
    });

    it("refuses a request at once if the limit leaves it no time before its deadline", async () => {
        const { clock, gate, submit, addServiceTimeSamples } = createGateHarness(12, { queue: 50 });
        await addServiceTimeSamples(SERVICE_MS);
        await clock.advance(4000);
        gate.setRequestLimit(2);
        const requests = [];
        for (let count = 0; count < 4; count++) {
            requests.push(await submit("halloway", 1200));
        }
        expect(requests.map(({ state }) => state)).to.deep.equal(["waiting", "waiting", "refused", "refused"]);
        expect(requests.map(({ reason }) => reason).slice(2)).to.deep.equal(["DeadlineTooShort", "DeadlineTooShort"]);
        expect(requests[2]?.retryAfterMs).to.be.within(300, 600);
        await clock.advance(1200);
        expect(requests.map(({ state }) => state).slice(0, 2)).to.deep.equal(["running", "running"]);
    });

    it("reports the slots that the limit leaves usable, and no free one while it allows no request", async () => {
        const { clock, gate, addServiceTimeSamples } = createGateHarness(12);
        await addServiceTimeSamples(SERVICE_MS);
        await clock.advance(4000);
        expect(gate.load()).to.include({ inFlight: 0, queued: 0, capacity: 12, expectedWaitMs: 0 });
        gate.setRequestLimit(75);
        expect(gate.load()).to.include({ inFlight: 0, queued: 1, capacity: 3 });
        expect(gate.load().expectedWaitMs).to.be.greaterThan(0);
        await clock.advance(1000);
        expect(gate.load()).to.include({ inFlight: 0, queued: 0, capacity: 3, expectedWaitMs: 0 });
    });

    it("drains although the limit holds requests back", async () => {
        const { clock, gate, submit, listInState, release } = createGateHarness(2);
        gate.setRequestLimit(1);
        const first = await submit();
        const second = await submit();
        const drained = gate.drain();
        gate.refuseWaiting();
        await clock.advance(5000);
        expect(listInState("refused").length + listInState("running").length).to.equal(2);
        for (const request of [first, second].filter(({ admission }) => admission !== undefined)) {
            await release(request);
        }
        await drained;
    });

    it("counts a request that is sent to the target a second time", async () => {
        const { clock, gate } = createGateHarness(2);
        gate.setRequestLimit(10);
        await clock.advance(1000);
        gate.recordResend();
        expect(gate.countRecentRequests(1000)).to.equal(1);
        const decision = gate.admit({
            partner: "halloway", service: "caller", deadline: clock.monotonic() + 1000, signal: new AbortController().signal,
        });
        expect(either.isRight(await decision)).to.equal(true);
    });
});
