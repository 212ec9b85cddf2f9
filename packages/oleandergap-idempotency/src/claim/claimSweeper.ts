/**
 * Deletes expired claim rows. All nodes that serve a service sweep its rows. If two nodes sweep the same page, only one
 * transaction is wasted, because each row is deleted only at the version that was read.
 *
 * A row with a known outcome can safely be deleted when callers must no longer repeat its request. A row that is still
 * `claimed` may belong to a frozen holder, so it is kept for days, far longer than the deadline of a request. Before
 * the holder sends the request, it checks with `mayStart` that this deadline has not passed.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds, ServiceReference, TableOperation, TableRow, TableService } from "oleandergap-types";
import type { Logger } from "oleandergap-logger";
import { pickOne, type Random } from "oleandergap-utils";
import type { ClaimOptions } from "../options.js";
import { formatClaimPrefix } from "./claimKey.js";
import { claimRowSchema } from "./claimRow.js";

export interface ClaimSweeperDependencies {
    readonly tableService: TableService;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly options: Pick<
        ClaimOptions,
        "retentionMs" | "unfinishedRetentionMs" | "sweepIntervalMs" | "sweepPageSize"
    >;
    /** Returns the services whose rows this node sweeps; called before each page. */
    readonly services: () => readonly ServiceReference[];
}

export interface ClaimSweeper {
    /** Sweeps one page at a time until `signal` aborts. */
    readonly start: (signal: AbortSignal) => Promise<void>;
    /** Sweeps the next page of a service and resolves to the number of deleted rows. */
    readonly sweepPage: (service: ServiceReference, signal: AbortSignal) => Promise<number>;
}

export const createClaimSweeper = (dependencies: ClaimSweeperDependencies): ClaimSweeper => {
    const { tableService, clock, random, logger, options, services } = dependencies;
    /** Last key of the previous page, by prefix. */
    const cursors = new Map<string, string>();

    const isExpired = (row: TableRow, now: Milliseconds): boolean => {
        const parsed = claimRowSchema.safeParse(row.value);
        if (!parsed.success) {
            return false;
        }
        const retention = parsed.data.state === "claimed" ? options.unfinishedRetentionMs : options.retentionMs;
        return now - parsed.data.claimedAt > retention;
    };

    const updateCursor = (prefix: string, page: readonly TableRow[]): void => {
        const last = page.at(-1);
        if (last === undefined || page.length < options.sweepPageSize) {
            cursors.delete(prefix);
            return;
        }
        cursors.set(prefix, last.key);
    };

    const deleteRows = async (rows: readonly TableRow[], signal: AbortSignal): Promise<number> => {
        const operations = rows.map((row): TableOperation =>
            ({ kind: "Delete", key: row.key, condition: { kind: "VersionIs", version: row.version } }));
        if (operations.length === 0) {
            return 0;
        }
        const result = await tableService.transact(operations, signal)();
        return either.isRight(result) && result.right.kind === "Committed" ? operations.length : 0;
    };

    const sweepPage = async (service: ServiceReference, signal: AbortSignal): Promise<number> => {
        const prefix = formatClaimPrefix(service);
        const after = cursors.get(prefix);
        const limit = options.sweepPageSize;
        const page = await tableService.scan({ prefix, limit, ...(after === undefined ? {} : { after }) }, signal)();
        if (either.isLeft(page)) {
            return 0;
        }
        updateCursor(prefix, page.right);
        const now = clock.now();
        return deleteRows(page.right.filter((row) => isExpired(row, now)), signal);
    };

    const sweepRandomService = async (signal: AbortSignal): Promise<void> => {
        const service = pickOne(random, services());
        if (service === undefined) {
            return;
        }
        const deleted = await sweepPage(service, signal);
        if (deleted > 0) {
            logger.debug("deleted expired claims", { service: service.service, deleted });
        }
    };

    const start = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(options.sweepIntervalMs * 2 * random(), signal);
            if (!signal.aborted) {
                await sweepRandomService(signal).catch((error: unknown) =>
                    logger.warn("could not sweep expired claims", { error: String(error) }));
            }
        }
    };

    return { start, sweepPage };
};
