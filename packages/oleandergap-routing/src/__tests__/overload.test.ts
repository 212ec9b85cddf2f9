import { expect } from "chai";
import { basePlan, runLoad } from "../measure/index.js";

const shortPlan = { ...basePlan, durationMs: 4000, warmUpMs: 2000, targets: 3, gateways: 4 };

describe("overload", () => {
    // Guards against a service that answers almost no requests in time under overload. Unbounded queues serve requests
    // whose callers have given up, and retries multiply the load.
    it("keeps the goodput at four times the capacity and refuses the remaining requests at once", async () => {
        const atCapacity = await runLoad("ours", shortPlan);
        const overloaded = await runLoad("ours", { ...shortPlan, load: 4 });
        const naive = await runLoad("naive", { ...shortPlan, load: 4 });
        expect(overloaded.goodputPart).to.be.at.least(0.95 * atCapacity.goodputPart);
        expect(overloaded.refusalP99Ms).to.be.below(5);
        expect(overloaded.attemptsPerRequest).to.be.below(1.1);
        expect(overloaded.doubledRuns).to.equal(0);
        expect(naive.goodputPart).to.be.below(overloaded.goodputPart);
    });
});
