/** Options of the membership, which are part of the daemon's settings file. All durations are in milliseconds. */
import { addressSchema, portSchema, zoneNameSchema } from "oleandergap-types";
import { z } from "zod";

const periodSchema = z.number().int().min(10).max(86_400_000);

/** Node that is contacted first when this node starts. It may be down, and it may be this node itself. */
export const seedSchema = z.strictObject({
    zone: zoneNameSchema,
    address: addressSchema,
    /** Control port of the seed. */
    port: portSchema,
});
export type Seed = z.infer<typeof seedSchema>;

/** Every option has a default, so `{}` is valid. docs/MEMBERSHIP.md explains the choice of the defaults. */
export const membershipOptionsSchema = z.strictObject({
    /** Name of the cluster. Datagrams of nodes with a different cluster name are dropped. */
    clusterName: z.string().min(1).max(64).default("oleandergap"),
    /** Interval between two probes. One member is probed in each period. */
    probePeriodMs: periodSchema.default(1000),
    /**
     * Time without a response after which other members are requested to probe. It must be well below the probe period.
     */
    ackTimeoutMs: periodSchema.default(300),
    /** Number of members that are requested to probe on behalf of this node. */
    indirectProbes: z.number().int().min(0).max(10).default(3),
    /**
     * Number of probe periods after which a suspect is declared dead, multiplied by the decimal logarithm of the zone
     * size.
     */
    suspicionMultiplier: z.number().min(1).max(20).default(2),
    /** Largest local health score. The probe period and timeouts are multiplied by one plus the score. */
    maxHealthScore: z.number().int().min(0).max(16).default(4),
    /** A timer that fires later than this delay indicates that the process itself was paused. */
    pauseBoundMs: periodSchema.default(500),
    /** Interval at which queued updates are pushed. */
    gossipPeriodMs: periodSchema.default(200),
    /** Number of members that receive each push. */
    gossipFanout: z.number().int().min(1).max(10).default(3),
    /**
     * Average number of bytes per second available for pushes, so that a large number of changes does not flood the
     * zone.
     */
    gossipBytesPerSecond: z.number().int().min(100).max(1_000_000).default(2000),
    /** Interval at which the complete state is compared with that of a random member. */
    syncPeriodMs: periodSchema.default(30_000),
    /** Average number of bytes per second available for anti-entropy exchanges. */
    syncBytesPerSecond: z.number().int().min(100).max(1_000_000).default(4000),
    /** Lifetime of the tombstones of members that left or died. It prevents older records from being accepted again. */
    tombstoneMs: periodSchema.default(3_600_000),
    /** Interval at which one unreachable member, seed or roster entry is contacted again. */
    reconnectPeriodMs: periodSchema.default(5000),
    /** Longest time that the start waits for the first response of another member. */
    joinTimeoutMs: periodSchema.default(2000),
    /** Number of nodes per remote availability zone that are used as contacts. */
    contactsPerZone: z.number().int().min(1).max(10).default(3),
    /** Interval between two contact probes to remote availability zones. */
    contactProbePeriodMs: periodSchema.default(2000),
    /** Shortest interval between two writes or reads of the roster object. */
    rosterPeriodMs: periodSchema.default(30_000),
    seeds: z.array(seedSchema).max(64).default([]),
    /**
     * Number of addresses on each side of the local address that a node without known members contacts at its own
     * control port. Use 0 in networks in which the VMs of a zone have no consecutive addresses.
     */
    neighbourSpan: z.number().int().min(0).max(64).default(0),
});
export type MembershipOptions = z.infer<typeof membershipOptionsSchema>;

/**
 * Options of the target directory. The sum of the refresh period and the fetch timeout limits the age of the targets of
 * remote zones.
 */
export const targetDirectoryOptionsSchema = z.strictObject({
    /** Interval at which the targets of services in use are requested from remote availability zones. */
    refreshPeriodMs: periodSchema.default(2000),
    /** Longest wait for the response of a remote zone. */
    fetchTimeoutMs: periodSchema.default(1500),
    /**
     * Longest wait for a contact to confirm that the targets of its zone are unchanged. After that, the targets are
     * fetched.
     */
    confirmTimeoutMs: periodSchema.default(300),
    /**
     * Longest time after which targets are fetched even if their digest is unchanged, because two lists may have the
     * same digest.
     */
    fullRefreshMs: periodSchema.default(30_000),
    /** A service that has not been requested for this time is no longer refreshed. */
    idleMs: periodSchema.default(30_000),
    /** A service that has not been requested for this time is removed. */
    forgetMs: periodSchema.default(600_000),
});
export type TargetDirectoryOptions = z.infer<typeof targetDirectoryOptionsSchema>;
