import { expect } from "chai";
import { createSeededRandom } from "oleandergap-utils";
import type { Fingerprint } from "../fingerprint.js";
import { createTestNetwork, type TestNetwork, type TestNode } from "./evidenceNetwork.js";

/** Largest datagram that nodes exchange. */
const MAX_DATAGRAM_BYTES = 1192;
/** Time within which nodes that reach each other have to know the same. */
const CONTACT_MS = 3000;

const nameOf = (text: string): Fingerprint => text.padEnd(16, "_");
const CRASHER = nameOf("crasher");

const nodeAt = ({ nodes }: TestNetwork, index: number): TestNode => {
    const node = nodes[index];
    if (node === undefined) {
        throw new RangeError(`no node ${index}`);
    }
    return node;
};

const crashAt = (network: TestNetwork, indices: readonly number[], fingerprint = CRASHER): void =>
    indices.forEach((index) => nodeAt(network, index).containment.noteOwnCrash([fingerprint]));

const countContained = ({ nodes }: TestNetwork, fingerprint = CRASHER): number =>
    nodes.filter(({ isUp, containment }) => isUp && containment.judge(fingerprint).kind === "Contained").length;

describe("the spread of evidence", () => {
    it("contains a request at all of ten nodes within milliseconds of its third crash", async () => {
        const network = createTestNetwork(10, 3, createSeededRandom(36));
        crashAt(network, [0, 4, 8]);
        await network.clock.advance(10);

        expect(countContained(network)).to.equal(10);
    });

    it("contains a request at all of sixty nodes in time", async () => {
        for (let seed = 1; seed <= 20; seed++) {
            const network = createTestNetwork(60, 3, createSeededRandom(seed));
            crashAt(network, [0, 4, 8]);
            await network.clock.advance(CONTACT_MS);

            expect(countContained(network), `seed ${seed}`).to.equal(60);
        }
    });

    it("reaches nodes although a third of the datagrams is lost", async () => {
        const network = createTestNetwork(60, 3, createSeededRandom(36));
        const random = createSeededRandom(1);
        network.carry = () => random() < 1 / 3 ? undefined : 1;
        crashAt(network, [0, 4, 8]);
        await network.clock.advance(CONTACT_MS);

        expect(countContained(network)).to.equal(60);
    });

    it("reaches a zone that was cut off once the cut heals", async () => {
        const network = createTestNetwork(12, 3, createSeededRandom(36));
        await network.clock.advance(CONTACT_MS);
        network.carry = (from, to) => (from.zone === "zone-0") === (to.zone === "zone-0") ? 1 : undefined;
        crashAt(network, [1, 2, 4]);
        await network.clock.advance(CONTACT_MS);
        expect(countContained(network)).to.equal(8);
        network.carry = () => 1;
        await network.clock.advance(CONTACT_MS);

        expect(countContained(network)).to.equal(12);
    });

    it("informs a node that starts later", async () => {
        const network = createTestNetwork(10, 3, createSeededRandom(36));
        network.kill(nodeAt(network, 5));
        crashAt(network, [0, 4, 8]);
        await network.clock.advance(60_000);
        network.start(nodeAt(network, 5));
        await network.clock.advance(100);

        expect(countContained(network)).to.equal(10);
    });

    it("outlasts the end of all nodes at once, for one reading call a zone", async () => {
        const network = createTestNetwork(12, 3, createSeededRandom(36));
        await network.clock.advance(CONTACT_MS);
        crashAt(network, [0, 4, 8]);
        await network.clock.advance(100);
        network.nodes.forEach(network.kill);
        await network.clock.advance(5000);
        network.storeCalls = 0;
        network.nodes.forEach(network.start);
        await network.clock.advance(CONTACT_MS);

        expect(countContained(network)).to.equal(12);
        expect(network.storeCalls).to.be.at.most(3);
    });

    it("is written once the platform is back, and read again once it is", async () => {
        const network = createTestNetwork(12, 3, createSeededRandom(36));
        network.isStoreUp = false;
        crashAt(network, [0, 4, 8]);
        await network.clock.advance(10_000);
        expect(network.rows.size).to.equal(0);
        network.isStoreUp = true;
        await network.clock.advance(10_000);
        expect(network.rows.size).to.equal(1);
        network.nodes.forEach(network.kill);
        network.isStoreUp = false;
        network.nodes.forEach(network.start);
        await network.clock.advance(10_000);
        network.isStoreUp = true;
        await network.clock.advance(10_000);

        expect(countContained(network)).to.equal(12);
    });

    it("leaves no row behind when a contained request has ended well", async () => {
        const network = createTestNetwork(12, 3, createSeededRandom(36));
        crashAt(network, [0, 4, 8]);
        await network.clock.advance(CONTACT_MS);
        expect(network.rows.size).to.equal(1);
        nodeAt(network, 2).containment.noteGoodRun(CRASHER);
        await network.clock.advance(CONTACT_MS);

        expect(network.rows.size).to.equal(0);
    });

    it("tells all nodes of a good run, whatever they held", async () => {
        const network = createTestNetwork(60, 3, createSeededRandom(36));
        crashAt(network, [0, 4, 8]);
        await network.clock.advance(100);
        nodeAt(network, 20).containment.noteGoodRun(CRASHER);
        await network.clock.advance(CONTACT_MS);

        expect(countContained(network)).to.equal(0);
        expect(network.nodes.some(({ containment }) => containment.hasSuspects())).to.equal(false);
    });

    it("sends nothing once nodes have started, while nothing is held against any request", async () => {
        const network = createTestNetwork(10, 3, createSeededRandom(36));
        await network.clock.advance(10_000);
        network.datagrams = 0;
        await network.clock.advance(60_000);

        expect(network.datagrams).to.equal(0);
    });

    it("keeps each message within a datagram, however many requests ran", async () => {
        const network = createTestNetwork(3, 1, createSeededRandom(36));
        const running = Array.from({ length: 200 }, (_, index) => nameOf(`request-${index}`));
        nodeAt(network, 0).containment.noteOwnCrash(running);
        await network.clock.advance(CONTACT_MS);

        expect(network.nodes.map(({ containment }) => containment.stats().suspects)).to.deep.equal([200, 200, 200]);
        expect(network.largest).to.be.below(MAX_DATAGRAM_BYTES - 100);
    });
});
