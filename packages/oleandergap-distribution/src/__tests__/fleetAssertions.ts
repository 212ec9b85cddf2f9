/** Assertions that hold for a test fleet at any time, and assertions that hold after it has converged. */
import { expect } from "chai";
import type { PartnerName } from "oleandergap-types";
import { PARTNERS, type FleetNode, type InMemoryFleet } from "./inMemoryFleet.js";

export const expectNeverLower = (nodes: readonly FleetNode[]): void => {
    for (const { store } of nodes) {
        for (const partner of PARTNERS) {
            const sequences = store.applied.filter((head) => head.partner === partner).map((head) => head.sequence);
            expect(sequences).to.deep.equal([...new Set(sequences)].sort((left, right) => left - right));
        }
    }
};

export const expectInForceEverywhere = (fleet: InMemoryFleet, partner: PartnerName): void => {
    const running = fleet.nodes.filter((node) => node.isUp && !node.isFrozen);
    const outdatedNodes = running.filter((node) => !fleet.listInformed(partner).includes(node));
    expect(outdatedNodes.map((node) => node.address.id)).to.deep.equal([]);
    expectNeverLower(fleet.nodes);
};
