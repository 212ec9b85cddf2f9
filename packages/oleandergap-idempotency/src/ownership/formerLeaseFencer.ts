/**
 * Fences the leases of earlier processes of this node. The membership reports a restarted node as alive, so other nodes
 * would never take over the partitions of its earlier process: after a crash, all nodes would refuse the keys of these
 * partitions forever.
 */
import * as either from "fp-ts/lib/Either.js";
import type { NodeId, TableRow, TableService } from "oleandergap-types";
import type { BatchWriter } from "../claim/batchWriter.js";
import { formatLeasePrefix, leaseRowSchema, type LeaseRow } from "./ownershipRows.js";

export interface FormerLeaseFencerDependencies {
    readonly tableService: TableService;
    readonly writer: BatchWriter;
    readonly nodeId: NodeId;
    readonly bootId: string;
    readonly signal: AbortSignal;
}

/** Number of lease rows read per scan. */
const PAGE_SIZE = 200;

/**
 * Creates a function that fences the leases of all earlier processes of this node. It resolves to true when none of
 * them is active any more, and must be called again until then.
 */
export const createFormerLeaseFencer = (dependencies: FormerLeaseFencerDependencies): (() => Promise<boolean>) => {
    const { tableService, writer, nodeId, bootId, signal } = dependencies;
    const prefix = formatLeasePrefix(nodeId);
    const currentProcessPrefix = `${prefix}${bootId}.`;

    const fence = async (row: TableRow): Promise<boolean> => {
        const lease = leaseRowSchema.safeParse(row.value);
        if (row.key.startsWith(currentProcessPrefix) || !lease.success || lease.data.state === "fenced") {
            return true;
        }
        const value: LeaseRow = { state: "fenced", ceiling: lease.data.ceiling };
        const condition = { kind: "VersionIs", version: row.version } as const;
        return (await writer.submit({ key: row.key, condition, value })).kind === "Written";
    };

    const fencePage = async (
        after: string,
    ): Promise<{ readonly done: boolean; readonly lastKey: string | undefined }> => {
        const page = await tableService.scan({ prefix, after, limit: PAGE_SIZE }, signal)();
        if (either.isLeft(page)) {
            return { done: false, lastKey: undefined };
        }
        const fenced = await Promise.all(page.right.map(fence));
        return { done: fenced.every(Boolean), lastKey: page.right.at(PAGE_SIZE - 1)?.key };
    };

    return async () => {
        let areAllFenced = true;
        for (let after: string | undefined = prefix; after !== undefined;) {
            const { done, lastKey } = await fencePage(after);
            areAllFenced &&= done;
            after = lastKey;
        }
        return areAllFenced;
    };
};
