/** Settings and simulated faults of a target stand-in. */
import { z } from "zod";
import { addressSchema, partnerNameSchema, portSchema, serviceNameSchema } from "oleandergap-types";

const millisecondsSchema = z.number().nonnegative();
const shareSchema = z.number().min(0).max(1);

/**
 * Log-normal distribution of the service time of a request, because service times of real back ends are skewed to the
 * right.
 */
export const serviceTimeSchema = z.strictObject({
    medianMs: millisecondsSchema.default(5),
    /** Standard deviation of the logarithm. With 0 every request takes `medianMs`. */
    spread: z.number().min(0).max(3).default(0.3),
});

/**
 * Slowdown after the start of a target: a factor on the service time that decreases linearly to 1 over `durationMs`.
 */
export const coldStartSchema = z.strictObject({
    factor: z.number().min(1).default(4),
    durationMs: millisecondsSchema.default(2000),
});

/** Behaviour of `GET /health` and `GET /load`. */
export const healthBehaviourSchema = z.strictObject({
    /** `alwaysOk` reports a healthy target even when it sheds load or hangs. `truthful` reports its real state. */
    health: z.enum(["alwaysOk", "truthful"]).default("alwaysOk"),
    /** Minimum age of the reported load. */
    loadLagMs: millisecondsSchema.default(2000),
});

/** Options of a target stand-in. All options but the names have defaults. */
export const targetOptionsSchema = z.strictObject({
    /** Id of the target in its responses and in the control interface. */
    id: z.string().min(1),
    partner: partnerNameSchema,
    service: serviceNameSchema,
    address: addressSchema.default("127.0.0.1"),
    /** Port number; 0 selects any free port. */
    port: z.number().int().min(0).max(65_535).default(0),
    /** Version that the target announces; none if absent. */
    version: z.string().min(1).optional(),
    slots: z.number().int().min(1).default(12),
    connections: z.number().int().min(1).default(120),
    serviceTime: serviceTimeSchema.prefault({}),
    coldStart: coldStartSchema.prefault({}),
    healthBehaviour: healthBehaviourSchema.prefault({}),
    /**
     * Whether requests beyond the slots are refused. Otherwise all requests run concurrently and slow each other down.
     */
    shed: z.boolean().default(true),
    /** Time after which idle connections are closed. */
    keepAliveMs: millisecondsSchema.default(5000),
    /** Admin port of the node on the target's VM. If it is omitted, the target sends no announcements. */
    node: z.strictObject({ address: addressSchema, adminPort: portSchema }).optional(),
    announceEveryMs: z.number().positive().default(1000),
    /** Seed of the service times and of the random faults. */
    seed: z.number().int().default(1),
});
/** Options with defaults applied. */
export type TargetOptions = z.output<typeof targetOptionsSchema>;

/** Faults that can be changed at run time. Each share is the probability for a single request. */
export const targetFaultsSchema = z.strictObject({
    /** Time that is added to the service time of each request. */
    slowByMs: millisecondsSchema.default(0),
    /** Share of the requests that run but never receive a response. */
    hangShare: shareSchema.default(0),
    /** Share of the responses that are truncated in the middle of the body. */
    cutAnswerShare: shareSchema.default(0),
    /** Whether the target accepts connections but neither reads requests to their end nor runs them. */
    silent: z.boolean().default(false),
    /** Share of the requests that the target sheds although it has free slots. */
    shedShare: shareSchema.default(0),
    /** Requests per second that the target names as its limit in each response; it names none if absent. */
    requestLimit: z.number().nonnegative().optional(),
    /** Whether the target states in each response that it is leaving, whatever it announces. */
    statesLeaving: z.boolean().default(false),
    /** Path (without query) of requests that crash the target after their processing. Empty for none. */
    crashPath: z.string().default(""),
    /** Time after which a crashed target restarts. */
    crashDownMs: millisecondsSchema.default(3000),
});
/** Faults with defaults applied. */
export type TargetFaults = z.output<typeof targetFaultsSchema>;

/** Faults that are all off. */
export const noTargetFaults: TargetFaults = targetFaultsSchema.parse({});

/** Plan of the targets that one process runs, as read by `targetsMain.js --plan FILE`. */
export const targetsPlanSchema = z.strictObject({
    control: z.strictObject({
        address: addressSchema.default("127.0.0.1"),
        port: z.number().int().min(0).max(65_535).default(0),
    }).prefault({}),
    targets: z.array(targetOptionsSchema).min(1),
});
