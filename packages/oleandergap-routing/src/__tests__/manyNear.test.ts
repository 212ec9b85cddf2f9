// Symptom: in a large zone some targets have several times the load of others and their callers' answers come late,
// while others of the same service stand idle; small zones are well.
// Sequence: all nodes of a zone list its 20 targets of a service in the same order; each looks at the first eight for
// one that has room; a calm load always finds room there.
// Cause: the nodes' lists began with the same eight.
import { expect } from "chai";
import { createManualClock, createSeededRandom } from "oleandergap-utils";
import { createTargetPicker } from "../targetPicker.js";
import type { TargetPicker } from "../target.js";
import { createRow, createTargets, testService } from "./pickerHarness.js";

const byLoad = { ...createRow({}), placement: "load" as const };
const targets = createTargets("hall-a", 20);
type TestTarget = (typeof targets)[number];
const NODES = 40;
const REQUESTS_PER_NODE = 5;

const createNode = (index: number): TargetPicker<TestTarget> => createTargetPicker<TestTarget>({
    ownNode: `caller-${index}`,
    ownZone: "hall-a",
    clock: createManualClock(),
    random: createSeededRandom(index + 1),
});

const countPicks = (nodes: readonly TargetPicker<TestTarget>[]): ReadonlyMap<string, number> => {
    const counts = new Map<string, number>();
    for (const node of nodes) {
        for (let sent = 0; sent < REQUESTS_PER_NODE; sent++) {
            const request = { service: testService, row: byLoad, targets, canResend: true, exclude: [] };
            const nodeId = node.pick(request)?.target.nodeId ?? "none";
            counts.set(nodeId, (counts.get(nodeId) ?? 0) + 1);
        }
    }
    return counts;
};

describe("many targets nearby", () => {
    const nodes = Array.from({ length: NODES }, (_, index) => createNode(index));
    const counts = countPicks(nodes);
    const mean = NODES * REQUESTS_PER_NODE / targets.length;

    it("gives every target of the zone its part, as nodes look at different ones", () => {
        expect(counts.size).to.equal(targets.length);
        counts.forEach((count, nodeId) => expect(count, nodeId).to.be.within(mean / 3, 2 * mean));
    });

    it("stays with the same few at one node, so that its connections are used again", () => {
        const ofOneNode = countPicks([createNode(3)]);
        expect(ofOneNode.size).to.be.at.most(8);
    });
});
