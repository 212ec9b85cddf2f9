import { expect } from "chai";
import { createInMemoryFleet, type FleetNode, type InMemoryFleet } from "./inMemoryFleet.js";
import { healthyNetwork } from "./inMemoryNetwork.js";
import { WEIGHT_CELL } from "./recordingStore.js";

/** Maximum time for which a ready node may hold a version older than a confirmed one. */
const MAX_LAG_MS = 2_500;

const startFleet = async (seed: number): Promise<InMemoryFleet> => {
    const fleet = createInMemoryFleet({ zones: 4, nodesPerZone: 10, seed });
    await fleet.startAll();
    fleet.acceptAt(fleet.node(0), "kushiro", { [WEIGHT_CELL]: 1 });
    fleet.acceptAt(fleet.node(1), "halloway", { [WEIGHT_CELL]: 1 });
    await fleet.clock.advance(3_000);
    return fleet;
};

const restartAll = (fleet: InMemoryFleet, nodes: readonly FleetNode[]): void => {
    nodes.forEach(fleet.kill);
    nodes.forEach(fleet.restart);
};

const createHoldsAllCheck = (fleet: InMemoryFleet) => (node: FleetNode): boolean =>
    fleet.listInformed("kushiro").includes(node) && fleet.listInformed("halloway").includes(node);

const isReady = (node: FleetNode): boolean => node.spread.isReady();

