import { expect } from "chai";
import { createManualClock, createTokenBucket, createBulkTokenBucket } from "../index.js";

describe("createTokenBucket", () => {
    it("allows a burst first and limits the rate afterwards", async () => {
        const clock = createManualClock();
        const bucket = createTokenBucket({ clock, ratePerSecond: () => 10, burst: 2 });
        expect([bucket.tryTake(), bucket.tryTake(), bucket.tryTake()]).to.deep.equal([true, true, false]);
        expect(bucket.timeToNext()).to.equal(100);
        await clock.advance(100);
        expect([bucket.tryTake(), bucket.tryTake()]).to.deep.equal([true, false]);
    });

    it("reports an infinite wait if no tokens are added", () => {
        const bucket = createTokenBucket({ clock: createManualClock(), ratePerSecond: () => 0, burst: 1 });
        bucket.tryTake();
        expect(bucket.timeToNext()).to.equal(Number.POSITIVE_INFINITY);
    });
});

describe("createBulkTokenBucket", () => {
    it("returns the time until several tokens are available, and allows a negative number of tokens", async () => {
        const clock = createManualClock();
        const bucket = createBulkTokenBucket({ clock, ratePerSecond: () => 10, burst: 5 });
        expect(bucket.timeUntil(5)).to.equal(0);
        bucket.take(7);
        expect(bucket.timeUntil(1)).to.equal(300);
        await clock.advance(300);
        expect(bucket.timeUntil(1)).to.equal(0);
        expect(bucket.timeUntil(3)).to.equal(200);
    });
});
