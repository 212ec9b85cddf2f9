import { expect } from "chai";
import type { NodeId } from "oleandergap-types";
import { createInMemoryFleet, type FleetNode, type InMemoryFleet } from "./inMemoryFleet.js";
import { createLimits } from "./recordingStore.js";

/** Time in which a confirmed version is to be in force at every node that can be reached. */
const CONVERGENCE_LIMIT_MS = 2_500;
/** Too many for a datagram, so that members pull the step. */
const CHANGED_LIMITS = createLimits("limit", 150);
const NODES = 12;
/** Longer than the patience with one question, and far below the time that an answer may take. */
const RESPONSE_DELAY_MS = 400;

/** A fleet in which the last node has not heard of the newest version. */
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

describe("a question to a member that told of no version", () => {
    // Guards against giving such a question up each time that another one is asked or has failed.
    it("goes on until its answer arrives although that takes longer than the patience", async () => {
        const { fleet, late } = await startWithLateNode((holder) => holder === "node-1" ? undefined : RESPONSE_DELAY_MS);
        late.spread.receiveHeads(fleet.node(1).address, fleet.node(1).store.heads());
        await fleet.clock.advance(CONVERGENCE_LIMIT_MS);
        expect(fleet.listInformed("halloway")).to.include(late);
        fleet.stop();
    });
});
