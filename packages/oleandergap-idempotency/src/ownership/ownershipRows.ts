/**
 * Formats of the rows of ownership in the platform's table.
 *
 * Each process has one lease row with a ceiling: the process accepts only keys with a timestamp up to the last ceiling
 * that was certainly written. A process that takes a partition over first sets the lease row of the former holder to
 * `fenced`. After that no renewal can raise the ceiling, and the new holder accepts only keys with a timestamp after
 * it. The timestamps that two successive holders accept never overlap, regardless of their clocks and of how long one
 * of them was frozen.
 */
import { z } from "zod";
import { formatServiceReference, nodeIdSchema, type NodeId, type ServiceReference } from "oleandergap-types";

export const leaseRowSchema = z.strictObject({
    /** `fenced` is the final state: the row is never written again. */
    state: z.enum(["active", "fenced"]),
    /** Latest timestamp of a key that the holder may have accepted, in milliseconds since the Unix epoch. */
    ceiling: z.number(),
});
export type LeaseRow = z.infer<typeof leaseRowSchema>;

/** Process that holds a lease; a restarted process is a different holder. */
export const holderSchema = z.strictObject({ nodeId: nodeIdSchema, bootId: z.string() });
export type Holder = z.infer<typeof holderSchema>;

/**
 * Limits of the timestamps of the keys that a partition's holder may accept from memory, in milliseconds since the
 * Unix epoch.
 */
export const keyRangeSchema = z.strictObject({
    /** Keys with a timestamp up to this time may have run without being recorded, so they are never run. */
    unknownUpTo: z.number(),
    /**
     * Accepted keys with a timestamp after `unknownUpTo` and up to this time are all recorded, so keys in this range
     * are claimed in the platform's table.
     */
    recordedUpTo: z.number(),
});
export type KeyRange = z.infer<typeof keyRangeSchema>;

export const partitionRowSchema = keyRangeSchema.extend({
    /** Undefined when the last holder has handed the partition over. */
    holder: holderSchema.optional(),
});
export type PartitionRow = z.infer<typeof partitionRowSchema>;

/** Returns the prefix of the keys of the lease rows of all processes of a node. */
export const formatLeasePrefix = (nodeId: NodeId): string => `leases/${nodeId}/`;

export const formatLeaseKey = (holder: Holder): string => `${formatLeasePrefix(holder.nodeId)}${holder.bootId}`;

/** One partition of the keys of a service. */
export interface PartitionReference {
    readonly service: ServiceReference;
    readonly partition: number;
}

export const formatPartitionKey = ({ service, partition }: PartitionReference): string =>
    `owners/${formatServiceReference(service)}/${partition}`;

export const isSameHolder = (left: Holder, right: Holder): boolean =>
    left.nodeId === right.nodeId && left.bootId === right.bootId;

export const isSameNode = (holder: Holder, nodeId: NodeId): boolean => holder.nodeId === nodeId;
