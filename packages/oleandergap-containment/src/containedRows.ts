/**
 * Contained requests in the platform's table. Nodes keep them in memory and tell each other; the rows are for the
 * moment at which all nodes start anew. Without them each such start would cost three more targets.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Logger } from "oleandergap-logger";
import type { Clock, Milliseconds, TableService } from "oleandergap-types";
import { drawBackoff, type Random } from "oleandergap-utils";
import { z } from "zod";
import { crashedNodeSchema, crashIdSchema, type Evidence } from "./evidence.js";
import type { ContainedRequest } from "./evidenceBook.js";
import { fingerprintSchema, type Fingerprint } from "./fingerprint.js";

const PREFIX = "containment/";
/** Requests that are read at a start; more than are ever contained at once. */
const MOST_READ = 500;
/** A call that takes longer is tried again. */
const CALL_LIMIT_MS: Milliseconds = 2000;
const BACKOFF_BASE_MS: Milliseconds = 250;
const BACKOFF_MAXIMUM_MS: Milliseconds = 5000;

/** One contained request; times are of the wall clock, which nodes share within a second or two. */
const rowSchema = z.strictObject({
    crashes: z.array(z.strictObject({ crash: crashIdSchema, node: crashedNodeSchema })).min(1).max(100),
    since: z.number(),
    until: z.number(),
});

/** What the rows are kept by. */
export interface ContainedRowsDependencies {
    readonly tableService: Pick<TableService, "transact" | "scan">;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly signal: AbortSignal;
}

/** The rows of contained requests. */
export interface ContainedRows {
    /** Writes a row, again and again until it is written. */
    readonly save: (request: ContainedRequest) => void;
    /** Deletes a row that this node wrote; others delete theirs. */
    readonly remove: (fingerprint: Fingerprint) => void;
    /** Reads all rows, again and again until they are read or `isWanted` says no. */
    readonly load: (isWanted: () => boolean) => Promise<Evidence | undefined>;
}

/** Creates the access; nothing is read or written before it is asked for. */
export const createContainedRows = (
    { tableService, clock, random, logger, signal }: ContainedRowsDependencies,
): ContainedRows => {
    /** What the last word on each request of this node is; a later one ends the attempts of an earlier one. */
    const wanted = new Map<Fingerprint, ContainedRequest | undefined>();
    /** Requests of which a write is under way. */
    const pending = new Set<Fingerprint>();

    /** Offset from the monotonic to the wall clock. */
    const wallOffset = (): Milliseconds => clock.now() - clock.monotonic();

    const retry = async (attempt: () => Promise<boolean>): Promise<void> => {
        for (let failures = 0; !signal.aborted && !await attempt(); failures++) {
            await clock.sleep(drawBackoff(random, failures, BACKOFF_BASE_MS, BACKOFF_MAXIMUM_MS), signal);
        }
    };

    const withLimit = async <Result>(call: (inTime: AbortSignal) => Promise<Result>): Promise<Result> => {
        const limit = new AbortController();
        const cancelTimer = clock.after(CALL_LIMIT_MS, () => limit.abort());
        try {
            return await call(AbortSignal.any([signal, limit.signal]));
        }
        finally {
            cancelTimer();
        }
    };

    const writeOnce = async (fingerprint: Fingerprint): Promise<boolean> => {
        const request = wanted.get(fingerprint);
        const key = PREFIX + fingerprint;
        const offset = wallOffset();
        const result = await withLimit((inTime) => tableService.transact([request === undefined ?
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
            }], inTime)());
        if (either.isLeft(result)) {
            logger.info("A contained request could not be written.", { fingerprint, reason: result.left.kind });
            return false;
        }
        return wanted.get(fingerprint) === request;
    };

    const write = (fingerprint: Fingerprint, request: ContainedRequest | undefined): void => {
        wanted.set(fingerprint, request);
        if (pending.has(fingerprint)) {
            return;
        }
        pending.add(fingerprint);
        void retry(() => writeOnce(fingerprint)).then(() => {
            pending.delete(fingerprint);
            if (wanted.get(fingerprint) === undefined) {
                wanted.delete(fingerprint);
            }
        });
    };
    const readOnce = async (): Promise<Evidence | undefined> => {
        const rows = await withLimit((inTime) => tableService.scan({ prefix: PREFIX, limit: MOST_READ }, inTime)());
        if (either.isLeft(rows)) {
            logger.info("Contained requests could not be read.", { reason: rows.left.kind });
            return undefined;
        }
        const offset = wallOffset();
        const crashes = rows.right.flatMap(({ key, value }) => {
            const fingerprint = fingerprintSchema.safeParse(key.slice(PREFIX.length));
            const row = rowSchema.safeParse(value);
            if (!fingerprint.success || !row.success) {
                logger.warn("A row of a contained request cannot be read; delete it.", { key });
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
            if (wanted.get(fingerprint) !== undefined) {
                write(fingerprint, undefined);
            }
        },
        load: async (isWanted) => {
            let evidence: Evidence | undefined;
            await retry(async () => {
                evidence = isWanted() ? await readOnce() : undefined;
                return evidence !== undefined || !isWanted();
            });
            return evidence;
        },
    };
};
