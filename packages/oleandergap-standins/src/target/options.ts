/** Settings and switches of a target stand-in. */
import { z } from "zod";
import { addressSchema, partnerNameSchema, portSchema, serviceNameSchema } from "oleandergap-types";

const millisecondsSchema = z.number().nonnegative();
const shareSchema = z.number().min(0).max(1);

/** How long one request takes: log-normal, as service times of real back ends are skewed to the right. */
export const serviceTimeSchema = z.strictObject({
    medianMs: millisecondsSchema.default(5),
    /** Standard deviation of the logarithm; 0 makes every request take `medianMs`. */
    spread: z.number().min(0).max(3).default(0.3),
});

/** After its start a target is slower by `factor`, falling in a straight line to 1 over `durationMs`. */
export const coldStartSchema = z.strictObject({
    factor: z.number().min(1).default(4),
    durationMs: millisecondsSchema.default(2000),
});

/** What `GET /health` and `GET /load` tell. */
export const healthBehaviourSchema = z.strictObject({
    /** `alwaysOk` says so even when the target sheds or hangs; `truthful` doesn't. */
    health: z.enum(["alwaysOk", "truthful"]).default("alwaysOk"),
    /** The load that is told is at least this old. */
    loadLagMs: millisecondsSchema.default(2000),
});

/** All that a target needs to know at its start; only the names have no default. */
export const targetOptionsSchema = z.strictObject({
    /** Names the target in its answers and in the control interface. */
    id: z.string().min(1),
    partner: partnerNameSchema,
    service: serviceNameSchema,
    address: addressSchema.default("127.0.0.1"),
    /** 0 takes any free port. */
    port: z.number().int().min(0).max(65_535).default(0),
    slots: z.number().int().min(1).default(12),
    connections: z.number().int().min(1).default(120),
    serviceTime: serviceTimeSchema.prefault({}),
    coldStart: coldStartSchema.prefault({}),
    healthBehaviour: healthBehaviourSchema.prefault({}),
    /** Requests above the slots are refused; otherwise all run at once and slow each other down. */
    shed: z.boolean().default(true),
    /** Idle connections are closed after this time. */
    keepAliveMs: millisecondsSchema.default(5000),
    /** Admin port of the node on the target's VM; without it the target announces itself to nobody. */
    node: z.strictObject({ address: addressSchema, adminPort: portSchema }).optional(),
    announceEveryMs: z.number().positive().default(1000),
    /** Seed of the service times and of the drawn faults. */
    seed: z.number().int().default(1),
});
/** Options with the defaults filled in. */
export type TargetOptions = z.output<typeof targetOptionsSchema>;

/** Faults that are switched on and off at run time. Shares draw anew for each request. */
export const targetFaultsSchema = z.strictObject({
    /** Added to the service time of each request. */
    slowByMs: millisecondsSchema.default(0),
    /** Share of the requests that run and are never answered. */
    hangShare: shareSchema.default(0),
    /** Share of the answers that break off in the middle of their body. */
    cutAnswerShare: shareSchema.default(0),
    /** Connections are accepted, and nothing that comes in on them is read to its end or run. */
    silent: z.boolean().default(false),
    /** Share of the requests that the target sheds although it has free slots. */
    shedShare: shareSchema.default(0),
    /** Requests to this path, without its query, end the target when their work is done; empty for none. */
    crashPath: z.string().default(""),
    /** A target that was ended so starts again after this time. */
    crashDownMs: millisecondsSchema.default(3000),
});
/** Switches with the defaults filled in. */
export type TargetFaults = z.output<typeof targetFaultsSchema>;

/** All switches off. */
export const noTargetFaults: TargetFaults = targetFaultsSchema.parse({});

/** A set of targets that one process runs, as in `targetsMain.js --plan FILE`. */
export const targetsPlanSchema = z.strictObject({
    control: z.strictObject({
        address: addressSchema.default("127.0.0.1"),
        port: z.number().int().min(0).max(65_535).default(0),
    }).prefault({}),
    targets: z.array(targetOptionsSchema).min(1),
});
