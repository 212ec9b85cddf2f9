/** Settings of routing, as they stand in the daemon's YAML file. */
import { z } from "zod";

/**
 * What is known of where callers are; see docs/LOAD.md.
 *
 * - `unknown`: each node splits its requests by the table's weights.
 * - `evenOverZones`: callers are spread evenly over the zones, so a node may keep what it receives in its own zone as
 *   far as the fleet as a whole still meets the weights.
 */
export const callerSpreadSchema = z.enum(["unknown", "evenOverZones"]);
export type CallerSpread = z.infer<typeof callerSpreadSchema>;

/** The choice of targets. */
export const pickerOptionsSchema = z.strictObject({
    callerSpread: callerSpreadSchema.default("unknown"),
    /** Age at which a gate's load report counts for nothing, in milliseconds. */
    loadReportLifetimeMs: z.number().min(10).max(60_000).default(2000),
    /** Time over which a young target's share grows to the full one, in milliseconds. */
    slowStartMs: z.number().min(0).max(600_000).default(10_000),
    /** Failed attempts in a row after which a target is ejected. */
    ejectAfterFailures: z.number().int().min(1).max(100).default(3),
    /** First ejection's duration, in milliseconds; doubles with each further one. */
    ejectionMs: z.number().min(10).max(600_000).default(1000),
    /** Longest ejection, in milliseconds. */
    maximumEjectionMs: z.number().min(10).max(3_600_000).default(30_000),
    /** A target this many times slower than its zone's typical one is ejected. */
    slowFactor: z.number().min(1.5).max(100).default(4),
    /** A target that owes answers and gave none for this long is avoided, in milliseconds. */
    silenceMs: z.number().min(10).max(600_000).default(1000),
    /** The same for a target whose gate gives signs of life and owes one; more than twice their distance of 200 ms. */
    missedSignsMs: z.number().min(10).max(600_000).default(500),
    /**
     * Where targets are placed by load, one on the own VM or in the own zone is preferred while its expected load per
     * slot is at most this; 0 switches the preference off.
     */
    nearLoad: z.number().min(0).max(10).default(0.75),
    /** The same for the target on the own VM; at 1, one request more still finds a free slot there. */
    ownLoad: z.number().min(0).max(10).default(1),
    /** Where none nearby has room, one there may be this many times as loaded as one further away. */
    nearAdvantage: z.number().min(0).max(10).default(1.2),
    /** Time in which the spill of a zone that refuses no more falls to a third, in milliseconds. */
    spillReturnMs: z.number().min(100).max(600_000).default(5000),
    /** When to come back if a service has no target, in milliseconds. */
    noTargetRetryAfterMs: z.number().min(1).max(60_000).default(1000),
});
export type PickerOptions = z.infer<typeof pickerOptionsSchema>;

/** Retries. */
export const retryOptionsSchema = z.strictObject({
    /** Most attempts of one request. */
    maximumAttempts: z.number().int().min(1).max(10).default(3),
    /** Retries that a service may spend before its first success, and the size of its reserve. */
    retryReserve: z.number().int().min(0).max(1000).default(10),
    /**
     * When to come back after a target turned a request away although targets have free slots, in milliseconds: not
     * its load is the reason, so the next try may pass, and soon enough to be answered within the usual objectives.
     */
    shedRetryAfterMs: z.number().int().min(1).max(60_000).default(50),
});
export type RetryOptions = z.infer<typeof retryOptionsSchema>;

/** Which requests a node refuses before it sends them; switched off one by one to measure what each is worth. */
export const refusalOptionsSchema = z.strictObject({
    /** Those of services whose targets refuse most of their like. */
    overload: z.boolean().default(true),
    /** Those whose runs would fail for want of a call. */
    starvation: z.boolean().default(true),
});
export type RefusalOptions = z.infer<typeof refusalOptionsSchema>;

/** The section `routing` of the daemon's settings. */
export const routingOptionsSchema = z.strictObject({
    picker: pickerOptionsSchema.prefault({}),
    retry: retryOptionsSchema.prefault({}),
    refusals: refusalOptionsSchema.prefault({}),
});
export type RoutingOptions = z.infer<typeof routingOptionsSchema>;

/** For who has no settings file, such as tests. */
export const defaultRoutingOptions: RoutingOptions = routingOptionsSchema.parse({});
