import { expect } from "chai";
import type { RoutableTarget } from "../index.js";
import {
    answered,
    connectFailed,
    countFor,
    createPickerHarness,
    createRow,
    createTargets,
    queueFull,
} from "./pickerHarness.js";

const targets = [...createTargets("hall-a", 4), ...createTargets("hall-b", 4), ...createTargets("hall-c", 4)];
const evenRow = createRow({ "hall-a": 1, "hall-b": 1, "hall-c": 1 });

const failZones = (...zones: readonly string[]) => ({ zone }: RoutableTarget) =>
    zones.includes(zone) ? connectFailed : answered;

describe("zones under failure", () => {
    // Guards against failing a third of all requests while a network partition makes a zone unreachable, because the
    // weights are applied although no target of that zone can be reached.
    it("moves the share of an unreachable zone to other zones and returns it gradually", async () => {
        const harness = createPickerHarness(targets, evenRow);
        await harness.send(30);
        const countsWhileUnreachable = await harness.send(600, failZones("hall-b"));
        expect(countFor(countsWhileUnreachable, "hall-b")).to.be.at.most(8);
        expect(Math.abs(countFor(countsWhileUnreachable, "hall-a") - countFor(countsWhileUnreachable, "hall-c")))
            .to.be.at.most(3);
        harness.clock.freeze(5000);
        const countWhileRecovering = countFor(await harness.send(300), "hall-b");
        await harness.send(300, undefined, 100);
        const countAfterRecovery = countFor(await harness.send(300), "hall-b");
        expect(countWhileRecovering).to.be.within(10, 90);
        expect(countAfterRecovery).to.be.within(98, 102);
    });

    // Guards against a partitioned zone that fails its own callers although its own targets are healthy, because its
    // nodes keep sending two thirds of their requests to the other zones.
    it("keeps using local targets when the other zones are unreachable", async () => {
        const harness = createPickerHarness(targets, evenRow);
        await harness.send(60, failZones("hall-b", "hall-c"));
        const counts = await harness.send(300, failZones("hall-b", "hall-c"));
        expect(countFor(counts, "hall-a")).to.be.at.least(295);
    });

    // Guards against a service that stays refused after a short network fault of this node. If every zone failed at
    // once and none were used any more, no request would be sent before the backoff ends.
    it("keeps sending requests when every zone seems unreachable", async () => {
        const harness = createPickerHarness(targets, evenRow);
        await harness.send(200, () => connectFailed);
        expect(countFor(await harness.send(30), "hall-")).to.equal(30);
    });

    // Guards against requests that go to other zones although the local zone has free slots. Idle gates refuse
    // deadlines shorter than the service time; such refusals must not count as lack of capacity.
    it("does not treat a refused deadline as lack of capacity while gates have free slots", () => {
        const harness = createPickerHarness(targets, evenRow);
        const idleLoad = { inFlight: 1, queued: 0, capacity: 10, expectedWaitMs: 0 };
        for (let count = 0; count < 50; count++) {
            harness.pick()?.report({ kind: "Refused", reason: "DeadlineTooShort" }, idleLoad);
        }
        expect(harness.zone("hall-a")?.spill).to.equal(0);
    });

    it("treats a refused deadline as lack of capacity if the gate reports a wait although slots are free", () => {
        const harness = createPickerHarness(targets, evenRow);
        const limitedLoad = { inFlight: 1, queued: 1, capacity: 3, expectedWaitMs: 800 };
        for (let count = 0; count < 50; count++) {
            harness.pick()?.report({ kind: "Refused", reason: "DeadlineTooShort" }, limitedLoad);
        }
        expect(harness.zone("hall-a")?.spill).to.be.greaterThan(0.3);
    });

    // Guards against a zone that refuses requests while the others have capacity, and against zones that are overloaded
    // in turn. Without spill, hall-a refuses two thirds of its share; if its share returned at once, all 20 nodes would
    // switch back together.
    it("spills what an overloaded zone refuses without oscillation and returns the share afterwards", async () => {
        const nodes = Array.from({ length: 20 }, (_, seed) => createPickerHarness(targets, evenRow, {}, "hall-b", seed));
        const roundRefusals: number[] = [];
        const runRound = async (capacity: number): Promise<number> => {
            let received = 0;
            let refusals = 0;
            for (const node of nodes) {
                const counts = await node.send(15, ({ zone }) => {
                    if (zone !== "hall-a") {
                        return answered;
                    }
                    received += 1;
                    refusals += received > capacity ? 1 : 0;
                    return received > capacity ? queueFull : answered;
                }, 10);
                expect(countFor(counts, "hall-")).to.equal(15);
            }
            roundRefusals.push(refusals);
            return received;
        };
        const receivedBefore = await runRound(1000);
        const receivedPerRound: number[] = [];
        for (let round = 0; round < 100; round++) {
            receivedPerRound.push(await runRound(33));
        }
        expect(receivedBefore).to.be.within(90, 110);
        expect(Math.max(...receivedPerRound.slice(40))).to.be.at.most(60);
        expect(Math.min(...receivedPerRound.slice(40))).to.be.at.least(25);
        expect(roundRefusals.slice(-60).reduce((sum, count) => sum + count, 0)).to.be.at.most(60 * 20);
        for (let round = 0; round < 200; round++) {
            await runRound(1000);
        }
        expect(await runRound(1000)).to.be.within(90, 110);
    });
});
