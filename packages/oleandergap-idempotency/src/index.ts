/** Claims that prevent a non-idempotent request from running twice. */
export type { TargetResponse, ReplayedResponse } from "./claim/targetResponse.js";
export type { KnownOutcome } from "./claim/acquireClaim.js";
export {
    MAX_KEY_LENGTH,
    MIN_KEY_LENGTH,
    formatClaimPrefix,
    formatClaimRowKey,
    parseIdempotencyKey,
    readKeyTime,
} from "./claim/claimKey.js";
export { claimRowSchema, type ClaimRow } from "./claim/claimRow.js";
export {
    createClaimManager,
    type ClaimGrant,
    type ClaimManager,
    type ClaimManagerDependencies,
    type ClaimRequest,
    type ClaimResult,
    type ClaimStats,
} from "./claim/claimManager.js";
export type { Claim } from "./claim/localClaims.js";
export { createClaimSweeper, type ClaimSweeper, type ClaimSweeperDependencies } from "./claim/claimSweeper.js";
export { computeFingerprint, type FingerprintedRequest } from "./claim/fingerprint.js";
export { claimOptionsSchema, ownershipOptionsSchema, type ClaimOptions, type OwnershipOptions } from "./options.js";
export { createOwnedClaimManager, type OwnedClaimManagerDependencies } from "./ownership/ownedClaimManager.js";
export {
    createPartitionOwnership,
    type PartitionOwnership,
    type PartitionOwnershipDependencies,
} from "./ownership/partitionOwnership.js";
export type { AcceptKey, KeyDecision } from "./ownership/keyAcceptance.js";
export { findOwner, getPartition, rankOwners } from "./ownership/partitions.js";
