/** Simulated process that accepts keys through ownership. */
import type { NodeId, TableService } from "oleandergap-types";
import type { Clock } from "oleandergap-types";
import type { Logger } from "oleandergap-logger";
import type { Random } from "oleandergap-utils";
import { createClaimManager } from "../claim/claimManager.js";
import type { ClaimOptions, OwnershipOptions } from "../options.js";
import { createOwnedClaimManager } from "../ownership/ownedClaimManager.js";
import { createPartitionOwnership, type PartitionOwnership } from "../ownership/partitionOwnership.js";
import { createClaimingNode, SIMULATED_SERVICE, type SimulatedNode, type SimulatedNodeDependencies } from "./simulatedNode.js";

export interface OwnedNodeDependencies extends SimulatedNodeDependencies {
    readonly connect: (clock: Clock) => TableService;
    readonly random: Random;
    readonly logger: Logger;
    readonly nodeId: NodeId;
    readonly bootId: string;
    readonly claimOptions: ClaimOptions;
    readonly ownershipOptions: OwnershipOptions;
    readonly members: () => readonly NodeId[];
}

export interface OwnedNode extends SimulatedNode {
    readonly ownership: PartitionOwnership;
}

export const createOwnedNode = (dependencies: OwnedNodeDependencies): OwnedNode => {
    const { connect, claimOptions, ownershipOptions, members, signal } = dependencies;
    const ownerships: PartitionOwnership[] = [];
    const node = createClaimingNode(dependencies, (clock) => {
        const shared = { ...dependencies, clock, tableService: connect(clock) };
        const claimManager = createClaimManager({ ...shared, options: claimOptions });
        const ownership = createPartitionOwnership({
            ...shared,
            options: ownershipOptions,
            services: () => [SIMULATED_SERVICE],
            members,
            isMember: (nodeId) => members().includes(nodeId),
        });
        ownerships.push(ownership);
        void ownership.start(signal);
        return createOwnedClaimManager({ claimManager, ownership, clock, claimOptions });
    });
    const [ownership] = ownerships;
    if (ownership === undefined) {
        throw new Error("the node was created without its partition ownership");
    }
    return { ...node, ownership };
};
