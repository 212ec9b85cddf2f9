/** Assignment of keys to partitions, and of partitions to the nodes that should own them. */
import type { NodeId, ServiceReference } from "oleandergap-types";
import { hashText, rankByRendezvous } from "oleandergap-utils";
import { formatPartitionKey, type PartitionReference } from "./ownershipRows.js";

/** Returns the partition of a key, from 0 to `partitions` - 1. */
export const getPartition = (key: string, partitions: number): number => hashText(key) % partitions;

/**
 * Returns the members in the order in which they should own a partition. All nodes compute the same order, so the
 * gateways need no copy of the assignment. If a gateway computes the wrong owner, the node that receives the request
 * refuses it as not run.
 */
export const rankOwners = (reference: PartitionReference, members: readonly NodeId[]): readonly NodeId[] =>
    rankByRendezvous(formatPartitionKey(reference), members, (member) => member);

/** Returns the node that should own `key`, or undefined when there is no member. */
export const findOwner = (
    service: ServiceReference,
    key: string,
    members: readonly NodeId[],
    partitions: number,
): NodeId | undefined => rankOwners({ service, partition: getPartition(key, partitions) }, members)[0];
