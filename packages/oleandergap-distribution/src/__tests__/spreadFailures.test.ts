import { expect } from "chai";
import { defaultDistributionOptions } from "../options.js";
import { readHead } from "../spreadMessage.js";
import { expectInForceEverywhere } from "./fleetAssertions.js";
import { createInMemoryFleet, type FleetNode, type InMemoryFleet } from "./inMemoryFleet.js";
import { healthyNetwork } from "./inMemoryNetwork.js";
import { WEIGHT_CELL } from "./recordingStore.js";

const startFleet = async (seed: number): Promise<InMemoryFleet> => {
    const fleet = createInMemoryFleet({ zones: 4, nodesPerZone: 10, seed });
    await fleet.startAll();
    return fleet;
};

describe("createSpread under failures", () => {
    it("spreads what was accepted before a long outage of the platform", async () => {
        // Symptom: a change that its operator saw accepted is in force on some nodes only.
        // Sequence: the platform goes down right after the acceptance and stays down.
        // Cause: nodes that learn versions from the platform alone.
        const fleet = await startFleet(6);
        const accepting = fleet.node(2);
        fleet.acceptAt(accepting, "kushiro", { [WEIGHT_CELL]: 2 });
        await fleet.clock.advance(12);
        fleet.platform.setOutage(true);
        await fleet.clock.advance(2_000);
        expectInForceEverywhere(fleet, "kushiro");
        const reads = fleet.platform.readTimes.length;
        await fleet.clock.advance(60_000);
        const readsPerSecond = (fleet.platform.readTimes.length - reads) / 60;
        expect(readsPerSecond).to.be.lessThan(4 * 6);
        fleet.stop();
    });

    it("keeps a zone spreading while it is cut off and lets it catch up when the cut heals", async () => {
        // Symptom: a zone that was cut off stays behind, or goes back, after the cut heals.
        // Sequence: a version reaches one node of the zone; the zone loses the platform and all zones; versions go on.
        // Cause: spread inside a zone that depends on the outside, and no comparison between zones.
        const spread = { ...defaultDistributionOptions.spread, checkIntervalMs: 600_000 };
        const options = { ...defaultDistributionOptions, spread };
        const fleet = createInMemoryFleet({ zones: 4, nodesPerZone: 10, seed: 7, options });
        await fleet.startAll();
        const zone = fleet.zone(1);
        fleet.platform.accept("halloway", { [WEIGHT_CELL]: 1 });
        const [delta] = [fleet.platform.head("halloway")];
        zone.forEach((node) => {
            node.canReachPlatform = false;
        });
        fleet.network.setCut((from, to) => (from.zone === "zone-1") !== (to.zone === "zone-1"));
        zone[3]?.store.offerDocument(fleet.platform.document("halloway"));
        await fleet.clock.advance(1_000);
        expect(zone.every((node) => node.store.document("halloway").digest === delta.digest)).to.equal(true);
        for (let weight = 2; weight < 60; weight++) {
            fleet.acceptAt(fleet.node(0), "halloway", { [WEIGHT_CELL]: weight });
            await fleet.clock.advance(100);
        }
        await fleet.clock.advance(2_000);
        fleet.network.setCut(() => false);
        await fleet.clock.advance(5_000);
        expectInForceEverywhere(fleet, "halloway");
        fleet.stop();
    });

    it("lets a node that was frozen for minutes catch up without telling or applying anything lower", async () => {
        // Symptom: a node that comes back pushes an old version over a new one.
        // Sequence: a node freezes with a push planned, versions go on for minutes, the node runs on.
        // Cause: a late timer that tells what was true when it was set.
        const fleet = await startFleet(8);
        const frozen = fleet.node(12);
        fleet.network.setCut((from, to) => from === frozen.address || to === frozen.address);
        fleet.acceptAt(frozen, "halloway", { [WEIGHT_CELL]: 1 });
        await fleet.clock.advance(20);
        fleet.freeze(frozen);
        fleet.network.setCut(() => false);
        for (let weight = 2; weight < 12; weight++) {
            fleet.acceptAt(fleet.node(1), "halloway", { [WEIGHT_CELL]: weight });
            await fleet.clock.advance(15_000);
        }
        const before = fleet.sent.length;
        fleet.unfreeze(frozen);
        await fleet.clock.advance(5_000);
        const lower = fleet.sent.slice(before).filter(({ message }) =>
            (message.kind === "Holding" ? message : readHead(message)).sequence < 12);
        expect(lower).to.deep.equal([]);
        expectInForceEverywhere(fleet, "halloway");
        fleet.stop();
    });

    it("reaches nodes behind dead ones within a second", async () => {
        // Symptom: a quarter of a zone is late by the time that a failure takes to be detected.
        // Sequence: a node dies unnoticed; a change is accepted; the dead node was to pass it on.
        // Cause: a tree without any other way.
        const fleet = createInMemoryFleet({ zones: 1, nodesPerZone: 40, seed: 9, probes: false, detectionMs: 60_000 });
        await fleet.startAll();
        const dead = [3, 11, 19, 27];
        dead.forEach((index) => fleet.kill(fleet.node(index)));
        for (let weight = 1; weight <= 30; weight++) {
            const accepting = fleet.nodes.filter((node) => node.isUp)[weight];
            fleet.acceptAt(accepting as FleetNode, "kushiro", { [WEIGHT_CELL]: weight });
            await fleet.clock.advance(900);
            expectInForceEverywhere(fleet, "kushiro");
        }
        fleet.stop();
    });

    it("finds a lost push by comparing with peers when nothing else shows it", async () => {
        // Symptom: a node keeps an old version until the next change.
        // Sequence: every datagram to one node is lost, and its probes show no heads.
        // Cause: no comparison over another transport.
        // A comparison informs the node that asks, so about log2 of the zone's size rounds of 30 s pass; twice that
        // is given.
        for (let seed = 10; seed < 15; seed++) {
            const fleet = createInMemoryFleet({ zones: 1, nodesPerZone: 12, seed, probes: false });
            await fleet.startAll();
            fleet.network.setFaults({ ...healthyNetwork, lossShare: 1 });
            fleet.acceptAt(fleet.node(0), "halloway", { [WEIGHT_CELL]: 4 });
            await fleet.clock.advance(240_000);
            expectInForceEverywhere(fleet, "halloway");
            fleet.stop();
        }
    });

    it("asks peers for a version while no read of the platform is left", async () => {
        // As many reads for each node as a fleet of a few thousand has by default.
        const budget = { ...defaultDistributionOptions.budget, zones: 1, recoveryReadsPerSecond: 1 };
        const options = { ...defaultDistributionOptions, budget };
        const fleet = createInMemoryFleet({ zones: 1, nodesPerZone: 12, seed: 33, options });
        await fleet.startAll();
        await fleet.clock.advance(5_000);
        const ordinary = fleet.nodes.find(({ spread }) => spread.stats().rank >= 6) as FleetNode;
        const other = fleet.nodes.find((node) => node !== ordinary) as FleetNode;
        const isOrdinary = (id: string): boolean => id === ordinary.address.id;
        fleet.network.setCut((from, to) => isOrdinary(from.id) || isOrdinary(to.id));
        for (let weight = 2; weight < 12; weight += 2) {
            fleet.acceptAt(other, "halloway", { [WEIGHT_CELL]: weight });
            fleet.acceptAt(ordinary, "halloway", { [WEIGHT_CELL]: weight + 1 });
            await fleet.clock.advance(100);
        }
        fleet.network.setCut(() => false);
        await fleet.clock.advance(2_500);
        expectInForceEverywhere(fleet, "halloway");
        fleet.stop();
    });

    it("follows a quick run of changes that come as whole documents", async () => {
        // Symptom: during a run of changes, a node stays at an old version until the run is over.
        // Sequence: a change every 300 ms; each costs a reader one read of the heads, which brings the document.
        // Cause: the budget of platform reads is charged for reads of deltas and documents that are never made.
        const budget = { ...defaultDistributionOptions.budget, zones: 1, readerReadsPerSecond: 30 };
        const reader = { ...defaultDistributionOptions.reader, readers: 2, standbys: 4, intervalMs: 100 };
        const options = { ...defaultDistributionOptions, budget, reader };
        const fleet = createInMemoryFleet({ zones: 1, nodesPerZone: 1, seed: 31, options });
        fleet.platform.serveWholeDocuments();
        await fleet.startAll();
        await fleet.clock.advance(3_000);
        let maxLag = 0;
        for (let weight = 2; weight < 30; weight++) {
            fleet.platform.accept("halloway", { [WEIGHT_CELL]: weight });
            await fleet.clock.advance(300);
            const { sequence } = fleet.platform.head("halloway");
            maxLag = Math.max(maxLag, sequence - fleet.node(0).store.document("halloway").sequence);
        }
        expect(maxLag).to.be.at.most(3);
        fleet.stop();
    });

    it("spreads versions that come as whole documents by what changed in them", async () => {
        // Symptom: requests are held up on all nodes of a zone while changes come in quick succession.
        // Sequence: readers take each version whole from the platform and hand it on; each other node pulls it whole.
        // Cause: a version that skips numbers had no step, so that peers could only be given all of it.
        const reader = { ...defaultDistributionOptions.reader, readers: 2, standbys: 1, intervalMs: 100 };
        const fleet = createInMemoryFleet({
            zones: 1,
            nodesPerZone: 8,
            seed: 32,
            options: { ...defaultDistributionOptions, reader },
        });
        fleet.platform.serveWholeDocuments();
        await fleet.startAll();
        fleet.platform.accept("halloway", { [WEIGHT_CELL]: 1 });
        await fleet.clock.advance(3_000);
        const countDocumentPulls = (): number => fleet.nodes
            .reduce((sum, node) => sum + node.spread.stats().documentPulls, 0);
        const before = countDocumentPulls();
        for (let weight = 2; weight < 22; weight++) {
            fleet.platform.accept("halloway", { [WEIGHT_CELL]: weight });
            fleet.platform.accept("halloway", { [WEIGHT_CELL]: weight + 100 });
            await fleet.clock.advance(300);
        }
        await fleet.clock.advance(1_000);
        expectInForceEverywhere(fleet, "halloway");
        // Twenty jumps over two numbers each, for two readers; the six others are given steps.
        expect(countDocumentPulls() - before).to.be.at.most(2 * 20 + 10);
        fleet.stop();
    });
});
