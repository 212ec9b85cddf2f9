/** Settings of a gate in the daemon's YAML file. */
import { z } from "zod";

/** Order in which the waiting requests of one flow start. */
export const queueOrderSchema = z.enum(["oldestFirst", "newestFirst", "deadlineFirst", "objectiveFirst", "adaptive"]);
export type QueueOrder = z.infer<typeof queueOrderSchema>;

/** Unit of fair sharing: the pairs of partner and calling service (`callers`), or the partners. */
export const fairShareSchema = z.enum(["callers", "partners"]);
export type FairShare = z.infer<typeof fairShareSchema>;

/** The section `gate` of the daemon's settings. */
export const gateOptionsSchema = z.strictObject({
    /** Order within one flow of the queue. docs/LOAD.md explains the default. */
    queueOrder: queueOrderSchema.default("oldestFirst"),
    fairShare: fairShareSchema.default("callers"),
    /**
     * Limits the safety margin for service times above the median. A request counts as on time if a run at the 90th
     * percentile of its kind would meet the objective. The margin is at most this share of the time between the median
     * run and the objective; the rest is left for queueing, and 0 disables the margin. At 1, nearly all requests of a
     * kind would count as late if its runs take about as long as its objective: with an objective of 1.6 times the
     * median and callers that retry, 276 of 1200 responses met the objective instead of 952.
     */
    marginPart: z.number().min(0).max(1).default(0.5),
    /** Service time assumed for `retryAfterMs` until the target has answered enough requests, in milliseconds. */
    assumedServiceTimeMs: z.number().min(1).max(60_000).default(50),
    /** Upper bound of `retryAfterMs` in a refusal, in milliseconds. */
    maximumRetryAfterMs: z.number().min(1).max(600_000).default(30_000),
    /** `retryAfterMs` of a gate without a target: the time until other nodes have received the target's removal. */
    absentRetryAfterMs: z.number().min(1).max(60_000).default(1000),
});
export type GateOptions = z.infer<typeof gateOptionsSchema>;

/** The default settings, for callers without a settings file such as tests. */
export const defaultGateOptions: GateOptions = gateOptionsSchema.parse({});
