/** Settings of the quotas. All nodes of a fleet must use the same values. */
import { z } from "zod";

export const quotaOptionsSchema = z.strictObject({
    /** Length of the windows in which requests are counted against a quota. */
    windowMs: z.number().int().min(1000).max(60_000).default(5000),
    /** Fraction by which the requests of a window may exceed the quota. */
    overageFraction: z.number().min(0).max(1).default(0.1),
    /** Number of requests by which those of a window may exceed the quota in addition. */
    overageRequests: z.number().int().min(0).max(10_000).default(20),
});
/** See {@link quotaOptionsSchema}. */
export type QuotaOptions = z.infer<typeof quotaOptionsSchema>;

/** The default settings. */
export const defaultQuotaOptions: QuotaOptions = quotaOptionsSchema.parse({});
