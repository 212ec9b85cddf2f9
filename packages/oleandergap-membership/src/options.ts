/** Settings of the membership, to be mounted into the daemon's settings file. All durations are milliseconds. */
import { addressSchema, portSchema, zoneNameSchema } from "oleandergap-types";
import { z } from "zod";

const periodSchema = z.number().int().min(10).max(86_400_000);

/** A node that is asked first when this one starts. It need not be alive, nor differ from this node. */
export const seedSchema = z.strictObject({
    zone: zoneNameSchema,
    address: addressSchema,
    /** The seed's control port. */
    port: portSchema,
});
export type Seed = z.infer<typeof seedSchema>;

/** Each has a default, so that `{}` is valid; docs/MEMBERSHIP.md tells how they were chosen. */
export const membershipOptionsSchema = z.strictObject({
    /** Datagrams of nodes with another cluster name are dropped. */
    clusterName: z.string().min(1).max(64).default("oleandergap"),
    /** One member is probed per period. */
    probePeriodMs: periodSchema.default(1000),
    /** After this time without an answer, other members are asked to probe. Must be well below the period. */
    ackTimeoutMs: periodSchema.default(300),
    /** Members that are asked to probe on this node's behalf. */
    indirectProbes: z.number().int().min(0).max(10).default(3),
    /** A suspect is declared dead after this many periods, times the decimal logarithm of the zone's size. */
    suspicionMultiplier: z.number().min(1).max(20).default(2),
    /** Largest score of the local health; probe period and timeouts stretch by one plus the score. */
    maxHealthScore: z.number().int().min(0).max(16).default(4),
    /** A timer that is later than this means that the process itself was paused. */
    pauseBoundMs: periodSchema.default(500),
    /** Updates are pushed this often, as long as there are any. */
    gossipPeriodMs: periodSchema.default(200),
    /** Members that receive each push. */
    gossipFanout: z.number().int().min(1).max(10).default(3),
    /** Bytes per second that pushes may use on average, so that a mass change does not flood the zone. */
    gossipBytesPerSecond: z.number().int().min(100).max(1_000_000).default(2000),
    /** The whole state is compared with one random member this often. */
    syncPeriodMs: periodSchema.default(30_000),
    /** Bytes per second that whole-state exchanges may use on average. */
    syncBytesPerSecond: z.number().int().min(100).max(1_000_000).default(4000),
    /** Records of members that left or died are kept this long, so that older records do not return. */
    tombstoneMs: periodSchema.default(3_600_000),
    /** One unreachable member, seed or roster entry is tried this often. */
    reconnectPeriodMs: periodSchema.default(5000),
    /** The start waits this long for a first answer of another member. */
    joinTimeoutMs: periodSchema.default(2000),
    /** Nodes of each other availability zone that are kept as contacts. */
    contactsPerZone: z.number().int().min(1).max(10).default(3),
    /** One contact in another availability zone is probed this often. */
    contactProbePeriodMs: periodSchema.default(2000),
    /** The roster object is written or read at most this often. */
    rosterPeriodMs: periodSchema.default(30_000),
    seeds: z.array(seedSchema).max(64).default([]),
    /**
     * A node that finds nobody asks so many addresses on each side of its own as well, at its own control port; 0 for
     * networks in which the VMs of a zone are not numbered in a row.
     */
    neighbourSpan: z.number().int().min(0).max(64).default(0),
});
export type MembershipOptions = z.infer<typeof membershipOptionsSchema>;

/** Refresh period plus fetch timeout bound how old another zone's targets may be. */
export const targetDirectoryOptionsSchema = z.strictObject({
    /** Other availability zones are asked this often for the targets of services in use. */
    refreshPeriodMs: periodSchema.default(2000),
    /** Longest wait for another zone's answer. */
    fetchTimeoutMs: periodSchema.default(1500),
    /** Longest wait for a contact's word that a zone's targets are unchanged; without it, they are fetched. */
    confirmTimeoutMs: periodSchema.default(300),
    /** Targets are fetched after this time even though their digest is unchanged, as two lists may share a digest. */
    fullRefreshMs: periodSchema.default(30_000),
    /** A service that nobody asked for during this time is no longer refreshed. */
    idleMs: periodSchema.default(30_000),
    /** A service that nobody asked for during this time is forgotten. */
    forgetMs: periodSchema.default(600_000),
});
export type TargetDirectoryOptions = z.infer<typeof targetDirectoryOptionsSchema>;
