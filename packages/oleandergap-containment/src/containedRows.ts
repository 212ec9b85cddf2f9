/**
 * Rows of contained requests in the platform's table. Nodes keep contained requests in memory and exchange them by
 * gossip. The rows preserve them for a restart of all nodes at once; without the rows, each such restart would crash
 * three more targets.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Logger } from "oleandergap-logger";
import type { Clock, Milliseconds, TableService } from "oleandergap-types";
import { callWithTimeLimit, drawBackoff, type Random } from "oleandergap-utils";
import { z } from "zod";
import { crashedNodeSchema, crashIdSchema, type Evidence } from "./evidence.js";
import type { ContainedRequest } from "./evidenceStore.js";
import { fingerprintSchema, type Fingerprint } from "./fingerprint.js";

const KEY_PREFIX = "containment/";
/** Maximum number of rows read at the start; more than the number of requests that are contained at the same time. */
const MAX_ROWS_READ = 500;
/** Time after which a call is aborted and retried. */
const CALL_TIMEOUT_MS: Milliseconds = 2000;
const BACKOFF_BASE_MS: Milliseconds = 250;
const BACKOFF_MAXIMUM_MS: Milliseconds = 5000;

/** Row of one contained request. Times are wall-clock times, which differ between nodes by at most a second or two. */
const rowSchema = z.strictObject({
    crashes: z.array(z.strictObject({ crash: crashIdSchema, node: crashedNodeSchema })).min(1).max(100),
    since: z.number(),
    until: z.number(),
});

/** Dependencies of the access to the rows. */
export interface ContainedRowsDependencies {
    readonly tableService: Pick<TableService, "transact" | "scan">;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly signal: AbortSignal;
}

/** Access to the rows of contained requests. */
export interface ContainedRows {
    /** Writes a row and retries until it is written. */
    readonly save: (request: ContainedRequest) => void;
    /** Deletes a row if this node wrote it. Other nodes delete the rows that they wrote. */
    readonly remove: (fingerprint: Fingerprint) => void;
    /** Reads all rows. Retries until the rows are read or `isNeeded` returns false. */
    readonly load: (isNeeded: () => boolean) => Promise<Evidence | undefined>;
}

/** Creates the access. It makes no call before one of its functions is called. */
export const createContainedRows = (
    { tableService, clock, random, logger, signal }: ContainedRowsDependencies,
): ContainedRows => {
    /**
     * Desired state of each row that this node writes; undefined means that the row is to be deleted. A later state
     * replaces an earlier one that is not written yet.
     */
    const desiredRows = new Map<Fingerprint, ContainedRequest | undefined>();
    /** Requests whose rows are being written. */
    const fingerprintsBeingWritten = new Set<Fingerprint>();

    /** Returns the offset from the monotonic to the wall clock. */
    const getWallClockOffset = (): Milliseconds => clock.now() - clock.monotonic();

    const retryUntilDone = async (attempt: () => Promise<boolean>): Promise<void> => {
        for (let failures = 0; !signal.aborted && !await attempt(); failures++) {
            await clock.sleep(drawBackoff(random, failures, BACKOFF_BASE_MS, BACKOFF_MAXIMUM_MS), signal);
        }
    };

    const callWithTimeout = <Result>(call: (callSignal: AbortSignal) => Promise<Result>): Promise<Result> =>
        callWithTimeLimit(clock, CALL_TIMEOUT_MS, signal, call);

    const writeOnce = async (fingerprint: Fingerprint): Promise<boolean> => {
        const request = desiredRows.get(fingerprint);
        const key = KEY_PREFIX + fingerprint;
        const offset = getWallClockOffset();
        const result = await callWithTimeout((callSignal) => tableService.transact([request === undefined ?
            { kind: "Delete", key, condition: { kind: "Any" } } :
            {
                kind: "Put",
                key,
                condition: { kind: "Any" },
                value: {
                    crashes: request.crashes,
                    since: request.since + offset,
                    until: request.until + offset,
                },
            }], callSignal)());
        if (either.isLeft(result)) {
            logger.info("The row of a contained request could not be written.", {
                fingerprint,
                reason: result.left.kind,
            });
            return false;
        }
        return desiredRows.get(fingerprint) === request;
    };

    const write = (fingerprint: Fingerprint, request: ContainedRequest | undefined): void => {
        desiredRows.set(fingerprint, request);
        if (fingerprintsBeingWritten.has(fingerprint)) {
            return;
        }
        fingerprintsBeingWritten.add(fingerprint);
        void retryUntilDone(() => writeOnce(fingerprint)).then(() => {
            fingerprintsBeingWritten.delete(fingerprint);
            if (desiredRows.get(fingerprint) === undefined) {
                desiredRows.delete(fingerprint);
            }
        });
    };

    const readOnce = async (): Promise<Evidence | undefined> => {
        const rows = await callWithTimeout((callSignal) =>
            tableService.scan({ prefix: KEY_PREFIX, limit: MAX_ROWS_READ }, callSignal)());
        if (either.isLeft(rows)) {
            logger.info("Contained requests could not be read.", { reason: rows.left.kind });
            return undefined;
        }
        const offset = getWallClockOffset();
        const crashes = rows.right.flatMap(({ key, value }) => {
            const fingerprint = fingerprintSchema.safeParse(key.slice(KEY_PREFIX.length));
            const row = rowSchema.safeParse(value);
            if (!fingerprint.success || !row.success) {
                logger.warn("The row of a contained request is invalid; delete it.", { key });
                return [];
            }
            const at = Math.min(clock.monotonic(), row.data.since - offset);
            return row.data.crashes.map(({ crash, node }) => ({ crash, node, at, fingerprints: [fingerprint.data] }));
        });
        return { crashes, goodRuns: [] };
    };

    return {
        save: (request) => write(request.fingerprint, request),
        remove: (fingerprint) => {
            if (desiredRows.get(fingerprint) !== undefined) {
                write(fingerprint, undefined);
            }
        },
        load: async (isNeeded) => {
            let evidence: Evidence | undefined;
            await retryUntilDone(async () => {
                evidence = isNeeded() ? await readOnce() : undefined;
                return evidence !== undefined || !isNeeded();
            });
            return evidence;
        },
    };
};
