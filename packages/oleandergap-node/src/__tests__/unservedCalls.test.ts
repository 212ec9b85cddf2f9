import { expect } from "chai";
import { createManualClock } from "oleandergap-utils";
import { createUnservedCalls } from "../gate/unservedCalls.js";

describe("createUnservedCalls", () => {
    // Symptom: seven in ten runs of a service fail, and nobody upstream can tell that from faulty targets.
    // Sequence: a run makes a call; its service refuses; the target answers the run with 500 a moment later.
    // Cause: the refusal and the failure pass the same node, and nothing brought them together.
    it("explains a failed run by a call that was not served just before", async () => {
        const clock = createManualClock();
        const calls = createUnservedCalls(clock);
        const startedAt = clock.monotonic();
        await clock.advance(100);
        calls.note();
        await clock.advance(5);
        expect(calls.explain(startedAt)).to.equal(true);
        expect(calls.explain(startedAt)).to.equal(false);
    });

    it("explains nothing by what was not served before the run, or long before it failed", async () => {
        const clock = createManualClock();
        const calls = createUnservedCalls(clock);
        calls.note();
        await clock.advance(1);
        const startedAt = clock.monotonic();
        expect(calls.explain(startedAt)).to.equal(false);
        calls.note();
        await clock.advance(200);
        expect(calls.explain(startedAt)).to.equal(false);
    });

    it("explains one run by each", async () => {
        const clock = createManualClock();
        const calls = createUnservedCalls(clock);
        const startedAt = clock.monotonic();
        calls.note();
        calls.note();
        expect([1, 2, 3].map(() => calls.explain(startedAt))).to.deep.equal([true, true, false]);
    });
});
