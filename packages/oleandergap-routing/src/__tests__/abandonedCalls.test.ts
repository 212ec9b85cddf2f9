import { expect } from "chai";
import { createPickerHarness, createRow, createTargets } from "./pickerHarness.js";

const TYPICAL_LATENCY_MS = 30;
const CALLER_TIMEOUT_MS = 300;

describe("a target at which calls expire", () => {
    // Guards against calls that keep expiring at one slow target while the other targets have most of their slots free.
    // Callers disconnect before this node's deadline, so without counting their waits, the slow target would get no
    // failures and its expired calls would not count as load.
    it("receives few of the later calls", async () => {
        const row = { ...createRow({}), placement: "load" as const };
        const { clock, pick } = createPickerHarness(createTargets("hall-a", 3), row);
        const counts = { slowTarget: 0, otherTargets: 0 };
        for (let count = 0; count < 400; count++) {
            const chosen = pick();
            const isSlowTarget = chosen?.target.nodeId === "hall-a-0" && count >= 100;
            counts.slowTarget += isSlowTarget ? 1 : 0;
            counts.otherTargets += isSlowTarget || count < 100 ? 0 : 1;
            clock.after(isSlowTarget ? CALLER_TIMEOUT_MS : TYPICAL_LATENCY_MS, () => chosen?.report(
                isSlowTarget ?
                    { kind: "Abandoned", waitedMs: CALLER_TIMEOUT_MS } :
                    { kind: "Answered", latencyMs: TYPICAL_LATENCY_MS },
                isSlowTarget ? undefined : { inFlight: 4, queued: 0, capacity: 10, expectedWaitMs: 0 },
            ));
            await clock.advance(10);
        }
        expect(counts.slowTarget).to.be.below(0.12 * counts.otherTargets);
    });
});
