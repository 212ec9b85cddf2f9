import { expect } from "chai";
import { createPickerHarness, createRow, createTargets } from "./pickerHarness.js";

const USUAL_MS = 30;
const EXPIRY_MS = 300;

describe("a target at which calls expire", () => {
    // Guards against calls that keep expiring at one slow target while the other targets have most of their slots free.
    // Callers disconnect before this node's deadline, so without counting their waits, the slow target would get no
    // failures and its expired calls would not count as load.
    it("receives few of the later calls", async () => {
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
