import { expect } from "chai";
import { createInMemoryFleet, type InMemoryFleet } from "./inMemoryFleet.js";
import { healthyNetwork } from "./inMemoryNetwork.js";
import { createLimits } from "./recordingStore.js";

/** Too many for a datagram, so that members pull the step. */
const CHANGED_LIMITS = 40;

/** As long as a link may be full of requests. */
const OUTAGE_MS = 1_000;
/** A node that can reach its peers again has no reason to be later than this. */
const RECOVERY_LIMIT_MS = 1_500;

/** One zone in which versions cannot be fetched for a while after one came into force at its readers. */
const runOutage = async (seed: number): Promise<InMemoryFleet> => {
    let canServe = true;
    const fleet = createInMemoryFleet({ zones: 1, nodesPerZone: 12, seed, canServeVersions: () => canServe });
    await fleet.startAll();
    canServe = false;
    fleet.acceptAt(fleet.node(0), "halloway", createLimits("limit", CHANGED_LIMITS));
    await fleet.clock.advance(OUTAGE_MS);
    canServe = true;
    await fleet.clock.advance(RECOVERY_LIMIT_MS);
    return fleet;
};

/*
 * Symptom: a node answers 404 on a route that was confirmed more than three seconds before.
 * Sequence: the node's link is full of requests; it hears of the version in a datagram, and asks three members for it,
 *   one after the other, which all run out of time; the link is free again, and no newer version comes.
 * Cause: three failures set the head aside for five seconds, whatever the reason, and whoever else holds it.
 * Evidence: the nodes that were late are those with full links; there a pull runs out of time after a second, and three
 *   of them take about as long as the nodes were late by. Here, before the mend, eleven of twelve nodes were behind.
 */
describe("a version that could not be fetched for a while", () => {
    it("is fetched as soon as its holders can be reached again", async () => {
        for (const seed of [1, 2, 3]) {
            const fleet = await runOutage(seed);
            const outdatedNodes = fleet.nodes.filter((node) => !fleet.listInformed("halloway").includes(node));
            expect(outdatedNodes.map(({ address }) => address.id), `seed ${seed}`).to.deep.equal([]);
            fleet.stop();
        }
    });

    it("is fetched from other members although nobody tells of it again", async () => {
        let canServe = true;
        const fleet = createInMemoryFleet({
            zones: 1,
            nodesPerZone: 12,
            seed: 1,
            probes: false,
            canServeVersions: () => canServe,
        });
        await fleet.startAll();
        const [announcer, late] = [fleet.node(1), fleet.node(11)];
        fleet.network.setCut((from, to) => [from.id, to.id].includes(late.address.id));
        fleet.acceptAt(fleet.node(0), "halloway", createLimits("limit", CHANGED_LIMITS));
        await fleet.clock.advance(OUTAGE_MS);
        // Datagrams stay lost, as on a full link; connections open again after the trouble.
        fleet.network.setFaults({ ...healthyNetwork, lossShare: 1 });
        fleet.network.setCut(() => false);
        canServe = false;
        late.spread.receiveHeads(announcer.address, announcer.store.heads());
        await fleet.clock.advance(OUTAGE_MS);
        canServe = true;
        await fleet.clock.advance(RECOVERY_LIMIT_MS);
        expect(fleet.listInformed("halloway").map(({ address }) => address.id)).to.include(late.address.id);
        fleet.stop();
    });
});
