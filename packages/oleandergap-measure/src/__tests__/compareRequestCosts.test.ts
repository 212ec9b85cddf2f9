import { expect } from "chai";
import { compareRequestCosts } from "../cost/compareRequestCosts.js";
import type { RequestCost } from "../cost/measureRequestCost.js";

const createCost = (gateMs: number, entryMs = 2, answeredShare = 1): RequestCost =>
    ({ gateMs, entryMs, answeredShare });

describe("compareRequestCosts", () => {
    it("compares the builds within each round, so that a slow round does not count for one of them", () => {
        const comparison = compareRequestCosts([
            { baseline: createCost(1), candidate: createCost(0.8) },
            { baseline: createCost(10), candidate: createCost(8) },
            { baseline: createCost(2), candidate: createCost(1.8) },
        ]);
        expect(comparison.gateRatio).to.equal(0.8);
        expect(comparison.gateRatioRange).to.deep.equal([0.8, 0.9]);
        expect(comparison.entryRatio).to.equal(1);
    });

    it("reports the median costs and the smallest answered share", () => {
        const { rounds, baseline } = compareRequestCosts([
            { baseline: createCost(1, 2, 0.9), candidate: createCost(1) },
            { baseline: createCost(3, 4), candidate: createCost(1) },
        ]);
        expect(rounds).to.equal(2);
        expect(baseline).to.deep.equal({ gateMs: 2, entryMs: 3, answeredShare: 0.9 });
    });

    it("rejects a comparison without rounds", () => {
        expect(() => compareRequestCosts([])).to.throw(RangeError);
    });
});
