/**
 * Keys that this process accepted from memory. The registry exists as long as the process. Its outcomes are written to
 * the platform's table in the background, so that a later holder of the partition can replay them.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds, RequestFailure } from "oleandergap-types";
import { createKnownOutcome, type KnownOutcome } from "../claim/acquireClaim.js";
import { createStoredResponse, type TargetResponse } from "../claim/targetResponse.js";
import type { ClaimedRow, ClaimRow } from "../claim/claimRow.js";
import { createKeyReuseFailure, createDuplicateFailure } from "../claim/failures.js";
import type { Claim } from "../claim/localClaims.js";
import type { Settler } from "../claim/settler.js";
import type { ClaimOptions, OwnershipOptions } from "../options.js";

interface KeyEntry {
    /** Key of the partition's row. */
    readonly partitionKey: string;
    readonly keyTime: Milliseconds;
    row: ClaimRow;
    /** True until the claim is completed, released or left open. */
    isRunning: boolean;
    /** True when the row is written to the platform's table. */
    isRecorded: boolean;
}

export interface AcceptedKey {
    readonly rowKey: string;
    readonly partitionKey: string;
    readonly keyTime: Milliseconds;
    readonly deadline: Milliseconds;
}

export interface KeyRegistry {
    /** Returns the result for a repeated request, or undefined when the key is not in memory. */
    readonly find: (rowKey: string, fingerprint: string) => Either<RequestFailure, KnownOutcome> | undefined;
    /** Returns false while all entries are keys that are not recorded yet and the maximum number is reached. */
    readonly hasRoom: () => boolean;
    /** Accepts a key that is not in memory and returns its claim. */
    readonly accept: (key: AcceptedKey, row: ClaimedRow) => Claim;
    /** Returns whether all keys of the partition are recorded and none is running. */
    readonly isSettled: (partitionKey: string) => boolean;
    /** Returns the number of keys in memory. */
    readonly size: () => number;
}

export interface KeyRegistryDependencies {
    readonly settler: Settler;
    readonly clock: Clock;
    readonly claimOptions: Pick<ClaimOptions, "maxAnswerBytes" | "replayedHeaders" | "duplicateRetryAfterMs">;
    readonly options: Pick<OwnershipOptions, "maxKeys" | "maxMemoryAnswerBytes">;
    /**
     * Called when a recorded key is removed from memory: keys of its partition with a timestamp up to `keyTime` can no
     * longer be decided from memory.
     */
    readonly onEvicted: (partitionKey: string, keyTime: Milliseconds) => void;
}

/**
 * Removes a large body from a recorded row in memory; a repeated request then receives only the outcome that the
 * request ran.
 */
const dropLargeBody = (row: ClaimRow, limit: number): ClaimRow => {
    if (row.state !== "finished" || (row.answer.bodyBase64?.length ?? 0) <= limit) {
        return row;
    }
    return { ...row, answer: { status: row.answer.status, headers: row.answer.headers } };
};

export const createKeyRegistry = (dependencies: KeyRegistryDependencies): KeyRegistry => {
    const { settler, clock, claimOptions, options, onEvicted } = dependencies;
    const entries = new Map<string, KeyEntry>();
    /** Number of keys that are running or not recorded, by the key of the partition's row. */
    const unsettledCounts = new Map<string, number>();

    const changeUnsettledCount = (partitionKey: string, change: number): void => {
        const count = (unsettledCounts.get(partitionKey) ?? 0) + change;
        if (count === 0) {
            unsettledCounts.delete(partitionKey);
            return;
        }
        unsettledCounts.set(partitionKey, count);
    };

    const record = async (rowKey: string, entry: KeyEntry, row: ClaimRow): Promise<void> => {
        entry.row = row;
        entry.isRunning = false;
        if (!await settler.settle({ rowKey, row, isFirst: true })) {
            return;
        }
        entry.row = dropLargeBody(row, options.maxMemoryAnswerBytes);
        entry.isRecorded = true;
        changeUnsettledCount(entry.partitionKey, -1);
    };

    const evictOldest = (): void => {
        for (const [rowKey, entry] of entries) {
            if (entry.isRecorded) {
                entries.delete(rowKey);
                onEvicted(entry.partitionKey, entry.keyTime);
                return;
            }
        }
    };

    const createClaim = (rowKey: string, entry: KeyEntry, row: ClaimedRow, deadline: Milliseconds): Claim => {
        const end = (finish: () => void): void => {
            if (entry.isRunning) {
                entry.isRunning = false;
                finish();
            }
        };
        const complete = (response: TargetResponse): void => {
            void record(
                rowKey,
                entry,
                { ...row, state: "finished", answer: createStoredResponse(response, claimOptions) },
            );
        };
        return {
            mayStart: () => entry.isRunning && clock.monotonic() < deadline,
            complete: (response) => end(() => complete(response)),
            release: () => end(() => {
                entries.delete(rowKey);
                changeUnsettledCount(entry.partitionKey, -1);
            }),
            leaveOpen: () => end(() => {
                void record(rowKey, entry, row);
            }),
        };
    };

    return {
        find: (rowKey, fingerprint) => {
            const entry = entries.get(rowKey);
            if (entry === undefined) {
                return undefined;
            }
            if (entry.row.fingerprint !== fingerprint) {
                return either.left(createKeyReuseFailure());
            }
            return entry.row.state === "finished" ?
                either.right(createKnownOutcome(entry.row)) :
                either.left(createDuplicateFailure(claimOptions.duplicateRetryAfterMs));
        },
        hasRoom: () => {
            if (entries.size >= options.maxKeys) {
                evictOldest();
            }
            return entries.size < options.maxKeys;
        },
        accept: ({ rowKey, partitionKey, keyTime, deadline }, row) => {
            const entry: KeyEntry = { partitionKey, keyTime, row, isRunning: true, isRecorded: false };
            entries.set(rowKey, entry);
            changeUnsettledCount(partitionKey, 1);
            return createClaim(rowKey, entry, row, deadline);
        },
        isSettled: (partitionKey) => !unsettledCounts.has(partitionKey),
        size: () => entries.size,
    };
};
