/**
 * Claims through ownership: keys that contain a timestamp are decided from the owner's memory where that is safe; all
 * other keys are claimed in the platform's table. The interface is that of the durable claims, so callers need not
 * distinguish them.
 */
import * as either from "fp-ts/lib/Either.js";
import { parseIdempotencyKey, readKeyTime } from "../claim/claimKey.js";
import type { ClaimManager, ClaimRequest, ClaimResult } from "../claim/claimManager.js";
import { checkKeyTime } from "../claim/keyTime.js";
import type { ClaimOptions } from "../options.js";
import type { Clock } from "oleandergap-types";
import type { PartitionOwnership } from "./partitionOwnership.js";

export interface OwnedClaimManagerDependencies {
    /** Decides on keys without a timestamp, and on keys that ownership cannot decide from memory. */
    readonly claimManager: ClaimManager;
    readonly ownership: PartitionOwnership;
    readonly clock: Clock;
    readonly claimOptions: ClaimOptions;
}

export const createOwnedClaimManager = (dependencies: OwnedClaimManagerDependencies): ClaimManager => {
    const { claimManager, ownership, clock, claimOptions } = dependencies;

    const decide = async (request: ClaimRequest, keyTime: number, signal: AbortSignal): Promise<ClaimResult> => {
        const decision = ownership.acceptKey(request, keyTime);
        switch (decision.kind) {
            case "Granted":
                return either.right(decision);
            case "Decided":
                return decision.result;
            case "ClaimDurably":
                return claimManager.claim(request, signal);
            case "LookUp":
                return claimManager.lookUp(request, signal);
        }
    };

    const claim: ClaimManager["claim"] = async (request, signal) => {
        const checkedKey = either.chain((parsed: string) => checkKeyTime(parsed, clock.now(), claimOptions))(
            parseIdempotencyKey(request.key),
        );
        if (either.isLeft(checkedKey)) {
            return checkedKey;
        }
        const keyTime = readKeyTime(checkedKey.right);
        return keyTime === undefined ?
            claimManager.claim(request, signal) :
            decide({ ...request, key: checkedKey.right }, keyTime, signal);
    };

    return { ...claimManager, claim };
};
