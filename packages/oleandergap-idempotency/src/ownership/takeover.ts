/** Reads which process holds a partition and decides whether this process may take the partition over. */
import * as either from "fp-ts/lib/Either.js";
import {
    isSameWrite,
    type Clock,
    type Milliseconds,
    type NodeId,
    type RowCondition,
    type RowVersion,
    type TableRow,
} from "oleandergap-types";
import type { BatchReader } from "../claim/batchReader.js";
import type { BatchWriter } from "../claim/batchWriter.js";
import type { OwnershipOptions } from "../options.js";
import {
    formatLeaseKey,
    isSameHolder,
    isSameNode,
    leaseRowSchema,
    partitionRowSchema,
    type Holder,
    type KeyRange,
    type LeaseRow,
    type PartitionRow,
} from "./ownershipRows.js";

export type TakeoverStep =
    /** The partition's row already has this process as its holder. */
    | { readonly kind: "Held"; readonly version: RowVersion; readonly range: KeyRange }
    /** The partition may be taken by writing `row` under `condition`. */
    | { readonly kind: "Take"; readonly condition: RowCondition; readonly row: PartitionRow }
    /** Another process holds the partition, or a row could not be read. */
    | { readonly kind: "Wait" };

export interface Takeover {
    /**
     * Returns the next step for `holder` to take the partition. Also fences the lease of another holder that left the
     * membership or belongs to the same node.
     */
    readonly inspect: (partitionKey: string, holder: Holder) => Promise<TakeoverStep>;
}

export interface TakeoverDependencies {
    readonly reader: BatchReader;
    readonly writer: BatchWriter;
    readonly clock: Clock;
    readonly options: Pick<OwnershipOptions, "takeoverWaitMs">;
    /** Creates the row of a partition that has had no holder yet. */
    readonly createVacantRow: () => PartitionRow;
    /** Returns false when the membership has declared a node dead or removed it. */
    readonly isMember: (node: NodeId) => boolean;
}

interface Observation {
    readonly version: RowVersion;
    /** Monotonic time of the first observation of this version. */
    readonly since: Milliseconds;
}

export const createTakeover = (dependencies: TakeoverDependencies): Takeover => {
    const { reader, writer, clock, options, isMember, createVacantRow } = dependencies;
    /** Last observed versions of the lease rows of nodes that left the membership, by row key. */
    const observations = new Map<string, Observation>();

    const isUnchanged = (leaseKey: string, version: RowVersion): boolean => {
        const previous = observations.get(leaseKey);
        if (previous === undefined || !isSameWrite(previous.version, version)) {
            observations.set(leaseKey, { version, since: clock.monotonic() });
            return options.takeoverWaitMs === 0;
        }
        return clock.monotonic() - previous.since >= options.takeoverWaitMs;
    };

    /**
     * Fences the lease of a former holder that left the membership or belongs to this node. The wait before it only
     * avoids fencing a live holder; safety depends on the row, which no renewal can change after it is fenced.
     */
    const fenceIfRemoved = async (former: Holder, self: Holder, row: TableRow, lease: LeaseRow): Promise<void> => {
        const isLocalNode = isSameNode(former, self.nodeId);
        if (!isLocalNode && (isMember(former.nodeId) || !isUnchanged(row.key, row.version))) {
            return;
        }
        const value: LeaseRow = { state: "fenced", ceiling: lease.ceiling };
        await writer.submit({ key: row.key, condition: { kind: "VersionIs", version: row.version }, value });
    };

    const takeOverFrom = async (
        former: Holder,
        self: Holder,
        row: PartitionRow,
        version: RowVersion,
    ): Promise<TakeoverStep> => {
        const found = await reader.read(formatLeaseKey(former));
        if (either.isLeft(found) || found.right === undefined) {
            return { kind: "Wait" };
        }
        const lease = leaseRowSchema.safeParse(found.right.value);
        if (!lease.success) {
            return { kind: "Wait" };
        }
        if (lease.data.state === "active") {
            await fenceIfRemoved(former, self, found.right, lease.data);
            return { kind: "Wait" };
        }
        observations.delete(found.right.key);
        const { ceiling } = lease.data;
        const range: KeyRange = {
            unknownUpTo: Math.max(row.unknownUpTo, ceiling),
            recordedUpTo: Math.max(row.recordedUpTo, ceiling),
        };
        return { kind: "Take", condition: { kind: "VersionIs", version }, row: { ...range, holder: self } };
    };

    const inspect = async (partitionKey: string, self: Holder): Promise<TakeoverStep> => {
        const found = await reader.read(partitionKey);
        if (either.isLeft(found)) {
            return { kind: "Wait" };
        }
        if (found.right === undefined) {
            return { kind: "Take", condition: { kind: "Absent" }, row: { ...createVacantRow(), holder: self } };
        }
        const { version, value } = found.right;
        const parsed = partitionRowSchema.safeParse(value);
        if (!parsed.success) {
            return { kind: "Wait" };
        }
        const { holder, ...range } = parsed.data;
        if (holder === undefined) {
            return { kind: "Take", condition: { kind: "VersionIs", version }, row: { ...range, holder: self } };
        }
        return isSameHolder(holder, self) ?
            { kind: "Held", version, range } :
            takeOverFrom(holder, self, parsed.data, version);
    };

    return { inspect };
};
