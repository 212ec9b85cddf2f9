/** Nodes and the targets that announced themselves to them. */
import { z } from "zod";
import { nodeIdSchema, partnerNameSchema, serviceNameSchema, zoneNameSchema } from "./names.js";

/** An IP number; names are never resolved. */
export const addressSchema = z.union([z.ipv4(), z.ipv6()]);
/** A port that a peer can be reached at; 0 is none. */
export const portSchema = z.number().int().min(1).max(65_535);

/** What a target says of itself to the node on its VM. */
export const announcementSchema = z.strictObject({
    partner: partnerNameSchema,
    service: serviceNameSchema,
    address: addressSchema,
    port: portSchema,
    /** Requests that the target works on at once. */
    slots: z.number().int().min(1).max(10_000),
    /** Connections that the target accepts. */
    connections: z.number().int().min(1).max(100_000),
    /** The target will stop soon: it receives no new request. */
    leaving: z.boolean().default(false),
    /** Names the target's process; a target that restarts may have another one or the same. */
    instanceId: z.string().min(1).max(128).optional(),
    /** Unix time at which the process started, if it says so: tells lifetimes of one `instanceId` apart. */
    bornAt: z.number().int().nonnegative().optional(),
    /** Grows with each announcement of one lifetime; an older one that arrives late is dropped. */
    sequence: z.number().int().nonnegative().optional(),
    /** How long a target that has just started stays slow; absent when it does not say. */
    coldLeftMs: z.number().min(0).max(3_600_000).optional(),
});
export type Announcement = z.infer<typeof announcementSchema>;

/** The part of an announcement that other nodes need in order to route. */
export const memberTargetSchema = announcementSchema
    .pick({ partner: true, service: true, slots: true, leaving: true })
    .extend({
        /** Wall-clock time at which the target was first announced; a young target is started slowly. */
        since: z.number(),
    });
export type MemberTarget = z.infer<typeof memberTargetSchema>;

/** `left` was announced by the member itself; `dead` is what the others concluded from its silence. */
export const memberStateSchema = z.enum(["alive", "suspect", "left", "dead"]);
export type MemberState = z.infer<typeof memberStateSchema>;

/** Largest class of a link: a terabit a second. */
const MAX_LINK_CLASS = 20;
/** Width of a VM's link as a power of two: 0 up to 2 Mbit/s, 1 up to 4, 6 from 64 to 128. */
export const linkClassSchema = z.number().int().min(0).max(MAX_LINK_CLASS);
export type LinkClass = z.infer<typeof linkClassSchema>;

/** The class of a link of so many megabits a second. */
export const classifyLink = (megabitsPerSecond: number): LinkClass =>
    Math.min(MAX_LINK_CLASS, Math.max(0, Math.floor(Math.log2(megabitsPerSecond))));

/** A node as its peers know it. */
export const memberSchema = z.strictObject({
    id: nodeIdSchema,
    zone: zoneNameSchema,
    address: addressSchema,
    /** Peers' and operators' port: UDP for membership, TCP for trpc. */
    controlPort: portSchema,
    /** Port at which other nodes hand requests to this node's gate. */
    gatePort: portSchema,
    /** Raised by the member itself only; the record with the higher one wins. Starts at the process's start time. */
    incarnation: z.number().int().nonnegative(),
    state: memberStateSchema,
    /** Raised by the member with each change of its target; breaks ties within an incarnation. */
    revision: z.number().int().nonnegative(),
    target: memberTargetSchema.optional(),
    /** Absent when the node does not know its link. */
    linkClass: linkClassSchema.optional(),
});
export type Member = z.infer<typeof memberSchema>;

/** What a gate reports of itself on each answer. */
export const gateLoadSchema = z.strictObject({
    inFlight: z.number().int().nonnegative(),
    queued: z.number().int().nonnegative(),
    /** Requests that the gate lets run at once, after the table's limit and the target's slots. */
    capacity: z.number().int().nonnegative(),
    /** Longest expected wait of a request that arrives now. */
    expectedWaitMs: z.number().nonnegative(),
});
export type GateLoad = z.infer<typeof gateLoadSchema>;
