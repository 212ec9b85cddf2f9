import { expect } from "chai";
import { createInMemoryFleet, type InMemoryFleet } from "./inMemoryFleet.js";
import { healthyNetwork } from "./inMemoryNetwork.js";
import { createLimits } from "./recordingStore.js";

/** Too many limits for a datagram, so that members pull the delta. */
const CHANGED_LIMITS = 40;

/** Time for which a link may be saturated by requests. */
const OUTAGE_MS = 1_000;
/** Time limit for a node to receive the version after it can reach its peers again. */
const RECOVERY_LIMIT_MS = 1_500;

/** Runs a zone in which versions cannot be fetched for a while after one was accepted at a node. */
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
 * Guards against a head that is ignored for seconds after three pulls timed out, although other members hold the
 * version. The link of the node is saturated by requests during the pulls. It is free again afterwards, but no newer
 * version is announced, so the node responds with 404 on a route that was confirmed more than three seconds before.
 */
describe("a version that could not be fetched for a while", () => {
    it("is fetched shortly after its holders become reachable again", async () => {
        for (const seed of [1, 2, 3]) {
            const fleet = await runOutage(seed);
            const outdatedNodes = fleet.nodes.filter((node) => !fleet.listInformed("halloway").includes(node));
            expect(outdatedNodes.map(({ address }) => address.id), `seed ${seed}`).to.deep.equal([]);
            fleet.stop();
        }
    });

    it("is fetched from other members although no node announces it again", async () => {
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
        // Datagrams remain lost, as on a saturated link. Connections work again after the outage.
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
