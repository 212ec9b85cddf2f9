import { expect } from "chai";
import { createSeededRandom } from "oleandergap-utils";
import type { Fingerprint } from "../fingerprint.js";
import { createTestNetwork, type TestNetwork, type TestNode } from "./evidenceNetwork.js";

/** Size of the largest datagram that nodes exchange. */
const MAX_DATAGRAM_BYTES = 1192;
/** Time within which connected nodes must have the same evidence. */
const CONVERGENCE_MS = 3000;

const createFingerprint = (text: string): Fingerprint => text.padEnd(16, "_");
const CRASHER = createFingerprint("crasher");

const getNode = ({ nodes }: TestNetwork, index: number): TestNode => {
    const node = nodes[index];
    if (node === undefined) {
        throw new RangeError(`unknown node ${index}`);
    }
    return node;
};

const crashTargetsOf = (network: TestNetwork, indices: readonly number[], fingerprint = CRASHER): void =>
    indices.forEach((index) => getNode(network, index).containment.recordLocalCrash([fingerprint]));

const countContained = ({ nodes }: TestNetwork, fingerprint = CRASHER): number =>
    nodes.filter(({ isUp, containment }) => isUp && containment.judge(fingerprint).kind === "Contained").length;

describe("evidence gossip", () => {
    it("contains a request at all of ten nodes within milliseconds of its third crash", async () => {
        const network = createTestNetwork(10, 3, createSeededRandom(36));
        crashTargetsOf(network, [0, 4, 8]);
        await network.clock.advance(10);

        expect(countContained(network)).to.equal(10);
    });

    it("contains a request at all of sixty nodes within the convergence time", async () => {
        for (let seed = 1; seed <= 20; seed++) {
            const network = createTestNetwork(60, 3, createSeededRandom(seed));
            crashTargetsOf(network, [0, 4, 8]);
            await network.clock.advance(CONVERGENCE_MS);

            expect(countContained(network), `seed ${seed}`).to.equal(60);
        }
    });

    it("reaches all nodes when a third of the datagrams is lost", async () => {
        const network = createTestNetwork(60, 3, createSeededRandom(36));
        const random = createSeededRandom(1);
        network.getDeliveryDelay = () => random() < 1 / 3 ? undefined : 1;
        crashTargetsOf(network, [0, 4, 8]);
        await network.clock.advance(CONVERGENCE_MS);

        expect(countContained(network)).to.equal(60);
    });

    it("reaches a partitioned zone after the partition ends", async () => {
        const network = createTestNetwork(12, 3, createSeededRandom(36));
        await network.clock.advance(CONVERGENCE_MS);
        network.getDeliveryDelay = (from, to) => (from.zone === "zone-0") === (to.zone === "zone-0") ? 1 : undefined;
        crashTargetsOf(network, [1, 2, 4]);
        await network.clock.advance(CONVERGENCE_MS);
        expect(countContained(network)).to.equal(8);
        network.getDeliveryDelay = () => 1;
        await network.clock.advance(CONVERGENCE_MS);

        expect(countContained(network)).to.equal(12);
    });

    it("sends the evidence to a node that starts later", async () => {
        const network = createTestNetwork(10, 3, createSeededRandom(36));
        network.kill(getNode(network, 5));
        crashTargetsOf(network, [0, 4, 8]);
        await network.clock.advance(60_000);
        network.start(getNode(network, 5));
        await network.clock.advance(100);

        expect(countContained(network)).to.equal(10);
    });

    it("restores contained requests after a restart of all nodes with at most one table read per zone", async () => {
        const network = createTestNetwork(12, 3, createSeededRandom(36));
        await network.clock.advance(CONVERGENCE_MS);
        crashTargetsOf(network, [0, 4, 8]);
        await network.clock.advance(100);
        network.nodes.forEach(network.kill);
        await network.clock.advance(5000);
        network.tableCallCount = 0;
        network.nodes.forEach(network.start);
        await network.clock.advance(CONVERGENCE_MS);

        expect(countContained(network)).to.equal(12);
        expect(network.tableCallCount).to.be.at.most(3);
    });

    it("writes and reads the rows once the platform is available again", async () => {
        const network = createTestNetwork(12, 3, createSeededRandom(36));
        network.isTableAvailable = false;
        crashTargetsOf(network, [0, 4, 8]);
        await network.clock.advance(10_000);
        expect(network.rows.size).to.equal(0);
        network.isTableAvailable = true;
        await network.clock.advance(10_000);
        expect(network.rows.size).to.equal(1);
        network.nodes.forEach(network.kill);
        network.isTableAvailable = false;
        network.nodes.forEach(network.start);
        await network.clock.advance(10_000);
        network.isTableAvailable = true;
        await network.clock.advance(10_000);

        expect(countContained(network)).to.equal(12);
    });

    it("deletes the row of a contained request after a good run", async () => {
        const network = createTestNetwork(12, 3, createSeededRandom(36));
        crashTargetsOf(network, [0, 4, 8]);
        await network.clock.advance(CONVERGENCE_MS);
        expect(network.rows.size).to.equal(1);
        getNode(network, 2).containment.recordLocalGoodRun(CRASHER);
        await network.clock.advance(CONVERGENCE_MS);

        expect(network.rows.size).to.equal(0);
    });

    it("clears a request at all nodes after a good run", async () => {
        const network = createTestNetwork(60, 3, createSeededRandom(36));
        crashTargetsOf(network, [0, 4, 8]);
        await network.clock.advance(100);
        getNode(network, 20).containment.recordLocalGoodRun(CRASHER);
        await network.clock.advance(CONVERGENCE_MS);

        expect(countContained(network)).to.equal(0);
        expect(network.nodes.some(({ containment }) => containment.hasSuspects())).to.equal(false);
    });

    it("sends nothing after the start while there is no evidence against any request", async () => {
        const network = createTestNetwork(10, 3, createSeededRandom(36));
        await network.clock.advance(10_000);
        network.datagramCount = 0;
        await network.clock.advance(60_000);

        expect(network.datagramCount).to.equal(0);
    });

    it("keeps each message within a datagram when many requests were running", async () => {
        const network = createTestNetwork(3, 1, createSeededRandom(36));
        const running = Array.from({ length: 200 }, (_, index) => createFingerprint(`request-${index}`));
        getNode(network, 0).containment.recordLocalCrash(running);
        await network.clock.advance(CONVERGENCE_MS);

        expect(network.nodes.map(({ containment }) => containment.stats().suspects)).to.deep.equal([200, 200, 200]);
        expect(network.largestMessageLength).to.be.below(MAX_DATAGRAM_BYTES - 100);
    });
});
