/**
 * Group commit: row writes that arrive within a few milliseconds share one transaction, because the platform accepts
 * only several hundred transactions per second from the whole fleet.
 *
 * A transaction fails as a whole when one of its conditions fails, so one repeated key would make the other writes of
 * its batch fail as well. The platform returns the keys whose condition failed; the other writes are sent again
 * immediately in the next transaction.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Clock, PlatformError, RowCondition, TableOperation, TableService, TransactionResult } from "oleandergap-types";
import type { ClaimOptions } from "../options.js";

export interface RowWrite {
    readonly key: string;
    readonly condition: RowCondition;
    readonly value: unknown;
    /** Conditions on other rows that must also be met for this write. */
    readonly checks?: readonly Extract<TableOperation, { kind: "Check" }>[];
}

export type WriteOutcome =
    | { readonly kind: "Written" }
    /** Nothing was written: the condition on the row or one of the checks was not met. */
    | { readonly kind: "ConditionFailed" }
    | { readonly kind: "Failed"; readonly error: PlatformError };

export interface BatchWriter {
    readonly submit: (write: RowWrite) => Promise<WriteOutcome>;
    /** Returns the number of transactions sent so far. */
    readonly transactions: () => number;
}

export interface BatchWriterDependencies {
    readonly tableService: TableService;
    readonly clock: Clock;
    readonly signal: AbortSignal;
    /** Called when the platform responds to a transaction, whether it was committed or not. */
    readonly onResponse?: () => void;
    readonly options: Pick<ClaimOptions, "batchWindowMs" | "maxBatchSize" | "maxTransactionsInFlight">;
}

interface PendingWrite {
    readonly write: RowWrite;
    readonly resolve: (outcome: WriteOutcome) => void;
}

const toOperations = (batch: readonly PendingWrite[]): readonly TableOperation[] => {
    const checks = new Map<string, TableOperation>();
    for (const { write } of batch) {
        for (const check of write.checks ?? []) {
            checks.set(check.key, check);
        }
    }
    const puts = batch.map(({ write }): TableOperation =>
        ({ kind: "Put", key: write.key, condition: write.condition, value: write.value }));
    return [...checks.values(), ...puts];
};

const involvesAnyKey = (write: RowWrite, keys: ReadonlySet<string>): boolean =>
    keys.has(write.key) || (write.checks ?? []).some((check) => keys.has(check.key));

const isKeyInBatch = (write: RowWrite, batch: readonly PendingWrite[]): boolean =>
    batch.some((other) => other.write.key === write.key);

/** Removes the next batch of at most `limit` writes from `queue`. A batch contains each key at most once. */
const takeBatch = (queue: PendingWrite[], limit: number): readonly PendingWrite[] => {
    const batch: PendingWrite[] = [];
    const remaining: PendingWrite[] = [];
    for (const pending of queue.splice(0)) {
        const isIncluded = batch.length < limit && !isKeyInBatch(pending.write, batch);
        (isIncluded ? batch : remaining).push(pending);
    }
    queue.push(...remaining);
    return batch;
};

export const createBatchWriter = (dependencies: BatchWriterDependencies): BatchWriter => {
    const { tableService, clock, signal, onResponse, options } = dependencies;
    const queue: PendingWrite[] = [];
    let inFlight = 0;
    let transactions = 0;
    let isWindowOpen = false;

    const transact = async (batch: readonly PendingWrite[]): Promise<Either<PlatformError, TransactionResult>> => {
        try {
            return await tableService.transact(toOperations(batch), signal)();
        }
        catch (error) {
            // An adapter must not throw; if it does, it is unknown whether the transaction was committed.
            return either.left({ kind: "OutcomeUnknown", detail: String(error) });
        }
    };

    const resolveBatch = (batch: readonly PendingWrite[], result: Either<PlatformError, TransactionResult>): void => {
        if (either.isLeft(result)) {
            batch.forEach(({ resolve }) => resolve({ kind: "Failed", error: result.left }));
            return;
        }
        onResponse?.();
        if (result.right.kind === "Committed") {
            batch.forEach(({ resolve }) => resolve({ kind: "Written" }));
            return;
        }
        const failedKeys = new Set(result.right.keys);
        const failed = batch.filter(({ write }) => involvesAnyKey(write, failedKeys));
        // If the platform returns no key of the batch, the same transaction would otherwise be sent again endlessly.
        const rejected = failed.length === 0 ? batch : failed;
        rejected.forEach(({ resolve }) => resolve({ kind: "ConditionFailed" }));
        queue.unshift(...batch.filter((pending) => !rejected.includes(pending)));
    };

    const flush = async (): Promise<void> => {
        while (queue.length > 0 && inFlight < options.maxTransactionsInFlight) {
            const batch = takeBatch(queue, options.maxBatchSize);
            inFlight += 1;
            transactions += 1;
            const result = await transact(batch);
            inFlight -= 1;
            resolveBatch(batch, result);
        }
    };

    const openWindow = (): void => {
        if (isWindowOpen) {
            return;
        }
        isWindowOpen = true;
        clock.after(options.batchWindowMs, () => {
            isWindowOpen = false;
            void flush();
        });
    };

    return {
        submit: (write) => new Promise((resolve) => {
            queue.push({ write, resolve });
            if (queue.length >= options.maxBatchSize) {
                void flush();
            }
            openWindow();
        }),
        transactions: () => transactions,
    };
};
