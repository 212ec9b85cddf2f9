/**
 * Batches row reads: reads that arrive within a short window share one call, because the platform accepts only about
 * two thousand reads per second in total.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Clock, PlatformError, TableRow, TableService } from "oleandergap-types";
import type { ClaimOptions } from "../options.js";

/** Result of one read; its value is undefined when the row does not exist. */
export type ReadOutcome = Either<PlatformError, TableRow | undefined>;

export interface BatchReader {
    readonly read: (key: string) => Promise<ReadOutcome>;
    /** Returns the number of calls sent so far. */
    readonly calls: () => number;
}

export interface BatchReaderDependencies {
    readonly tableService: TableService;
    readonly clock: Clock;
    readonly signal: AbortSignal;
    readonly options: Pick<ClaimOptions, "batchWindowMs" | "maxBatchSize">;
}

interface PendingRead {
    readonly key: string;
    readonly resolve: (outcome: ReadOutcome) => void;
}

export const createBatchReader = ({ tableService, clock, signal, options }: BatchReaderDependencies): BatchReader => {
    let pending: PendingRead[] = [];
    let calls = 0;

    const fetch = async (keys: readonly string[]): Promise<Either<PlatformError, readonly TableRow[]>> => {
        try {
            return await tableService.read(keys, signal)();
        }
        catch (error) {
            return either.left({ kind: "Unavailable", detail: String(error) });
        }
    };

    const readBatch = async (batch: readonly PendingRead[]): Promise<void> => {
        calls += 1;
        const result = await fetch([...new Set(batch.map(({ key }) => key))]);
        if (either.isLeft(result)) {
            batch.forEach(({ resolve }) => resolve(result));
            return;
        }
        const rows = new Map(result.right.map((row) => [row.key, row]));
        batch.forEach(({ key, resolve }) => resolve(either.right(rows.get(key))));
    };

    const flush = (): void => {
        const batchedReads = pending;
        pending = [];
        for (let start = 0; start < batchedReads.length; start += options.maxBatchSize) {
            void readBatch(batchedReads.slice(start, start + options.maxBatchSize));
        }
    };

    return {
        read: (key) => new Promise((resolve) => {
            pending.push({ key, resolve });
            if (pending.length === 1) {
                clock.after(options.batchWindowMs, flush);
            }
        }),
        calls: () => calls,
    };
};
