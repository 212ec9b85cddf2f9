/** Settings and simulated faults of the platform stand-in. */
import { z } from "zod";
import { addressSchema } from "oleandergap-types";

/** Kinds of calls for which faults can be set separately. */
export const platformOperationSchema = z.enum(["Read", "Scan", "Transact", "Get", "Put", "List"]);

/** Maximum number of calls per second. Calls beyond the limit receive 503 and `retry-after`. */
export const platformLimitsSchema = z.strictObject({
    writesPerSecond: z.number().positive().default(500),
    readsPerSecond: z.number().positive().default(2000),
});

/**
 * An additional address of the platform. Each availability zone uses a separate entrance, so that a single zone can be
 * cut off from the platform and calls can be counted per zone.
 */
export const entranceSchema = z.strictObject({
    name: z.string().min(1),
    address: addressSchema,
    /** Port number; 0 selects any free port. */
    port: z.number().int().min(0).max(65_535).default(0),
});
/** An entrance with defaults applied. */
export type Entrance = z.output<typeof entranceSchema>;

/** Options of the platform stand-in. All of them have defaults. */
export const platformStandInOptionsSchema = z.strictObject({
    address: addressSchema.default("127.0.0.1"),
    /** Port number; 0 selects any free port. */
    port: z.number().int().min(0).max(65_535).default(0),
    entrances: z.array(entranceSchema).default([]),
    limits: platformLimitsSchema.prefault({}),
    /** Seed of the random faults. */
    seed: z.number().int().default(1),
});
/** Options with defaults applied. */
export type PlatformStandInOptions = z.output<typeof platformStandInOptionsSchema>;

const operationFaultsShape = {
    /**
     * `refuse`: responds with 503 immediately. `reset`: resets the connection before any effect. `hang`: has no effect
     * and sends no response until the caller times out.
     */
    outage: z.enum(["none", "refuse", "reset", "hang"]).default("none"),
    /** Added time between request and response, half of it before the effect and half after it. */
    latencyMs: z.number().nonnegative().default(0),
    /** Share of the calls that take effect but whose connection is reset before the response. */
    loseAnswersShare: z.number().min(0).max(1).default(0),
};

const operationFaultsSchema = z.strictObject(operationFaultsShape);
/** Faults of one kind of call. */
export type OperationFaults = z.output<typeof operationFaultsSchema>;

/** All faults. Omitted faults are off. */
export const platformFaultsSchema = z.strictObject({
    ...operationFaultsShape,
    /** Faults of single operations. They replace the general faults for these operations. */
    byOperation: z.partialRecord(platformOperationSchema, operationFaultsSchema).default({}),
    /** Names of the entrances that are cut off. Connections through them are reset. */
    cutEntrances: z.array(z.string()).default([]),
});
/** Faults with defaults applied. */
export type PlatformFaults = z.output<typeof platformFaultsSchema>;
/** Faults as input of the schema. Omitted faults are off. */
export type PlatformFaultsInput = z.input<typeof platformFaultsSchema>;

/** Faults that are all off. */
export const noPlatformFaults: PlatformFaults = platformFaultsSchema.parse({});
