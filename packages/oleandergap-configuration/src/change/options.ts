/** Settings for the acceptance of changes. */
import { z } from "zod";

const positiveInteger = z.number().int().min(1);

/** Settings section `changes` of a node: budgets, attempts, timeouts and snapshots. */
export const changeOptionsSchema = z.strictObject({
    /** Budget of each partner at this node: changes and bytes per second, and the burst of each. */
    changesPerSecond: z.number().positive().default(10),
    changesBurst: positiveInteger.default(100),
    bytesPerSecond: positiveInteger.default(65_536),
    bytesBurst: positiveInteger.default(1_048_576),
    /** Rate limit of each partner for the whole fleet. Its state is stored in the partner's head row. */
    fleetChangesPerSecond: z.number().positive().default(5),
    fleetChangesBurst: positiveInteger.default(200),
    /**
     * Maximum number of changes of a partner that run or wait at this node; further changes are refused immediately.
     */
    maximumWaiting: positiveInteger.default(64),
    /** Maximum number of attempts to write a change; after that the change fails as contended. */
    maximumAttempts: positiveInteger.default(12),
    /** Jittered exponential backoff between attempts, in milliseconds. */
    backoffBaseMs: positiveInteger.default(10),
    backoffMaximumMs: positiveInteger.default(400),
    /** Timeout of a change including all attempts, in milliseconds. */
    timeoutMs: positiveInteger.default(10_000),
    /** Number of versions between two snapshots. */
    snapshotEvery: positiveInteger.default(32),
    /** Timeout for writing a snapshot, in milliseconds; a change is not delayed for longer. */
    snapshotTimeoutMs: positiveInteger.default(1000),
    /** Delay before the next attempt after a snapshot could not be written, in milliseconds. */
    snapshotRetryMs: positiveInteger.default(30_000),
});
export type ChangeOptions = z.infer<typeof changeOptionsSchema>;

/** Default settings for callers without a settings file, such as tests. */
export const defaultChangeOptions: ChangeOptions = changeOptionsSchema.parse({});
