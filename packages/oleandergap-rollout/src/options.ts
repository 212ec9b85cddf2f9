/** Settings of roll-outs. */
import { z } from "zod";

const durationSchema = z.number().int().min(1).max(600_000);
const shareSchema = z.number().min(0).max(1);

export const rolloutOptionsSchema = z.strictObject({
    /** Share of a service's requests that the new version receives until it is promoted. */
    canaryShare: shareSchema.default(0.06),
    /**
     * Number of requests in the whole fleet that the new version may receive beyond its share, so that a service with
     * little traffic can be judged at all.
     */
    canarySlack: z.number().int().min(0).max(100_000).default(35),
    /** Minimum number of targets that receive canary requests, so that a single slow target is recognised as such. */
    canaryTargets: z.number().int().min(1).max(1000).default(3),
    /** Share of a roll-out's duration after which a version without findings is promoted. */
    promoteAfterShare: shareSchema.default(0.65),
    /** Time that a promotion needs before the deadline. A version is promoted that early if the duration is short. */
    promotionMs: durationSchema.default(4500),
    /** Time before the deadline after which a version is no longer promoted. */
    latestPromotionMs: durationSchema.default(3000),
    /** Interval at which the share of the new version doubles during its promotion. */
    rampStepMs: durationSchema.default(500),
    /** Minimum time for which the new version carries all requests before the roll-out is completed. */
    settleMs: durationSchema.default(800),
    /** Time before the deadline at which the outcome is decided. */
    decisionMarginMs: durationSchema.default(1000),
});
/** See {@link rolloutOptionsSchema}. */
export type RolloutOptions = z.infer<typeof rolloutOptionsSchema>;

/** The default settings. */
export const defaultRolloutOptions: RolloutOptions = rolloutOptionsSchema.parse({});
