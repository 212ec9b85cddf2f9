import { expect } from "chai";
import { createManualClock } from "oleandergap-utils";
import { createUnservedCalls } from "../gate/unservedCalls.js";

describe("createUnservedCalls", () => {
    // Guards against treating targets as faulty because their calls are refused. When a service refuses a call of a
    // run, the target responds to the run with 500 shortly afterwards. Both pass the same node, which must correlate
    // them.
    it("explains a failed run by a call that was not served shortly before", async () => {
        const clock = createManualClock();
        const unservedCalls = createUnservedCalls(clock);
        const startedAt = clock.monotonic();
        await clock.advance(100);
        unservedCalls.note();
        await clock.advance(5);
        expect(unservedCalls.explain(startedAt)).to.equal(true);
        expect(unservedCalls.explain(startedAt)).to.equal(false);
    });

    it("explains no run by a call that was not served before its start or long before its failure", async () => {
        const clock = createManualClock();
        const unservedCalls = createUnservedCalls(clock);
        unservedCalls.note();
        await clock.advance(1);
        const startedAt = clock.monotonic();
        expect(unservedCalls.explain(startedAt)).to.equal(false);
        unservedCalls.note();
        await clock.advance(200);
        expect(unservedCalls.explain(startedAt)).to.equal(false);
    });

    it("explains only one run by each unserved call", async () => {
        const clock = createManualClock();
        const unservedCalls = createUnservedCalls(clock);
        const startedAt = clock.monotonic();
        unservedCalls.note();
        unservedCalls.note();
        expect([1, 2, 3].map(() => unservedCalls.explain(startedAt))).to.deep.equal([true, true, false]);
    });
});
