import { expect } from "chai";
import { createPickerHarness, createRow, createTargets } from "./pickerHarness.js";

const USUAL_MS = 100;
const HELD_UP_MS = 700;
const LEFT_MS = 600;
const CUT_OFF = new Set(["hall-c-0", "hall-c-1"]);

describe("targets whose runs wait for slow calls", () => {
    // Symptom: in a cut of an availability zone, requests wait for its targets until their callers leave, while targets
    //   nearby have most slots free.
    // Sequence: a zone is cut off; runs everywhere wait for calls that went there; several slow answers in a row eject
    //   good targets, up to half of all; those in the cut-off zone stay.
    // Cause: each target was compared with the usual latency of the past, not with the others of the moment.
    it("stay, and those that are cut off go", async () => {
        const targets = [...createTargets("hall-a", 3), ...createTargets("hall-b", 2), ...createTargets("hall-c", 2)];
        const row = { ...createRow({}), placement: "load" as const };
        const { clock, pick, zone } = createPickerHarness(targets, row);
        const sentToCutOff = [0, 0];
        for (let count = 0; count < 600; count++) {
            const chosen = pick();
            const isCut = count >= 200;
            const isLost = isCut && CUT_OFF.has(chosen?.target.nodeId ?? "");
            const isLateHalf = count >= 400;
            sentToCutOff[isLateHalf ? 1 : 0] = (sentToCutOff[isLateHalf ? 1 : 0] ?? 0) + (isLost ? 1 : 0);
            const latencyMs = isCut && count % 10 < 7 ? HELD_UP_MS : USUAL_MS;
            const load = { inFlight: 6, queued: 0, capacity: 10, expectedWaitMs: 0 };
            // Callers leave before the connection is given up.
            clock.after(isLost ? LEFT_MS : latencyMs, () => chosen?.report(
                isLost ? { kind: "Abandoned", waitedMs: LEFT_MS } : { kind: "Answered", latencyMs },
                isLost ? undefined : load,
            ));
            await clock.advance(10);
        }
        // The two that are cut off, and no good one, or hardly; 100 and 127 requests went there before, 23 and 2 now.
        expect(zone("")?.ejected).to.be.within(2, 3);
        expect(sentToCutOff[0]).to.be.below(40);
        expect(sentToCutOff[1]).to.be.below(12);
    });
});
