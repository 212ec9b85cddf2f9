/** Routing settings as they appear in the daemon's YAML file. */
import { z } from "zod";

/**
 * Describes how callers are distributed over the availability zones; see docs/LOAD.md.
 *
 * - `unknown`: each node splits its requests by the weights of the table.
 * - `evenOverZones`: callers are spread evenly over the zones. A node may therefore keep the requests that it receives
 *   in the local zone, as far as the fleet as a whole still meets the weights.
 */
export const callerSpreadSchema = z.enum(["unknown", "evenOverZones"]);
export type CallerSpread = z.infer<typeof callerSpreadSchema>;

/** Settings for target selection. */
export const pickerOptionsSchema = z.strictObject({
    callerSpread: callerSpreadSchema.default("unknown"),
    /** Age, in milliseconds, at which a gate's load report no longer affects the score of a target. */
    loadReportLifetimeMs: z.number().min(10).max(60_000).default(2000),
    /**
     * Duration of the slow start, in milliseconds, over which the traffic share of a new target grows to its full
     * share.
     */
    slowStartMs: z.number().min(0).max(600_000).default(10_000),
    /** Number of consecutive failed attempts after which a target is ejected. */
    ejectAfterFailures: z.number().int().min(1).max(100).default(3),
    /** Duration of the first ejection, in milliseconds. It doubles with each further ejection. */
    ejectionMs: z.number().min(10).max(600_000).default(1000),
    /** Maximum duration of an ejection, in milliseconds. */
    maximumEjectionMs: z.number().min(10).max(3_600_000).default(30_000),
    /** Ratio of a target's latency to the typical latency of its zone above which the target is ejected as slow. */
    slowFactor: z.number().min(1.5).max(100).default(4),
    /** Time, in milliseconds, without any response after which a target with requests in flight is avoided. */
    silenceMs: z.number().min(10).max(600_000).default(1000),
    /**
     * Time, in milliseconds, without a request heartbeat after which a target with requests in flight is avoided, if
     * its gate sends request heartbeats. Use more than twice their interval of 200 ms.
     */
    missedSignsMs: z.number().min(10).max(600_000).default(500),
    /**
     * Highest expected load per slot at which a target on the local VM or in the local zone is preferred. It applies to
     * services whose targets are placed by load. 0 disables the preference.
     */
    nearLoad: z.number().min(0).max(10).default(0.75),
    /** Like `nearLoad`, for the target on the local VM. At 1, one more request still finds a free slot there. */
    ownLoad: z.number().min(0).max(10).default(1),
    /**
     * Factor by which a local target may be more loaded than a remote one and still be chosen, when no local target is
     * within `nearLoad` or `ownLoad`.
     */
    nearAdvantage: z.number().min(0).max(10).default(1.2),
    /**
     * Time constant, in milliseconds, of the decay of a zone's spill: without further refusals, the spill falls to
     * about a third (1/e) in this time.
     */
    spillReturnMs: z.number().min(100).max(600_000).default(5000),
    /** Retry delay that is suggested to callers when a service has no target, in milliseconds. */
    noTargetRetryAfterMs: z.number().min(1).max(60_000).default(1000),
});
export type PickerOptions = z.infer<typeof pickerOptionsSchema>;

/** Settings for retries. */
export const retryOptionsSchema = z.strictObject({
    /** Maximum number of attempts per request. */
    maximumAttempts: z.number().int().min(1).max(10).default(3),
    /**
     * Number of retries that a service may use before its first success. It is also the capacity of the retry budget.
     */
    retryReserve: z.number().int().min(0).max(1000).default(10),
    /**
     * Retry delay, in milliseconds, that is suggested to callers after a target rejected a request by itself although
     * targets have free slots. The rejection is not caused by load, so the next attempt may succeed. The delay is short
     * enough for a response within the usual objectives.
     */
    shedRetryAfterMs: z.number().int().min(1).max(60_000).default(50),
});
export type RetryOptions = z.infer<typeof retryOptionsSchema>;

/**
 * Selects which requests a node refuses before it sends them. Each rule can be disabled on its own to compare the
 * results.
 */
export const refusalOptionsSchema = z.strictObject({
    /** Sends only the share of the requests that the gates of their service ask for. */
    admission: z.boolean().default(true),
    /** Refuses requests to services whose targets refuse most requests of the same kind. */
    overload: z.boolean().default(true),
    /** Refuses requests whose runs would fail because a downstream call is not served. */
    starvation: z.boolean().default(true),
});
export type RefusalOptions = z.infer<typeof refusalOptionsSchema>;

/** The `routing` section of the daemon's settings. */
export const routingOptionsSchema = z.strictObject({
    picker: pickerOptionsSchema.prefault({}),
    retry: retryOptionsSchema.prefault({}),
    refusals: refusalOptionsSchema.prefault({}),
});
export type RoutingOptions = z.infer<typeof routingOptionsSchema>;

/** Defaults for code that has no settings file, such as tests. */
export const defaultRoutingOptions: RoutingOptions = routingOptionsSchema.parse({});
