/** Settings of the claims that prevent a non-idempotent request from running twice. */
import { z } from "zod";

const SECOND = 1000;
const HOUR = 3600 * SECOND;
const DAY = 24 * HOUR;

/** Headers of a target's response that are stored and returned to a repeated request with the same key. */
const DEFAULT_REPLAYED_HEADERS = ["content-type", "content-language", "location", "etag", "last-modified"];

export const claimOptionsSchema = z.strictObject({
    /** Longest time that a row write or read waits for others to share its call to the platform, in milliseconds. */
    batchWindowMs: z.number().min(0).max(100).default(3),
    /** Maximum number of rows in one transaction or in one read call. */
    maxBatchSize: z.number().int().min(1).max(500).default(64),
    /** Maximum number of transactions in flight; while this number is reached, further writes join larger batches. */
    maxTransactionsInFlight: z.number().int().min(1).max(64).default(4),
    /**
     * Longest time that a claim waits without any response from the platform, in milliseconds. After this time the
     * platform counts as down and claims are refused. The value must be above the platform's usual response times and
     * below the deadlines of requests with an idempotency key.
     */
    answerTimeoutMs: z.number().min(10).max(60 * SECOND).default(500),
    /** Backoff before the first retry of a platform call, in milliseconds; it doubles with each failure. */
    retryPauseMs: z.number().min(1).max(60 * SECOND).default(20),
    /** Maximum backoff before a retry of a platform call, in milliseconds. */
    maxRetryPauseMs: z.number().min(1).max(600 * SECOND).default(5 * SECOND),
    /** Retry-after time for a repeated request whose first request has no known outcome yet, in milliseconds. */
    duplicateRetryAfterMs: z.number().min(1).max(600 * SECOND).default(SECOND),
    /** Largest response body that is stored for repeated requests, in bytes. */
    maxAnswerBytes: z.number().int().min(0).max(64 * 1024).default(16 * 1024),
    /** Names, in lower case, of the response headers that are stored for repeated requests. */
    replayedHeaders: z.array(z.string().regex(/^[a-z0-9-]+$/)).max(32).default(DEFAULT_REPLAYED_HEADERS),
    /** Maximum number of outcomes that wait to be recorded; new claims are refused while it is reached. */
    maxPendingOutcomes: z.number().int().min(1).max(1_000_000).default(10_000),
    /** How long the row of a finished or released key is kept, in milliseconds. */
    retentionMs: z.number().min(HOUR).max(90 * DAY).default(DAY),
    /** How long the row of a key without a recorded outcome is kept, in milliseconds. */
    unfinishedRetentionMs: z.number().min(DAY).max(365 * DAY).default(7 * DAY),
    /** How far the timestamp in a key may be ahead of a node's wall clock, in milliseconds. */
    keyClockToleranceMs: z.number().min(0).max(HOUR).default(30 * SECOND),
    /** Mean time between two pages that the sweeper reads to find expired rows, in milliseconds. */
    sweepIntervalMs: z.number().min(SECOND).max(DAY).default(60 * SECOND),
    /** Number of rows in one page of the sweeper. */
    sweepPageSize: z.number().int().min(1).max(500).default(100),
});
export type ClaimOptions = z.infer<typeof claimOptionsSchema>;

/**
 * Settings of ownership: the one node that owns a partition accepts the keys of this partition from its memory.
 * Ownership is off by default; docs/IDEMPOTENCY.md lists what is not proved yet.
 */
export const ownershipOptionsSchema = z.strictObject({
    enabled: z.boolean().default(false),
    /** Number of partitions of each service's keys. It must be equal on all nodes and must never change. */
    partitions: z.number().int().min(1).max(1024).default(64),
    /** How far ahead of the wall clock a lease allows the timestamps in keys, in milliseconds. */
    leaseMs: z.number().min(SECOND).max(DAY).default(10 * 60 * SECOND),
    /**
     * How long the lease row of a node that left the membership must stay unchanged before it is fenced, in
     * milliseconds.
     */
    takeoverWaitMs: z.number().min(0).max(DAY).default(10 * SECOND),
    /** Time between two checks of which partitions to take over or to hand over, in milliseconds. */
    tickMs: z.number().min(100).max(600 * SECOND).default(2 * SECOND),
    /** Longest time that an outcome waits for others to share its transaction, in milliseconds. */
    recordWindowMs: z.number().min(0).max(60 * SECOND).default(500),
    /**
     * Maximum number of keys in memory. When it is reached, the oldest recorded keys are removed, and later repeats of
     * them are looked up in the platform's table.
     */
    maxKeys: z.number().int().min(1).max(1_000_000).default(20_000),
    /**
     * Largest response body that stays in memory after it is recorded, as the length of its Base64 text in the row.
     */
    maxMemoryAnswerBytes: z.number().int().min(0).max(16 * 1024).default(512),
});
export type OwnershipOptions = z.infer<typeof ownershipOptionsSchema>;
