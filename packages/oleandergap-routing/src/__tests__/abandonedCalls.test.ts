import { expect } from "chai";
import { createPickerHarness, createRow, createTargets } from "./pickerHarness.js";

const USUAL_MS = 30;
const EXPIRY_MS = 300;

describe("calls that expire at a target", () => {
    // Symptom: sixty calls a second expire at one target, while two others of its service have most slots free.
    // Sequence: the process beside the target falls behind; calls wait there until their callers hang up, which ends
    //   their requests before any deadline of this node passes.
    // Cause: nothing was learnt from a caller that hung up, and what had expired no longer counted as load.
    it("lead later calls elsewhere", async () => {
        const row = { ...createRow({}), placement: "load" as const };
        const { clock, pick } = createPickerHarness(createTargets("hall-a", 3), row);
        const counts = { behind: 0, others: 0 };
        for (let count = 0; count < 400; count++) {
            const chosen = pick();
            const isBehind = chosen?.target.nodeId === "hall-a-0" && count >= 100;
            counts.behind += isBehind ? 1 : 0;
            counts.others += isBehind || count < 100 ? 0 : 1;
            clock.after(isBehind ? EXPIRY_MS : USUAL_MS, () => chosen?.report(
                isBehind ? { kind: "Abandoned", waitedMs: EXPIRY_MS } : { kind: "Answered", latencyMs: USUAL_MS },
                isBehind ? undefined : { inFlight: 4, queued: 0, capacity: 10, expectedWaitMs: 0 },
            ));
            await clock.advance(10);
        }
        expect(counts.behind).to.be.below(0.12 * counts.others);
    });
});
