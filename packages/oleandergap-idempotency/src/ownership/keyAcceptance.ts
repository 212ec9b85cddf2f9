/** Decides on idempotency keys that contain a timestamp, without calling the platform. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds, NodeId, RequestFailure } from "oleandergap-types";
import type { KnownOutcome } from "../claim/acquireClaim.js";
import { formatClaimRowKey } from "../claim/claimKey.js";
import type { ClaimRequest } from "../claim/claimManager.js";
import type { ClaimedRow } from "../claim/claimRow.js";
import { createUnavailableFailure } from "../claim/failures.js";
import type { Claim } from "../claim/localClaims.js";
import type { OwnershipOptions } from "../options.js";
import type { KeyRegistry } from "./keyRegistry.js";
import { chooseDecisionSource } from "./decisionSource.js";
import { formatPartitionKey, type KeyRange } from "./ownershipRows.js";
import { getPartition } from "./partitions.js";

export type KeyDecision =
    | { readonly kind: "Granted"; readonly claim: Claim }
    | { readonly kind: "Decided"; readonly result: Either<RequestFailure, KnownOutcome> }
    /** The key must be claimed in the platform's table. */
    | { readonly kind: "ClaimDurably" }
    /** An earlier holder of the partition may have run the request: only a recorded outcome may be replayed. */
    | { readonly kind: "LookUp" };

/** `request.key` is already parsed, and `keyTime` is its timestamp. */
export type AcceptKey = (request: ClaimRequest, keyTime: Milliseconds) => KeyDecision;

export interface KeyAcceptanceDependencies {
    readonly keyRegistry: KeyRegistry;
    readonly clock: Clock;
    readonly nodeId: NodeId;
    readonly bootId: string;
    readonly options: Pick<OwnershipOptions, "partitions">;
    /** Returns the key range of a partition, or undefined when this process does not hold the partition. */
    readonly getRange: (partitionKey: string) => KeyRange | undefined;
    /** Returns the latest key timestamp that this process's lease allows. */
    readonly ceiling: () => Milliseconds;
}

/** Retry-after time of a node that does not own the key or does not own it yet, in milliseconds. */
const MOVE_RETRY_AFTER = 1000;

const REFUSED: KeyDecision = { kind: "Decided", result: either.left(createUnavailableFailure(MOVE_RETRY_AFTER)) };

export const createKeyAcceptance = (dependencies: KeyAcceptanceDependencies): AcceptKey => {
    const { keyRegistry, clock, nodeId, bootId, options, getRange, ceiling } = dependencies;
    let attempts = 0;

    const createRow = (fingerprint: string): ClaimedRow => {
        attempts += 1;
        const attemptId = `${nodeId}:${bootId}:owned-${attempts}`;
        return { attemptId, nodeId, bootId, fingerprint, claimedAt: clock.now(), state: "claimed" };
    };

    const formatPartition = ({ partner, service, key }: ClaimRequest): string =>
        formatPartitionKey({ service: { partner, service }, partition: getPartition(key, options.partitions) });

    const acceptFromMemory = (request: ClaimRequest, partitionKey: string, keyTime: Milliseconds): KeyDecision => {
        if (!keyRegistry.hasRoom()) {
            return REFUSED;
        }
        const rowKey = formatClaimRowKey(request, request.key);
        const key = { rowKey, partitionKey, keyTime, deadline: request.deadline };
        return { kind: "Granted", claim: keyRegistry.accept(key, createRow(request.fingerprint)) };
    };

    return (request, keyTime) => {
        const known = keyRegistry.find(formatClaimRowKey(request, request.key), request.fingerprint);
        if (known !== undefined) {
            return { kind: "Decided", result: known };
        }
        const partitionKey = formatPartition(request);
        const range = getRange(partitionKey);
        if (range === undefined) {
            return REFUSED;
        }
        switch (chooseDecisionSource(keyTime, range, ceiling())) {
            case "Memory":
                return acceptFromMemory(request, partitionKey, keyTime);
            case "Durable":
                return { kind: "ClaimDurably" };
            case "Unknown":
                return { kind: "LookUp" };
            case "BeyondLease":
                return REFUSED;
        }
    };
};
