// Guards against readers with narrow links: versions arrive as whole documents and saturate such a link for seconds, so
// that the versions are late and requests through the node wait. In a fleet of 83 nodes, 6 of them with wide links, all
// eleven nodes that could not reach the platform for about three seconds had narrow links.
import { expect } from "chai";
import { defaultDistributionOptions } from "../options.js";
import { countReaders, rankReaders } from "../readerRole.js";
import { createInMemoryFleet, type InMemoryFleet } from "./inMemoryFleet.js";
import { expectInForceEverywhere } from "./fleetAssertions.js";
import { WEIGHT_CELL } from "./recordingStore.js";

const WIDE_CLASS = 6;
const NARROW_CLASS = 1;
const NODES = 24;

const listReading = (fleet: InMemoryFleet): readonly number[] =>
    fleet.nodes.flatMap((node, index) => node.spread.stats().reading ? [index] : []);

const startZone = async (wide: readonly number[]): Promise<InMemoryFleet> => {
    const fleet = createInMemoryFleet({
        zones: 1,
        nodesPerZone: NODES,
        seed: 41,
        getLinkClass: (index) => wide.includes(index) ? WIDE_CLASS : NARROW_CLASS,
    });
    await fleet.startAll();
    await fleet.clock.advance(5_000);
    return fleet;
};

describe("readers of a zone with links of different widths", () => {
    it("are the members with wide links", async () => {
        const fleet = await startZone([7, 19]);
        expect(listReading(fleet)).to.deep.equal([7, 19]);
        fleet.stop();
    });

    it("are members with narrow links after the last member with a wide link has died", async () => {
        const fleet = await startZone([7]);
        expect(listReading(fleet)).to.include(7).and.to.have.lengthOf(2);
        fleet.kill(fleet.node(7));
        await fleet.clock.advance(12_000);
        expect(listReading(fleet).filter((index) => fleet.node(index).isUp)).to.have.lengthOf(2);
        fleet.platform.accept("kushiro", { [WEIGHT_CELL]: 3 });
        await fleet.clock.advance(3_000);
        expectInForceEverywhere(fleet, "kushiro");
        fleet.stop();
    });

    it("announce a version to the other zones as soon as they hold it", async () => {
        // The second zone cannot reach the platform. Without the announcement, it receives heads only with the periodic
        // messages of the readers in the first zone.
        const reader = { ...defaultDistributionOptions.reader, intervalMs: 100 };
        const budget = { ...defaultDistributionOptions.budget, zones: 2, readerReadsPerSecond: 400 };
        const options = { ...defaultDistributionOptions, reader, budget };
        const fleet = createInMemoryFleet({ zones: 2, nodesPerZone: 8, seed: 42, probes: false, options });
        await fleet.startAll();
        await fleet.clock.advance(5_000);
        fleet.zone(1).forEach((node) => {
            node.canReachPlatform = false;
        });
        for (let weight = 2; weight < 12; weight++) {
            fleet.platform.accept("halloway", { [WEIGHT_CELL]: weight });
            await fleet.clock.advance(400);
            expectInForceEverywhere(fleet, "halloway");
        }
        fleet.stop();
    });
});

describe("countReaders", () => {
    const createRanked = (classes: readonly (number | undefined)[]): ReturnType<typeof rankReaders> =>
        rankReaders({
            self: () => ({ id: "a", zone: "z", address: "127.0.0.1", controlPort: 1 }),
            members: () => classes.map((linkClass, index) => ({
                id: `node-${index}`,
                zone: "z",
                address: "127.0.0.1",
                controlPort: index + 1,
                ...linkClass === undefined ? {} : { linkClass },
            })),
        });

    it("returns the configured number if all links are similar or unknown", () => {
        expect(countReaders(createRanked([3, 3, 2, 3, 3]), 4)).to.equal(4);
        expect(countReaders(createRanked([undefined, undefined, undefined]), 2)).to.equal(2);
    });

    it("counts members with narrow links only up to the minimum of two readers", () => {
        expect(countReaders(createRanked([1, 6, 1, 1]), 4)).to.equal(2);
        expect(countReaders(createRanked([1, 6, 6, 6, 1]), 4)).to.equal(3);
        expect(countReaders(createRanked([1, 6, 1, 1]), 1)).to.equal(1);
    });
});
