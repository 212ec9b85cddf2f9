import { expect } from "chai";
import { answered, connectFailed, countFor, createPickerHarness, createRow, createTargets, testService } from "./pickerHarness.js";

const rowPlacedByLoad = { ...createRow({}), placement: "load" as const };
const targets = [...createTargets("hall-a", 2), ...createTargets("hall-b", 1), ...createTargets("hall-c", 3)];

describe("placement by load", () => {
    it("spreads requests evenly without weights", async () => {
        const harness = createPickerHarness(targets, rowPlacedByLoad, { nearLoad: 0 });
        const counts = await harness.send(600);
        expect(counts.size).to.equal(6);
        for (const count of counts.values()) {
            expect(count).to.be.within(60, 140);
        }
    });

    it("prefers the local VM, then the local zone, then any zone as the load rises", () => {
        const harness = createPickerHarness(targets, rowPlacedByLoad, { nearLoad: 0.5, ownLoad: 0.5 });
        const counts = new Map<string, number>();
        for (let sent = 0; sent < 30; sent++) {
            const nodeId = harness.pick()?.target.nodeId ?? "none";
            counts.set(nodeId, (counts.get(nodeId) ?? 0) + 1);
            if (sent === 4) {
                expect([...counts]).to.deep.equal([["hall-a-0", 5]]);
            }
            if (sent === 9) {
                expect(counts.get("hall-a-1")).to.equal(5);
            }
        }
        expect(countFor(counts, "hall-b") + countFor(counts, "hall-c")).to.be.at.least(14);
    });

    it("fills the free slots of the target on the local VM first", () => {
        const harness = createPickerHarness(targets, rowPlacedByLoad, { nearLoad: 0.5 });
        const pickedNodeIds = Array.from({ length: 11 }, () => harness.pick()?.target.nodeId);
        expect(pickedNodeIds.slice(0, 10)).to.deep.equal(Array.from({ length: 10 }, () => "hall-a-0"));
        expect(pickedNodeIds[10]).not.to.equal("hall-a-0");
    });

    it("stops preferring a local target that fails", async () => {
        const harness = createPickerHarness(targets, rowPlacedByLoad);
        const counts = await harness.send(60, ({ nodeId }) => nodeId === "hall-a-0" ? connectFailed : answered);
        expect(counts.get("hall-a-0")).to.be.at.most(6);
    });

    it("does not prefer a local target during its slow start", async () => {
        // Guards against late responses from a target that has just started on a VM with callers, while other targets
        // have free slots. The preference for local targets must not override the small share during slow start.
        const targetsWithNewOne = targets.map((target) =>
            target.nodeId === "hall-a-0" ? { ...target, since: 1_000_000 } : target);
        const harness = createPickerHarness(targetsWithNewOne, rowPlacedByLoad);
        const counts = await harness.send(200);
        expect(counts.get("hall-a-0") ?? 0).to.be.at.most(20);
    });

    it("reports whether a target without an attempt has a free slot", () => {
        const harness = createPickerHarness(createTargets("hall-a", 2), rowPlacedByLoad);
        const request = {
            service: testService,
            row: rowPlacedByLoad,
            targets: createTargets("hall-a", 2),
            canResend: true,
        };
        const hasFreeSlot = (exclude: readonly string[]): boolean =>
            harness.picker.hasFreeSlot({ ...request, exclude });
        const fullLoad = { inFlight: 10, queued: 4, capacity: 10, expectedWaitMs: 80 };
        harness.pick(["hall-a-1"])?.report({ kind: "Refused", reason: "QueueFull" }, fullLoad);
        expect(hasFreeSlot(["hall-a-0"])).to.equal(true);
        expect(hasFreeSlot(["hall-a-1"])).to.equal(false);
        expect(harness.picker.hasFreeSlot({ ...request, row: createRow({ "hall-a": 1 }), exclude: [] })).to.equal(false);
    });
});
