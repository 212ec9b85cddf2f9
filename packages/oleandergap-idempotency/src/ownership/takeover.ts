/** Reads who holds a partition and decides whether this process may take it over. */
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
    /** The row already names this process. */
    | { readonly kind: "Held"; readonly version: RowVersion; readonly range: KeyRange }
    /** Write this row under this condition. */
    | { readonly kind: "Take"; readonly condition: RowCondition; readonly row: PartitionRow }
    /** Somebody else holds it, or the platform did not tell. */
    | { readonly kind: "Wait" };

export interface Takeover {
    readonly inspect: (partitionKey: string, holder: Holder) => Promise<TakeoverStep>;
}

export interface TakeoverDependencies {
    readonly reader: BatchReader;
    readonly writer: BatchWriter;
    readonly clock: Clock;
    readonly options: Pick<OwnershipOptions, "takeoverWaitMs">;
    /** The row of a partition that nobody has held yet. */
    readonly createVacantRow: () => PartitionRow;
    /** False once the membership has given a node up. */
    readonly isMember: (node: NodeId) => boolean;
}

interface Observation {
    readonly version: RowVersion;
    readonly since: Milliseconds;
}

export const createTakeover = (dependencies: TakeoverDependencies): Takeover => {
    const { reader, writer, clock, options, isMember, createVacantRow } = dependencies;
    /** Since when the lease rows of nodes that left have not changed, on this process's own clock. */
    const observations = new Map<string, Observation>();

    const isUnchanged = (leaseKey: string, version: RowVersion): boolean => {
        const seen = observations.get(leaseKey);
        if (seen === undefined || !isSameWrite(seen.version, version)) {
            observations.set(leaseKey, { version, since: clock.monotonic() });
            return options.takeoverWaitMs === 0;
        }
        return clock.monotonic() - seen.since >= options.takeoverWaitMs;
    };

    /** Waiting only spares a live holder; safety comes from the row, which no renewal can change once it is fenced. */
    const fenceIfGone = async (former: Holder, own: Holder, row: TableRow, lease: LeaseRow): Promise<void> => {
        const isFormerSelf = isSameNode(former, own.nodeId);
        if (!isFormerSelf && (isMember(former.nodeId) || !isUnchanged(row.key, row.version))) {
            return;
        }
        const value: LeaseRow = { state: "fenced", ceiling: lease.ceiling };
        await writer.submit({ key: row.key, condition: { kind: "VersionIs", version: row.version }, value });
    };

    const takeFrom = async (
        former: Holder,
        own: Holder,
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
            await fenceIfGone(former, own, found.right, lease.data);
            return { kind: "Wait" };
        }
        observations.delete(found.right.key);
        const { ceiling } = lease.data;
        const range: KeyRange = {
            unknownUpTo: Math.max(row.unknownUpTo, ceiling),
            recordedUpTo: Math.max(row.recordedUpTo, ceiling),
        };
        return { kind: "Take", condition: { kind: "VersionIs", version }, row: { ...range, holder: own } };
    };

    const inspect = async (partitionKey: string, own: Holder): Promise<TakeoverStep> => {
        const found = await reader.read(partitionKey);
        if (either.isLeft(found)) {
            return { kind: "Wait" };
        }
        if (found.right === undefined) {
            return { kind: "Take", condition: { kind: "Absent" }, row: { ...createVacantRow(), holder: own } };
        }
        const { version, value } = found.right;
        const parsed = partitionRowSchema.safeParse(value);
        if (!parsed.success) {
            return { kind: "Wait" };
        }
        const { holder, ...range } = parsed.data;
        if (holder === undefined) {
            return { kind: "Take", condition: { kind: "VersionIs", version }, row: { ...range, holder: own } };
        }
        return isSameHolder(holder, own) ?
            { kind: "Held", version, range } :
            takeFrom(holder, own, parsed.data, version);
    };

    return { inspect };
};
