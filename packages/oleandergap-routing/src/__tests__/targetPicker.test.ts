import { expect } from "chai";
import fastCheck from "fast-check";
import { answered, connectFailed, countFor, createPickerHarness, createRow, createTargets, queueFull } from "./pickerHarness.js";

const threeZones = [...createTargets("hall-a", 4), ...createTargets("hall-b", 4), ...createTargets("hall-c", 4)];

describe("createTargetPicker", () => {
    it("gives each zone its exact share within two requests", async () => {
        await fastCheck.assert(fastCheck.asyncProperty(
            fastCheck.record({
                "hall-a": fastCheck.nat(100),
                "hall-b": fastCheck.nat(100),
                "hall-c": fastCheck.nat(100),
            }),
            fastCheck.integer({ min: 1, max: 400 }),
            fastCheck.nat(),
            async (weights, count, seed) => {
                const harness = createPickerHarness(threeZones, createRow(weights), {}, "hall-a", seed);
                const counts = await harness.send(count);
                const total = Object.values(weights).reduce((sum, weight) => sum + weight, 0);
                for (const [zone, weight] of Object.entries(weights)) {
                    const exact = total === 0 ? 0 : (count * weight) / total;
                    expect(Math.abs(countFor(counts, zone) - exact)).to.be.at.most(weight === 0 ? 0 : 2);
                }
            },
        ), { numRuns: 60 });
    });

    it("never uses a zone of weight 0, even if the other zones fail", async () => {
        const harness = createPickerHarness(threeZones, createRow({ "hall-a": 1, "hall-b": 0 }));
        const refused = await harness.send(200, () => queueFull);
        const failed = await harness.send(200, () => connectFailed);
        for (const counts of [refused, failed]) {
            expect(countFor(counts, "hall-b") + countFor(counts, "hall-c")).to.equal(0);
        }
        const allOfZone = createTargets("hall-a", 4).map(({ nodeId }) => nodeId);
        expect(harness.pick(allOfZone)).to.equal(undefined);
    });

    it("never picks a leaving target or one that the request was already sent to", async () => {
        const targets = createTargets("hall-a", 4).map((target, index) => ({ ...target, leaving: index === 0 }));
        const harness = createPickerHarness(targets, createRow({ "hall-a": 1 }));
        expect((await harness.send(100)).has("hall-a-0")).to.equal(false);
        for (let count = 0; count < 50; count++) {
            expect(harness.pick(["hall-a-1", "hall-a-2"])?.target.nodeId).to.equal("hall-a-3");
        }
    });

    it("applies a changed row or directory at the next pick", async () => {
        const harness = createPickerHarness(threeZones, createRow({ "hall-a": 1 }));
        await harness.send(10);
        harness.setRow(createRow({ "hall-b": 1 }));
        expect(countFor(await harness.send(10), "hall-b")).to.equal(10);
        harness.setTargets(createTargets("hall-c", 4));
        expect(harness.pick()).to.equal(undefined);
    });

    it("prefers targets whose gates report free slots", async () => {
        const harness = createPickerHarness(createTargets("hall-a", 2), createRow({ "hall-a": 1 }));
        const busyLoad = { inFlight: 9, queued: 5, capacity: 10, expectedWaitMs: 50 };
        const idleLoad = { inFlight: 0, queued: 0, capacity: 10, expectedWaitMs: 0 };
        let idlePicks = 0;
        for (let count = 0; count < 100; count++) {
            const chosen = harness.pick();
            const isIdle = chosen?.target.nodeId === "hall-a-1";
            idlePicks += isIdle ? 1 : 0;
            chosen?.report({ kind: "Answered", latencyMs: 10 }, isIdle ? idleLoad : busyLoad);
            harness.clock.freeze(1);
        }
        expect(idlePicks).to.be.at.least(98);
    });

    it("decays a load report, so that an old one does not exclude a target", async () => {
        const harness = createPickerHarness(createTargets("hall-a", 2), createRow({ "hall-a": 1 }));
        const busyLoad = { inFlight: 9, queued: 5, capacity: 10, expectedWaitMs: 50 };
        const first = harness.pick();
        first?.report({ kind: "Answered", latencyMs: 10 }, busyLoad);
        harness.clock.freeze(3000);
        const counts = await harness.send(100);
        expect(counts.get(first?.target.nodeId ?? "")).to.be.at.least(25);
    });

    // Guards against a target that stays unused after its request limit has ended, as no response reports its capacity.
    it("uses a target less while its reported capacity is reduced, and again when the report is old", async () => {
        const harness = createPickerHarness(createTargets("hall-a", 2), createRow({ "hall-a": 1 }));
        const limitedLoad = { inFlight: 0, queued: 0, capacity: 1, expectedWaitMs: 0 };
        const first = harness.pick();
        first?.report({ kind: "Answered", latencyMs: 10 }, limitedLoad);
        const nodeId = first?.target.nodeId ?? "";
        expect((await harness.send(100)).get(nodeId) ?? 0).to.be.at.most(10);
        harness.clock.freeze(10_000);
        expect((await harness.send(100)).get(nodeId)).to.be.at.least(25);
    });

    it("stays in the local zone with even callers and weights, and leaves it when it is overloaded", async () => {
        const weights = createRow({ "hall-a": 1, "hall-b": 1, "hall-c": 1 });
        const harness = createPickerHarness(threeZones, weights, { callerSpread: "evenOverZones" }, "hall-b");
        expect(countFor(await harness.send(90), "hall-b")).to.equal(90);
        const countsWhenOverloaded = await harness.send(90, ({ zone }) => zone === "hall-b" ? queueFull : answered);
        expect(countFor(countsWhenOverloaded, "hall-b")).to.be.below(45);
        expect(countFor(countsWhenOverloaded, "hall-a")).to.be.closeTo(countFor(countsWhenOverloaded, "hall-c"), 2);
    });

    it("applies the slow start to new targets, but not relative to other new targets", async () => {
        const establishedTargets = createTargets("hall-a", 4);
        const newTargets = createTargets("hall-a-young", 1, 1_000_000).map((target) => ({ ...target, zone: "hall-a" }));
        const mixedHarness = createPickerHarness([...establishedTargets, ...newTargets], createRow({ "hall-a": 1 }));
        const first = countFor(await mixedHarness.send(500), "hall-a-young");
        mixedHarness.clock.freeze(20_000);
        const later = countFor(await mixedHarness.send(500), "hall-a-young");
        expect(first).to.be.within(3, 30);
        expect(later).to.be.within(70, 130);
        const newTargetsHarness = createPickerHarness(createTargets("hall-a", 4, 1_000_000), createRow({ "hall-a": 1 }));
        const shares = [...(await newTargetsHarness.send(400)).values()];
        expect(Math.min(...shares)).to.be.at.least(60);
    });
});
