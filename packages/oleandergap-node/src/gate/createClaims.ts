/**
 * Creates the claim manager. Claims are decided by the platform's table alone, or additionally by the owners of keys.
 */
import {
    createClaimManager,
    createOwnedClaimManager,
    createPartitionOwnership,
    type ClaimManager,
    type ClaimManagerDependencies,
    type OwnershipOptions,
    type PartitionOwnership,
    type PartitionOwnershipDependencies,
} from "oleandergap-idempotency";

export interface ClaimsDependencies extends ClaimManagerDependencies {
    readonly ownershipOptions: OwnershipOptions;
    readonly services: PartitionOwnershipDependencies["services"];
    readonly members: PartitionOwnershipDependencies["members"];
    readonly isMember: PartitionOwnershipDependencies["isMember"];
}

export interface Claims extends ClaimManager {
    /**
     * Renews leases and keeps the ownership of partitions until the node's signal aborts. Does nothing if key ownership
     * is disabled.
     */
    readonly start: (signal: AbortSignal) => Promise<void>;
    /** Hands the partitions over to other nodes before this node leaves. */
    readonly leave: (signal: AbortSignal) => Promise<void>;
    /** Undefined if key ownership is disabled. */
    readonly ownership: PartitionOwnership | undefined;
}

export const createClaims = (dependencies: ClaimsDependencies): Claims => {
    const claimManager = createClaimManager(dependencies);
    if (!dependencies.ownershipOptions.enabled) {
        return { ...claimManager, start: async () => undefined, leave: async () => undefined, ownership: undefined };
    }
    const claimOptions = dependencies.options;
    const ownership = createPartitionOwnership({
        ...dependencies,
        claimOptions,
        options: dependencies.ownershipOptions,
    });
    const ownedClaimManager = createOwnedClaimManager({
        claimManager,
        ownership,
        clock: dependencies.clock,
        claimOptions,
    });
    return { ...ownedClaimManager, start: ownership.start, leave: ownership.leave, ownership };
};
