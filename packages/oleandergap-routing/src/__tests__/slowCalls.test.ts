import { expect } from "chai";
import { createPickerHarness, createRow, createTargets } from "./pickerHarness.js";

const TYPICAL_LATENCY_MS = 100;
const DELAYED_LATENCY_MS = 700;
const CALLER_WAIT_MS = 600;
const UNREACHABLE_NODES = new Set(["hall-c-0", "hall-c-1"]);

describe("targets whose runs wait for slow downstream calls", () => {
    // Guards against ejecting healthy targets while a zone is unreachable. Runs everywhere wait for calls to that zone,
    // and several slow responses in a row could eject half of all targets. The targets in the unreachable zone could
    // then not be ejected, and requests would wait there.
    it("are not ejected, unlike unreachable targets", async () => {
        const targets = [...createTargets("hall-a", 3), ...createTargets("hall-b", 2), ...createTargets("hall-c", 2)];
        const row = { ...createRow({}), placement: "load" as const };
        const { clock, pick, zone } = createPickerHarness(targets, row);
        const sentToUnreachable = [0, 0];
        for (let count = 0; count < 600; count++) {
            const chosen = pick();
            const isZoneUnreachable = count >= 200;
            const isLost = isZoneUnreachable && UNREACHABLE_NODES.has(chosen?.target.nodeId ?? "");
            const isSecondHalf = count >= 400;
            sentToUnreachable[isSecondHalf ? 1 : 0] = (sentToUnreachable[isSecondHalf ? 1 : 0] ?? 0) + (isLost ? 1 : 0);
            const latencyMs = isZoneUnreachable && count % 10 < 7 ? DELAYED_LATENCY_MS : TYPICAL_LATENCY_MS;
            const load = { inFlight: 6, queued: 0, capacity: 10, expectedWaitMs: 0 };
            // Callers disconnect before the connection attempt times out.
            clock.after(isLost ? CALLER_WAIT_MS : latencyMs, () => chosen?.report(
                isLost ? { kind: "Abandoned", waitedMs: CALLER_WAIT_MS } : { kind: "Answered", latencyMs },
                isLost ? undefined : load,
            ));
            await clock.advance(10);
        }
        // The two unreachable targets and hardly any other are ejected. The unreachable targets receive 23 requests in
        // the first half of the outage and 2 in the second. If latencies were compared with past ones instead of with
        // the other targets, they would receive 100 and 127.
        expect(zone("")?.ejected).to.be.within(2, 3);
        expect(sentToUnreachable[0]).to.be.below(40);
        expect(sentToUnreachable[1]).to.be.below(12);
    });
});
