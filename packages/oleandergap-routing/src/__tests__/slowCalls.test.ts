import { expect } from "chai";
import { createPickerHarness, createRow, createTargets } from "./pickerHarness.js";

const USUAL_MS = 100;
const HELD_UP_MS = 700;
const LEFT_MS = 600;
const CUT_OFF = new Set(["hall-c-0", "hall-c-1"]);

describe("targets whose runs wait for slow downstream calls", () => {
    // Guards against ejecting healthy targets while a zone is unreachable. Runs everywhere wait for calls to that zone,
    // and a comparison with past latencies would eject half of all targets as slow. The targets in the unreachable zone
    // could then not be ejected, and requests would wait there.
    it("are not ejected, unlike unreachable targets", async () => {
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
            // Callers disconnect before the connection attempt times out.
            clock.after(isLost ? LEFT_MS : latencyMs, () => chosen?.report(
                isLost ? { kind: "Abandoned", waitedMs: LEFT_MS } : { kind: "Answered", latencyMs },
                isLost ? undefined : load,
            ));
            await clock.advance(10);
        }
        // The two unreachable targets are ejected, and at most one healthy one. They receive 23 and 2 requests in the
        // two halves; if targets were compared with past latencies, it would be 100 and 127.
        expect(zone("")?.ejected).to.be.within(2, 3);
        expect(sentToCutOff[0]).to.be.below(40);
        expect(sentToCutOff[1]).to.be.below(12);
    });
});
