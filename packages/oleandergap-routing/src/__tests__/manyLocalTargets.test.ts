// Guards against targets of a large zone with several times the load of others. If all nodes listed the zone's 20
// targets in the same order, they would all score the same first eight and find a free slot there.
import { expect } from "chai";
import { createManualClock, createSeededRandom } from "oleandergap-utils";
import { createTargetPicker } from "../targetPicker.js";
import type { TargetPicker } from "../target.js";
import { createRow, createTargets, testService } from "./pickerHarness.js";

const rowPlacedByLoad = { ...createRow({}), placement: "load" as const };
const targets = createTargets("hall-a", 20);
type TestTarget = (typeof targets)[number];
const NODES = 40;
const REQUESTS_PER_NODE = 5;

const createPicker = (index: number): TargetPicker<TestTarget> => createTargetPicker<TestTarget>({
    localNodeId: `caller-${index}`,
    localZone: "hall-a",
    clock: createManualClock(),
    random: createSeededRandom(index + 1),
});

const countPicks = (pickers: readonly TargetPicker<TestTarget>[]): ReadonlyMap<string, number> => {
    const counts = new Map<string, number>();
    for (const picker of pickers) {
        for (let sent = 0; sent < REQUESTS_PER_NODE; sent++) {
            const request = { service: testService, row: rowPlacedByLoad, targets, canResend: true, exclude: [] };
            const nodeId = picker.pick(request)?.target.nodeId ?? "none";
            counts.set(nodeId, (counts.get(nodeId) ?? 0) + 1);
        }
    }
    return counts;
};

describe("many targets in the local zone", () => {
    const pickers = Array.from({ length: NODES }, (_, index) => createPicker(index));
    const counts = countPicks(pickers);
    const mean = NODES * REQUESTS_PER_NODE / targets.length;

    it("spreads the requests of many nodes over all targets of the zone", () => {
        expect(counts.size).to.equal(targets.length);
        counts.forEach((count, nodeId) => expect(count, nodeId).to.be.within(mean / 3, 2 * mean));
    });

    it("uses few targets per node, so that connections are reused", () => {
        const countsOfOneNode = countPicks([createPicker(3)]);
        expect(countsOfOneNode.size).to.be.at.most(8);
    });
});
