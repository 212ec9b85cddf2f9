// Guards against a large delta that each member pulls from its parent in the forwarding tree, so that narrow links
// transfer it level by level and the zone serves the old version for seconds. By calculation, 0.1 MB to four members
// takes 0.9 s on a link of 3.5 Mbit/s, so three levels take 2.7 s.
import { expect } from "chai";
import { defaultDistributionOptions } from "../options.js";
import { expectInForceEverywhere } from "./fleetAssertions.js";
import { createInMemoryFleet, type InMemoryFleet } from "./inMemoryFleet.js";
import { createLimits } from "./recordingStore.js";

const WIDE_NODES = [5, 16];
const ADDED_LIMITS = 300;

const startZone = async (): Promise<InMemoryFleet> => {
    const reader = { ...defaultDistributionOptions.reader, intervalMs: 100 };
    const budget = { ...defaultDistributionOptions.budget, zones: 1, readerReadsPerSecond: 400 };
    const fleet = createInMemoryFleet({
        zones: 1,
        nodesPerZone: 28,
        seed: 51,
        options: { ...defaultDistributionOptions, reader, budget },
        getLinkClass: (index) => WIDE_NODES.includes(index) ? 6 : 1,
    });
    fleet.platform.serveWholeDocuments();
    await fleet.startAll();
    await fleet.clock.advance(5_000);
    fleet.platform.accept("halloway", createLimits("old", ADDED_LIMITS));
    await fleet.clock.advance(3_000);
    return fleet;
};

describe("the distribution of a large delta", () => {
    it("transfers the delta over wide links and only small messages over narrow links", async () => {
        const fleet = await startZone();
        const before = new Map(fleet.network.bytes);
        fleet.platform.accept("halloway", createLimits("new", ADDED_LIMITS));
        await fleet.clock.advance(1_500);
        expectInForceEverywhere(fleet, "halloway");
        const deltaBytes = Buffer.byteLength(JSON.stringify(createLimits("new", ADDED_LIMITS)));
        const largeSenders = fleet.nodes.flatMap(({ address }, index) =>
            (fleet.network.bytes.get(address.id) ?? 0) - (before.get(address.id) ?? 0) > deltaBytes ? [index] : []);
        expect(WIDE_NODES).to.include.members(largeSenders);
        expect(fleet.nodes.every((node) => node.store.deltaTo("halloway", 3) !== undefined)).to.equal(true);
        fleet.stop();
    });
});
