import { expect } from "chai";
import { rankReaders } from "../readerRole.js";
import { createInMemoryFleet, type FleetNode, type InMemoryFleet } from "./inMemoryFleet.js";
import { WEIGHT_CELL } from "./recordingStore.js";

const startZone = async (nodesPerZone: number, seed: number): Promise<InMemoryFleet> => {
    const fleet = createInMemoryFleet({ zones: 1, nodesPerZone, seed });
    await fleet.startAll();
    await fleet.clock.advance(5_000);
    return fleet;
};

const listByRank = (fleet: InMemoryFleet): readonly FleetNode[] => {
    const members = fleet.nodes.map((node) => node.address);
    const ranked = rankReaders({ self: () => fleet.node(0).address, members: () => members });
    return ranked.flatMap((member) => fleet.nodes.filter((node) => node.address.id === member.id));
};

const countReads = async (fleet: InMemoryFleet, seconds: number): Promise<number> => {
    const before = fleet.platform.readTimes.length;
    await fleet.clock.advance(seconds * 1_000);
    return fleet.platform.readTimes.length - before;
};

describe("createPlatformReader", () => {
    it("uses two readers for a zone of any size", async () => {
        for (const size of [3, 12, 48]) {
            const fleet = await startZone(size, size);
            expect(fleet.nodes.filter((node) => node.spread.stats().reading)).to.have.lengthOf(2);
            expect(await countReads(fleet, 20)).to.be.within(30, 48);
            fleet.stop();
        }
    });

    it("lets one standby at a time take over if the readers die or cannot reach the platform", async () => {
        // Guards against a zone without a working reader, and against all standbys taking over at once. One reader dies
        // undetected, the other one can no longer reach the platform, and then a change is accepted elsewhere.
        const fleet = createInMemoryFleet({ zones: 1, nodesPerZone: 24, seed: 3, detectionMs: 600_000 });
        await fleet.startAll();
        await fleet.clock.advance(5_000);
        const [first, second, third, fourth, ...others] = listByRank(fleet);
        fleet.kill(first as FleetNode);
        (second as FleetNode).canReachPlatform = false;
        const standbys = [third, fourth, ...others];
        let maxReadingStandbys = 0;
        for (let step = 0; step < 40; step++) {
            await fleet.clock.advance(200);
            const reading = standbys.filter((node) => node?.spread.stats().reading);
            maxReadingStandbys = Math.max(maxReadingStandbys, reading.length);
        }
        expect(maxReadingStandbys).to.be.within(1, 2);
        for (let step = 0; step < 20; step++) {
            await fleet.clock.advance(200);
            expect(third?.spread.stats().reading).to.equal(true);
            expect(fourth?.spread.stats().reading).to.equal(false);
        }
        fleet.platform.accept("kushiro", { [WEIGHT_CELL]: 2 });
        await fleet.clock.advance(1_700);
        expect(fleet.listInformed("kushiro")).to.have.lengthOf(23);
        fleet.stop();
    });

    it("stops polling on a standby when the readers reach the platform again", async () => {
        const fleet = await startZone(12, 5);
        const [first, second, third] = listByRank(fleet);
        [first, second].forEach((node) => {
            (node as FleetNode).canReachPlatform = false;
        });
        await fleet.clock.advance(8_000);
        expect(third?.spread.stats().reading).to.equal(true);
        [first, second].forEach((node) => {
            (node as FleetNode).canReachPlatform = true;
        });
        await fleet.clock.advance(12_000);
        expect(third?.spread.stats().reading).to.equal(false);
        fleet.stop();
    });

    it("lets the standbys take over one after another during a platform outage", async () => {
        const fleet = await startZone(24, 7);
        const standbys = listByRank(fleet).slice(2, 6);
        const countReading = (): number => standbys.filter((node) => node.spread.stats().reading).length;
        fleet.platform.setOutage(true);
        await fleet.clock.advance(4_400);
        expect(countReading()).to.be.within(1, 3);
        await fleet.clock.advance(8_000);
        expect(countReading()).to.equal(4);
        expect(fleet.nodes.filter((node) => node.spread.stats().reading)).to.have.lengthOf(6);
        fleet.stop();
    });

    it("resumes reads after a platform outage without a burst", async () => {
        // Guards against a platform that is overloaded again in the first second after an outage of two minutes,
        // because all nodes retry at a fixed interval or all at once.
        const fleet = createInMemoryFleet({ zones: 4, nodesPerZone: 10, seed: 6 });
        await fleet.startAll();
        fleet.platform.setOutage(true);
        await fleet.clock.advance(120_000);
        fleet.platform.accept("kushiro", { [WEIGHT_CELL]: 6 });
        fleet.platform.setOutage(false);
        const returnedAt = fleet.clock.monotonic();
        await fleet.clock.advance(6_000);
        expect(fleet.listInformed("kushiro")).to.have.lengthOf(40);
        const inFirstSecond = fleet.platform.readTimes.filter((time) =>
            time >= returnedAt && time < returnedAt + 1_000);
        expect(inFirstSecond.length).to.be.lessThan(40);
        fleet.stop();
    });
});
