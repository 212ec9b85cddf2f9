/** Nodes and the targets that have announced themselves to the nodes. */
import { z } from "zod";
import { nodeIdSchema, partnerNameSchema, serviceNameSchema, zoneNameSchema } from "./names.js";

/** An IP address; host names are never resolved. */
export const addressSchema = z.union([z.ipv4(), z.ipv6()]);
/** A port at which a peer can be reached; 0 is not a valid port. */
export const portSchema = z.number().int().min(1).max(65_535);

/** Maximum length of the version of a target, in characters. */
export const MAX_TARGET_VERSION_LENGTH = 64;

/** The announcement that a target sends to the node on its VM. */
export const announcementSchema = z.strictObject({
    partner: partnerNameSchema,
    service: serviceNameSchema,
    address: addressSchema,
    port: portSchema,
    /** Number of requests that the target runs concurrently. */
    slots: z.number().int().min(1).max(10_000),
    /** Number of connections that the target accepts. */
    connections: z.number().int().min(1).max(100_000),
    /** Whether the target will stop soon; it then receives no new requests. */
    leaving: z.boolean().default(false),
    /** Identifies the target's process. The id may change or stay the same when the target restarts. */
    instanceId: z.string().min(1).max(128).optional(),
    /**
     * Unix time at which the process started, if the target sends it. Distinguishes process lifetimes with the same
     * `instanceId`.
     */
    bornAt: z.number().int().nonnegative().optional(),
    /**
     * Increases with each announcement within one process lifetime. An older announcement that arrives late is dropped.
     */
    sequence: z.number().int().nonnegative().optional(),
    /** Remaining time of the target's cold start, during which it is slow; absent if the target does not send it. */
    coldLeftMs: z.number().min(0).max(3_600_000).optional(),
    /** Version of the target's software; absent if the target does not send it. */
    version: z.string().min(1).max(MAX_TARGET_VERSION_LENGTH).optional(),
});
export type Announcement = z.infer<typeof announcementSchema>;

/** The part of an announcement that other nodes need for routing. */
export const memberTargetSchema = announcementSchema
    .pick({ partner: true, service: true, slots: true, leaving: true })
    .extend({
        /**
         * Wall-clock time at which the target was first announced. The load of a recently started target is increased
         * gradually (slow start).
         */
        since: z.number(),
    });
export type MemberTarget = z.infer<typeof memberTargetSchema>;

/**
 * `left` was announced by the member itself; `dead` was determined by the other members after the member stopped
 * responding.
 */
export const memberStateSchema = z.enum(["alive", "suspect", "left", "dead"]);
export type MemberState = z.infer<typeof memberStateSchema>;

/** Largest link class, for one terabit per second. */
const MAX_LINK_CLASS = 20;
/** Bandwidth of a VM's link as a power of two: 0 up to 2 Mbit/s, 1 up to 4, 6 from 64 to 128. */
export const linkClassSchema = z.number().int().min(0).max(MAX_LINK_CLASS);
export type LinkClass = z.infer<typeof linkClassSchema>;

/** Returns the class of a link with the given bandwidth in megabits per second. */
export const classifyLink = (megabitsPerSecond: number): LinkClass =>
    Math.min(MAX_LINK_CLASS, Math.max(0, Math.floor(Math.log2(megabitsPerSecond))));

/** A node as its peers see it. */
export const memberSchema = z.strictObject({
    id: nodeIdSchema,
    zone: zoneNameSchema,
    address: addressSchema,
    /** Port for peers and operators: UDP for membership, TCP for tRPC. */
    controlPort: portSchema,
    /** Port at which other nodes send requests to this node's gate. */
    gatePort: portSchema,
    /**
     * Increased only by the member itself; the record with the higher incarnation wins. Starts at the start time of the
     * process.
     */
    incarnation: z.number().int().nonnegative(),
    state: memberStateSchema,
    /** Increased by the member with each change of its target; breaks ties within an incarnation. */
    revision: z.number().int().nonnegative(),
    target: memberTargetSchema.optional(),
    /** Absent if the bandwidth of the node's link is unknown. */
    linkClass: linkClassSchema.optional(),
});
export type Member = z.infer<typeof memberSchema>;

/** The load that a gate reports with each response. */
export const gateLoadSchema = z.strictObject({
    inFlight: z.number().int().nonnegative(),
    queued: z.number().int().nonnegative(),
    /** Number of requests that the gate runs concurrently, limited by the table and by the target's slots. */
    capacity: z.number().int().nonnegative(),
    /** Maximum expected wait of a request that arrives now, in milliseconds. */
    expectedWaitMs: z.number().nonnegative(),
    /** Pace that the target reported last; see `TargetReport`. Absent if it has not reported any lately. */
    pace: z.number().positive().optional(),
    /** Mean time that a request of the same kind takes at the target at pace 1, in milliseconds. Absent if unknown. */
    usualTimeMs: z.number().nonnegative().optional(),
});
export type GateLoad = z.infer<typeof gateLoadSchema>;
