import { expect } from "chai";
import type { NodeId } from "oleandergap-types";
import { createInMemoryFleet, type FleetNode, type InMemoryFleet } from "./inMemoryFleet.js";
import { createLimits } from "./recordingStore.js";

/** Time limit for a confirmed version to come into force at every reachable node. */
const CONVERGENCE_LIMIT_MS = 2_500;
/** Too many cells for a datagram, so that members pull the delta. */
const CHANGED_LIMITS = createLimits("limit", 150);
const NODES = 12;
/** Longer than the delay before another source is tried, and far below the maximum time of a response. */
const RESPONSE_DELAY_MS = 400;

/** Starts a fleet in which the last node has not received the newest version. */
const startWithLateNode = async (
    getResponseDelay: (holder: NodeId) => number | undefined,
): Promise<{ readonly fleet: InMemoryFleet; readonly late: FleetNode }> => {
    let isLate = false;
    const fleet = createInMemoryFleet({
        zones: 1,
        nodesPerZone: NODES,
        seed: 1,
        probes: false,
        getResponseDelay: (_requester, holder) => isLate ? getResponseDelay(holder) : 0,
    });
    await fleet.startAll();
    const late = fleet.node(NODES - 1);
    fleet.network.setCut((from, to) => [from.id, to.id].includes(late.address.id));
    fleet.acceptAt(fleet.node(0), "halloway", CHANGED_LIMITS);
    await fleet.clock.advance(CONVERGENCE_LIMIT_MS);
    fleet.network.setCut(() => false);
    isLate = true;
    return { fleet, late };
};

describe("a request to a member that claimed no version", () => {
    // Guards against cancelling such a request whenever another request is sent or fails.
    it("continues until its response arrives, even after another source has been tried", async () => {
        const { fleet, late } = await startWithLateNode((holder) =>
            holder === "node-1" ? undefined : RESPONSE_DELAY_MS);
        late.spread.receiveHeads(fleet.node(1).address, fleet.node(1).store.heads());
        await fleet.clock.advance(CONVERGENCE_LIMIT_MS);
        expect(fleet.listInformed("halloway")).to.include(late);
        fleet.stop();
    });
});
