import { expect } from "chai";
import fastCheck from "fast-check";
import { createSeededRandom } from "oleandergap-utils";
import { compactDelta } from "../compactDelta.js";
import { expectInForceEverywhere, expectNeverLower } from "./fleetAssertions.js";
import { createInMemoryFleet, PARTNERS, type InMemoryFleet } from "./inMemoryFleet.js";
import { LIMIT_CELL, MISSING_LIMIT, WEIGHT_CELL } from "./recordingStore.js";
import { startPollingNode } from "./pollingNode.js";

const startFleet = async (seed: number): Promise<InMemoryFleet> => {
    const fleet = createInMemoryFleet({ zones: 4, nodesPerZone: 10, seed });
    await fleet.startAll();
    return fleet;
};

describe("createSpread", () => {
    it("applies an accepted change on all nodes within 100 ms", async () => {
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

    it("replies to a peer that sends a lower head, but not to each of its datagrams", async () => {
        // Guards against a missing reply to a lower head, which leaves the peer at an old version, and against a reply
        // to each datagram of a burst, which saturates the link between the two nodes.
        const fleet = createInMemoryFleet({ zones: 1, nodesPerZone: 6, seed: 11, probes: false });
        await fleet.startAll();
        const [newerNode, olderNode] = [fleet.node(0), fleet.node(1)];
        olderNode.canReachPlatform = false;
        fleet.network.setCut((from, to) => from === olderNode.address || to === olderNode.address);
        fleet.acceptAt(newerNode, "halloway", { [WEIGHT_CELL]: 3 });
        await fleet.clock.advance(2_000);
        fleet.network.setCut(() => false);
        for (let datagram = 0; datagram < 100; datagram++) {
            newerNode.spread.receiveHeads(olderNode.address, olderNode.store.heads());
        }
        await fleet.clock.advance(20);
        expect(fleet.listInformed("halloway")).to.include(olderNode);
        expect(newerNode.spread.stats().repliesSent).to.equal(1);
        fleet.stop();
    });

    it("converges to the heads of the reference model from any node under loss, duplicates and reordering", async () => {
        // Guards against a node that stays at an old version because its datagrams were lost, duplicated or reordered
        // while both partners changed their tables. A version that is only pushed is lost together with its datagram.
        await fastCheck.assert(fastCheck.asyncProperty(
            fastCheck.integer({ min: 0, max: 39 }),
            fastCheck.integer({ min: 0, max: 40 }),
            fastCheck.array(fastCheck.constantFrom(...PARTNERS), { minLength: 1, maxLength: 6 }),
            fastCheck.integer({ min: 1, max: 1_000_000 }),
            async (informed, lossPercent, changes, seed) => {
                const fleet = await startFleet(seed);
                const ended = new AbortController();
                const pollingStore = startPollingNode({
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
                    expect(node.store.heads()).to.deep.equal(pollingStore.heads());
                }
                expectNeverLower(fleet.nodes);
                ended.abort();
                fleet.stop();
            },
        ), { numRuns: 8 });
    });

    it("applies the update of one partner while a pull of the other partner hangs", async () => {
        // Guards against a shared queue of pulls for both partners, in which a pull of one partner that hangs at a
        // frozen peer delays the change of the other partner.
        const fleet = await startFleet(2);
        const [stuckNode, frozen, announcer] = [fleet.node(0), fleet.node(4), fleet.node(8)];
        fleet.freeze(frozen);
        stuckNode.spread.receiveHeads(frozen.address, [{ ...fleet.platform.head("halloway"), sequence: 9 }]);
        fleet.platform.accept("kushiro", { [WEIGHT_CELL]: 5 });
        announcer.store.offerDocument(fleet.platform.document("kushiro"));
        stuckNode.spread.receiveHeads(announcer.address, announcer.store.heads());
        await fleet.clock.advance(20);
        expect(stuckNode.store.document("kushiro").sequence).to.equal(2);
        fleet.stop();
    });

    it("rejects an invalid version completely on every node and applies a later valid one", async () => {
        // Guards against a partially applied version, and against a fleet that applies no further versions after a
        // rejected one. The platform first holds a version that refers to a missing limit, then a version that corrects
        // it.
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

    it("applies valid versions although a peer keeps claiming versions that it cannot deliver", async () => {
        // Guards against a node that sends requests to one peer forever and receives no later versions. A peer keeps
        // claiming heads that are far too high, while a valid change is accepted elsewhere.
        const fleet = await startFleet(4);
        const [faultyPeer, receiver] = [fleet.node(0), fleet.node(4)];
        const claim = async (sequence: number): Promise<void> => {
            const head = { partner: "halloway", sequence, digest: "f".repeat(64) };
            receiver.spread.receiveHeads(faultyPeer.address, [head]);
            await fleet.clock.advance(50);
        };
        const correctPeer = fleet.node(8);
        fleet.network.setCut((from, to) => {
            const other = from === receiver.address ? to : from;
            return (from === receiver.address || to === receiver.address) && other !== correctPeer.address;
        });
        fleet.acceptAt(fleet.node(9), "halloway", { [WEIGHT_CELL]: 8 });
        await fleet.clock.advance(10);
        for (let sequence = 1_000; sequence < 1_040; sequence++) {
            await claim(sequence);
            if (sequence === 1_010) {
                receiver.spread.receiveHeads(correctPeer.address, correctPeer.store.heads());
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

    it("pulls the version if the delta in a datagram was corrupted", async () => {
        // Guards against a node that applies a corrupted delta without checking the digest of the result. The datagram
        // contains a changed value and the digest of the original value.
        const fleet = await startFleet(5);
        const delta = compactDelta(fleet.platform.accept("halloway", { [WEIGHT_CELL]: 8 }));
        const corruptedDelta = { ...delta, changes: [{ cell: WEIGHT_CELL, after: 9 }] };
        const receiver = fleet.node(4);
        receiver.spread.receive(fleet.node(0).address, { kind: "Step", delta: corruptedDelta });
        expect(receiver.store.document("halloway").sequence).to.equal(1);
        expect(receiver.spread.stats().inlineRefused).to.equal(1);
        await fleet.clock.advance(3_000);
        expectInForceEverywhere(fleet, "halloway");
        fleet.stop();
    });
});
