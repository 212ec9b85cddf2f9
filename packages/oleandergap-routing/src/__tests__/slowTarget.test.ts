import { expect } from "chai";
import { createPickerHarness, createRow, createTargets } from "./pickerHarness.js";

const FULL_LOAD = { inFlight: 10, queued: 5, capacity: 10, expectedWaitMs: 50 };
const FREE_LOAD = { inFlight: 3, queued: 0, capacity: 10, expectedWaitMs: 0 };

describe("slow targets", () => {
    // Guards against requests piling up for a second at a target that has become slow. Its latency is measured only
    // when a response arrives, so the age of its unanswered requests must count.
    it("avoids a target whose unanswered requests are old", async () => {
        const harness = createPickerHarness(createTargets("hall-a", 2), createRow({ "hall-a": 1 }));
        await harness.send(100, () => ({ kind: "Answered", latencyMs: 10 }));
        const first = harness.pick();
        harness.clock.freeze(100);
        const laterNodeIds = Array.from({ length: 4 }, () => harness.pick()?.target.nodeId);
        expect(laterNodeIds).to.not.include(first?.target.nodeId);
    });

    // Guards against one request in twenty going to a slow target while another zone is idle. One of the zone's two
    // targets is ejected, and the other queues requests until its latency is so high that the ejected one no longer
    // counts as slow. A zone that queues refuses nothing, so it would keep its whole share.
    it("moves part of a zone's share while its available targets queue requests", async () => {
        const targets = [...createTargets("hall-a", 2), ...createTargets("hall-b", 2)];
        const harness = createPickerHarness(targets, createRow({ "hall-a": 1, "hall-b": 1 }));
        const send = async (count: number): Promise<number> => {
            let sentToZoneA = 0;
            for (let sent = 0; sent < count; sent++) {
                const chosen = harness.pick();
                const isInZoneA = chosen?.target.zone === "hall-a";
                sentToZoneA += isInZoneA ? 1 : 0;
                chosen?.report({ kind: "Answered", latencyMs: 10 }, isInZoneA ? FULL_LOAD : FREE_LOAD);
                harness.clock.freeze(1);
            }
            return sentToZoneA;
        };
        expect(await send(200), "queued requests alone move no share").to.be.within(98, 102);
        for (let count = 0; count < 4; count++) {
            harness.pick(["hall-a-1", "hall-b-0", "hall-b-1"])?.report({ kind: "Answered", latencyMs: 500 });
        }
        expect(harness.zone("hall-a")?.ejected).to.equal(1);
        expect(await send(200)).to.be.below(80);
    });

    // Guards against ejecting healthy targets in turn. A service has calls of 50 ms and reads of 900 ms, and a few
    // consecutive reads at one target must not be compared with the typical latency of all kinds.
    it("does not eject a target that runs long requests", () => {
        const harness = createPickerHarness(createTargets("hall-a", 2), createRow({ "hall-a": 1 }));
        const send = (kind: string, latencyMs: number): void => {
            harness.pick([], true, kind)?.report({ kind: "Answered", latencyMs });
            harness.clock.freeze(10);
        };
        for (let count = 0; count < 60; count++) {
            send("call", 50);
            send("call", 50);
            send("read", 900);
        }
        for (let count = 0; count < 20; count++) {
            send("read", 900);
            expect(harness.zone("hall-a")?.ejected).to.equal(0);
        }
    });
});