describe("recoverConfiguration", () => {
    it("makes a node ready only after it holds the versions of its peers", async () => {
        // Guards against a restarted node that serves an older table than before its restart, because it becomes ready
        // before it has queried its peers. The platform is unavailable during the restart.
        const fleet = await startFleet(1);
        fleet.platform.setOutage(true);
        fleet.network.setFaults({ ...healthyNetwork, delayMs: 20 });
        const node = fleet.node(9);
        restartAll(fleet, [node]);
        for (let step = 0; step < 1_000 && !isReady(node); step++) {
            await fleet.clock.advance(1);
        }
        expect(isReady(node)).to.equal(true);
        expect(createHoldsAllCheck(fleet)(node)).to.equal(true);
        fleet.stop();
    });

    it("recovers half of the nodes after a simultaneous restart with the platform reads of the readers only", async () => {
        // Guards against overload of the platform when half of all nodes restart at the same time and each of them
        // reads its tables from the platform.
        const fleet = await startFleet(2);
        const before = fleet.platform.readTimes.length;
        const half = fleet.nodes.filter((_node, index) => index % 2 === 0);
        restartAll(fleet, half);
        await fleet.clock.advance(3_000);
        expect(half.filter(isReady)).to.have.lengthOf(20);
        expect(half.filter(createHoldsAllCheck(fleet))).to.have.lengthOf(20);
        expect((fleet.platform.readTimes.length - before) / 3).to.be.lessThan(24);
        fleet.stop();
    });

    it("recovers a whole zone from another zone during a platform outage", async () => {
        const fleet = await startFleet(3);
        fleet.platform.setOutage(true);
        restartAll(fleet, fleet.zone(2));
        await fleet.clock.advance(3_000);
        expect(fleet.zone(2).filter(isReady).filter(createHoldsAllCheck(fleet))).to.have.lengthOf(10);
        fleet.stop();
    });

    it("recovers the whole fleet from the platform through its readers, within the budget", async () => {
        // Guards against peers that wait for each other after a restart of all nodes, so that no node becomes ready,
        // and against an overload of the platform because all nodes read it.
        const fleet = await startFleet(4);
        const before = fleet.platform.readTimes.length;
        restartAll(fleet, fleet.nodes);
        await fleet.clock.advance(10_000);
        expect(fleet.nodes.filter(isReady).filter(createHoldsAllCheck(fleet))).to.have.lengthOf(40);
        expect((fleet.platform.readTimes.length - before) / 10).to.be.lessThan(30);
        const readsOfOthers = fleet.nodes
            .map((node) => node.spread.stats())
            .filter((stats) => stats.rank >= 6)
            .map((stats) => stats.platformReads);
        expect(new Set(readsOfOthers)).to.deep.equal(new Set([0]));
        fleet.stop();
    });

    it("stays not ready while no source responds, and recovers after the platform returns", async () => {
        // Guards against an empty table in force after a restart of all nodes during a platform outage of one minute,
        // because a missing response is treated as a response that there is no version.
        const fleet = await startFleet(5);
        fleet.platform.setOutage(true);
        restartAll(fleet, fleet.nodes);
        await fleet.clock.advance(60_000);
        expect(fleet.nodes.filter(isReady)).to.have.lengthOf(0);
        fleet.platform.setOutage(false);
        await fleet.clock.advance(20_000);
        expect(fleet.nodes.filter(isReady).filter(createHoldsAllCheck(fleet))).to.have.lengthOf(40);
        fleet.stop();
    });

    it("becomes ready although the claim of a dead peer can no longer be verified", async () => {
        // Guards against a restarted node that waits forever for the highest claimed version. The peer that claimed the
        // head dies before it delivers the version.
        const fleet = await startFleet(6);
        const [dyingPeer, node] = [fleet.node(4), fleet.node(8)];
        fleet.kill(dyingPeer);
        restartAll(fleet, [node]);
        node.spread.receiveHeads(dyingPeer.address, [{ partner: "halloway", sequence: 77, digest: "e".repeat(64) }]);
        await fleet.clock.advance(8_000);
        expect(isReady(node)).to.equal(true);
        expect(createHoldsAllCheck(fleet)(node)).to.equal(true);
        fleet.stop();
    });

    it("does not become ready with a version that was superseded during its transfer", async () => {
        let isSlow = false;
        const fleet = createInMemoryFleet({
            zones: 2,
            nodesPerZone: 6,
            seed: 8,
            getResponseDelay: (requester) => isSlow && requester === "node-4" ? MAX_LAG_MS + 500 : 0,
        });
        await fleet.startAll();
        fleet.acceptAt(fleet.node(0), "halloway", { [WEIGHT_CELL]: 1 });
        await fleet.clock.advance(3_000);
        isSlow = true;
        const node = fleet.node(4);
        restartAll(fleet, [node]);
        await fleet.clock.advance(300);
        const { sequence } = fleet.acceptAt(fleet.node(0), "halloway", { [WEIGHT_CELL]: 2 });
        await fleet.clock.advance(MAX_LAG_MS);
        for (let waited = 0; waited < 10_000; waited += 50) {
            expect(isReady(node) && node.store.document("halloway").sequence < sequence).to.equal(false);
            await fleet.clock.advance(50);
        }
        expect(isReady(node)).to.equal(true);
        expect(createHoldsAllCheck(fleet)(node)).to.equal(true);
        fleet.stop();
    });

    it("does not become ready without any version while peers claim one that they cannot deliver", async () => {
        // Guards against a restarted node that becomes ready without any version, so that it and the nodes that recover
        // from it respond to all requests with 404. The running nodes report their heads but are too busy to deliver
        // the versions, and after several failed pulls the claims are ignored.
        let canServe = true;
        const fleet = createInMemoryFleet({ zones: 2, nodesPerZone: 4, seed: 7, canServeVersions: () => canServe });
        await fleet.startAll();
        fleet.acceptAt(fleet.node(0), "kushiro", { [WEIGHT_CELL]: 1 });
        fleet.acceptAt(fleet.node(1), "halloway", { [WEIGHT_CELL]: 1 });
        await fleet.clock.advance(3_000);
        fleet.platform.setOutage(true);
        canServe = false;
        const restarted = fleet.nodes.slice(2);
        restartAll(fleet, restarted);
        await fleet.clock.advance(20_000);
        expect(restarted.filter(isReady)).to.have.lengthOf(0);
        canServe = true;
        await fleet.clock.advance(5_000);
        expect(restarted.filter(isReady).filter(createHoldsAllCheck(fleet))).to.have.lengthOf(restarted.length);
        fleet.stop();
    });
});
