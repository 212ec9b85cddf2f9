import { expect } from "chai";
import fastCheck from "fast-check";
import { createSeededRandom } from "oleandergap-utils";
import { compactDelta } from "../compactDelta.js";
import { expectInForceEverywhere, expectNeverLower } from "./fleetAssertions.js";
import { createInMemoryFleet, PARTNERS, type InMemoryFleet } from "./inMemoryFleet.js";
import { LIMIT_CELL, MISSING_LIMIT, WEIGHT_CELL } from "./recordingStore.js";
import { startNaiveNode } from "./naiveFleet.js";

const startFleet = async (seed: number): Promise<InMemoryFleet> => {
    const fleet = createInMemoryFleet({ zones: 4, nodesPerZone: 10, seed });
    await fleet.startAll();
    return fleet;
};

describe("createSpread", () => {
    it("brings a change in force on all nodes within a moment of its acceptance", async () => {
        const fleet = await startFleet(1);
        await fleet.clock.advance(5_000);
        const sentBefore = fleet.sent.length;
        fleet.acceptAt(fleet.node(7), "halloway", { [WEIGHT_CELL]: 3 });
        await fleet.clock.advance(100);
        expectInForceEverywhere(fleet, "halloway");
        const handovers = fleet.sent.slice(sentBefore).filter(({ message }) => message.kind !== "Holding");
        expect(handovers.length).to.be.within(39, 50);
        fleet.stop();
    });

    it("answers a peer that shows a lower head, but not each of its datagrams", async () => {
        // Symptom: a node that missed a push stays behind, or two nodes fill the link between them.
        // Sequence: a node shows an old head, once or in a burst.
        // Cause: no answer to lower heads, or one to each.
        const fleet = createInMemoryFleet({ zones: 1, nodesPerZone: 6, seed: 11, probes: false });
        await fleet.startAll();
        const [ahead, behind] = [fleet.node(0), fleet.node(1)];
        behind.canReachPlatform = false;
        fleet.network.setCut((from, to) => from === behind.address || to === behind.address);
        fleet.acceptAt(ahead, "halloway", { [WEIGHT_CELL]: 3 });
        await fleet.clock.advance(2_000);
        fleet.network.setCut(() => false);
        for (let datagram = 0; datagram < 100; datagram++) {
            ahead.spread.receiveHeads(behind.address, behind.store.heads());
        }
        await fleet.clock.advance(20);
        expect(fleet.listInformed("halloway")).to.include(behind);
        expect(ahead.spread.stats().repliesSent).to.equal(1);
        fleet.stop();
    });

    it("converges as the naive polling does, from any node, under loss, duplicates and reordering", async () => {
        // Symptom: a node stays on an old version although all others moved on.
        // Sequence: datagrams are lost, doubled or overtake each other while both partners change their tables.
        // Cause: a version that travels by push alone is lost with its datagram.
        await fastCheck.assert(fastCheck.asyncProperty(
            fastCheck.integer({ min: 0, max: 39 }),
            fastCheck.integer({ min: 0, max: 40 }),
            fastCheck.array(fastCheck.constantFrom(...PARTNERS), { minLength: 1, maxLength: 6 }),
            fastCheck.integer({ min: 1, max: 1_000_000 }),
            async (informed, lossPercent, changes, seed) => {
                const fleet = await startFleet(seed);
                const ended = new AbortController();
                const naive = startNaiveNode({
                    partners: PARTNERS,
                    source: fleet.platform.createSource(() => true),
                    clock: fleet.clock,
                    random: createSeededRandom(seed),
                    intervalMs: 500,
                    signal: ended.signal,
                });
                fleet.network.setFaults({
                    lossShare: lossPercent / 100,
                    duplicateShare: 0.2,
                    delayMs: 0.5,
                    jitterMs: 40,
                });
                for (const [index, partner] of changes.entries()) {
                    fleet.acceptAt(fleet.node(informed), partner, { [WEIGHT_CELL]: index });
                    await fleet.clock.advance(20);
                }
                await fleet.clock.advance(6_000);
                for (const node of fleet.nodes) {
                    expect(node.store.heads()).to.deep.equal(naive.heads());
                }
                expectNeverLower(fleet.nodes);
                ended.abort();
                fleet.stop();
            },
        ), { numRuns: 8 });
    });

    it("lets both partners' updates cross without either waiting for the other", async () => {
        // Symptom: Kushiro's change waits for Halloway's.
        // Sequence: the pull of one partner hangs at a frozen peer; the other partner changes a cell.
        // Cause: one queue of pulls for both partners.
        const fleet = await startFleet(2);
        const [stuck, frozen, announcer] = [fleet.node(0), fleet.node(4), fleet.node(8)];
        fleet.freeze(frozen);
        stuck.spread.receiveHeads(frozen.address, [{ ...fleet.platform.head("halloway"), sequence: 9 }]);
        fleet.platform.accept("kushiro", { [WEIGHT_CELL]: 5 });
        announcer.store.offerDocument(fleet.platform.document("kushiro"));
        stuck.spread.receiveHeads(announcer.address, announcer.store.heads());
        await fleet.clock.advance(20);
        expect(stuck.store.document("kushiro").sequence).to.equal(2);
        fleet.stop();
    });

    it("refuses a bad version whole on every node and takes a later good one", async () => {
        // Symptom: half of a version is in force, or the fleet is stuck before a version that it refuses.
        // Sequence: the platform holds a version whose limit does not exist, then one that mends it.
        // Cause: applying before checking, or treating a refused head as the end of the chain.
        const fleet = await startFleet(3);
        fleet.acceptAt(fleet.node(1), "halloway", { [LIMIT_CELL]: MISSING_LIMIT });
        await fleet.clock.advance(10_000);
        expect(fleet.nodes.map((node) => node.store.document("halloway").sequence)).to.satisfy(
            (sequences: readonly number[]) => sequences.every((sequence) => sequence === 1),
        );
        fleet.acceptAt(fleet.node(1), "halloway", { [LIMIT_CELL]: "filing" });
        await fleet.clock.advance(5_000);
        expectInForceEverywhere(fleet, "halloway");
        fleet.stop();
    });

    it("applies nothing of a peer that claims versions which it cannot deliver", async () => {
        // Symptom: a node asks one peer for ever, and later versions do not reach it.
        // Sequence: a peer keeps claiming heads far ahead of everybody; a true change is accepted meanwhile.
        // Cause: believing the highest claim whoever tells it.
        const fleet = await startFleet(4);
        const [lyingPeer, receiver] = [fleet.node(0), fleet.node(4)];
        const claim = async (sequence: number): Promise<void> => {
            const head = { partner: "halloway", sequence, digest: "f".repeat(64) };
            receiver.spread.receiveHeads(lyingPeer.address, [head]);
            await fleet.clock.advance(50);
        };
        const honestPeer = fleet.node(8);
        fleet.network.setCut((from, to) => {
            const other = from === receiver.address ? to : from;
            return (from === receiver.address || to === receiver.address) && other !== honestPeer.address;
        });
        fleet.acceptAt(fleet.node(9), "halloway", { [WEIGHT_CELL]: 8 });
        await fleet.clock.advance(10);
        for (let sequence = 1_000; sequence < 1_040; sequence++) {
            await claim(sequence);
            if (sequence === 1_010) {
                receiver.spread.receiveHeads(honestPeer.address, honestPeer.store.heads());
            }
        }
        expectInForceEverywhere(fleet, "halloway");
        for (let repeat = 0; repeat < 200; repeat++) {
            await claim(1_040);
        }
        expect(receiver.spread.stats().claimsSetAside).to.be.greaterThan(0);
        expectInForceEverywhere(fleet, "halloway");
        fleet.stop();
    });

    it("pulls the version when a step in a datagram was damaged", async () => {
        // Symptom: a node with content that no other node has.
        // Sequence: a datagram arrives with a changed value under the true digest.
        // Cause: applying a step without checking the digest of its result.
        const fleet = await startFleet(5);
        const delta = compactDelta(fleet.platform.accept("halloway", { [WEIGHT_CELL]: 8 }));
        const damaged = { ...delta, changes: [{ cell: WEIGHT_CELL, after: 9 }] };
        const victim = fleet.node(4);
        victim.spread.receive(fleet.node(0).address, { kind: "Step", delta: damaged });
        expect(victim.store.document("halloway").sequence).to.equal(1);
        expect(victim.spread.stats().inlineRefused).to.equal(1);
        await fleet.clock.advance(3_000);
        expectInForceEverywhere(fleet, "halloway");
        fleet.stop();
    });
});
