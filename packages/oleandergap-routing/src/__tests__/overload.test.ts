import { expect } from "chai";
import { basePlan, runLoad } from "../measure/index.js";

const shortRunPlan = { ...basePlan, durationMs: 4000, warmUpMs: 2000, targets: 3, gateways: 4 };

describe("overload", () => {
    // Guards against a service that answers almost no requests in time under overload. Unbounded queues serve requests
    // whose callers have disconnected, and retries multiply the load.
    it("keeps the goodput at four times the capacity and refuses the remaining requests at once", async () => {
        const atCapacity = await runLoad("ours", shortRunPlan);
        const overloaded = await runLoad("ours", { ...shortRunPlan, load: 4 });
        const naive = await runLoad("naive", { ...shortRunPlan, load: 4 });
        expect(overloaded.goodputShare).to.be.at.least(0.95 * atCapacity.goodputShare);
        expect(overloaded.refusalP99Ms).to.be.below(5);
        expect(overloaded.attemptsPerRequest).to.be.below(1.1);
        expect(overloaded.duplicateRuns).to.equal(0);
        expect(naive.goodputShare).to.be.below(overloaded.goodputShare);
    });
});
