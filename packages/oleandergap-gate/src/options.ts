/** Settings of a gate, as they stand in the daemon's YAML file. */
import { z } from "zod";

/** Which waiting request of a caller starts next. */
export const queueOrderSchema = z.enum(["oldestFirst", "newestFirst", "deadlineFirst", "objectiveFirst", "adaptive"]);
export type QueueOrder = z.infer<typeof queueOrderSchema>;

/** Between whom the target's time is shared evenly: the callers' services of each partner, or the partners. */
export const fairShareSchema = z.enum(["callers", "partners"]);
export type FairShare = z.infer<typeof fairShareSchema>;

/** The section `gate` of the daemon's settings. */
export const gateOptionsSchema = z.strictObject({
    /** Order within one caller's share of the queue; docs/LOAD.md has the figures behind the default. */
    queueOrder: queueOrderSchema.default("oldestFirst"),
    fairShare: fairShareSchema.default("callers"),
    /**
     * A request counts as in time if the run would be that nine in ten of its kind keep to. This is the most of the
     * time between typical run and objective that is kept for that; the rest is left to the queue, 0 switches it off.
     * At 1, nearly all requests of a kind whose runs take about as long as its objective would count as late: with an
     * objective of 1.6 typical run times and callers that return, 276 of 1200 answers came in time instead of 952.
     */
    marginPart: z.number().min(0).max(1).default(0.5),
    /** Service time to assume for `retryAfterMs` until the target has answered a few requests, in milliseconds. */
    assumedServiceTimeMs: z.number().min(1).max(60_000).default(50),
    /** Longest `retryAfterMs` that a refusal names, in milliseconds. */
    maximumRetryAfterMs: z.number().min(1).max(600_000).default(30_000),
    /** `retryAfterMs` of a gate without a target: the time in which other nodes learn that the target left. */
    absentRetryAfterMs: z.number().min(1).max(60_000).default(1000),
});
export type GateOptions = z.infer<typeof gateOptionsSchema>;

/** For who has no settings file, such as tests. */
export const defaultGateOptions: GateOptions = gateOptionsSchema.parse({});
