/**
 * The lease row of this process. Only a ceiling that was certainly written is used: after a renewal whose response was
 * lost, the row is read back. If another process has fenced the row, the lease ends permanently.
 */
import * as either from "fp-ts/lib/Either.js";
import {
    DEFAULT_STORE_ERA,
    type Clock,
    type Milliseconds,
    type RowCondition,
    type RowVersion,
    type TableRow,
} from "oleandergap-types";
import type { Logger } from "oleandergap-logger";
import type { BatchReader } from "../claim/batchReader.js";
import type { BatchWriter } from "../claim/batchWriter.js";
import type { OwnershipOptions } from "../options.js";
import { formatLeaseKey, leaseRowSchema, type Holder, type LeaseRow } from "./ownershipRows.js";

/** Elapsed share of the lease time after which the lease is renewed. */
const RENEWAL_SHARE = 1 / 3;

export interface NodeLease {
    /** Returns the latest key timestamp that may be accepted; minus infinity before the first write. */
    readonly ceiling: () => Milliseconds;
    /** Returns whether the lease was fenced; this process must then accept no more keys under it. */
    readonly isLost: () => boolean;
    /** Renews the lease if a renewal is due. Never rejects. */
    readonly renewIfDue: () => Promise<void>;
}

export interface NodeLeaseDependencies {
    readonly reader: BatchReader;
    readonly writer: BatchWriter;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly holder: Holder;
    readonly options: Pick<OwnershipOptions, "leaseMs">;
}

/**
 * Returns the expected version of the row after a write by this process. If the platform assigns another version, it
 * rejects the next renewal, which then reads the row.
 */
const getNextVersion = (version: RowVersion | undefined): RowVersion =>
    ({ era: version?.era ?? DEFAULT_STORE_ERA, version: (version?.version ?? 0) + 1 });

export const createNodeLease = (dependencies: NodeLeaseDependencies): NodeLease => {
    const { reader, writer, clock, logger, holder, options } = dependencies;
    const key = formatLeaseKey(holder);
    let ceiling = Number.NEGATIVE_INFINITY;
    let version: RowVersion | undefined;
    let isFenced = false;

    const applyRow = (row: TableRow | undefined): void => {
        if (row === undefined) {
            version = undefined;
            return;
        }
        const parsed = leaseRowSchema.safeParse(row.value);
        if (!parsed.success || parsed.data.state === "fenced") {
            isFenced = true;
            logger.warn("the lease was fenced by another process; no more keys are accepted under it");
            return;
        }
        version = row.version;
        ceiling = parsed.data.ceiling;
    };

    const renew = async (): Promise<void> => {
        const value: LeaseRow = { state: "active", ceiling: Math.max(ceiling, clock.now() + options.leaseMs) };
        const condition: RowCondition = version === undefined ? { kind: "Absent" } : { kind: "VersionIs", version };
        const outcome = await writer.submit({ key, condition, value });
        if (outcome.kind === "Written") {
            version = getNextVersion(version);
            ceiling = value.ceiling;
            return;
        }
        if (outcome.kind === "Failed" && outcome.error.kind !== "OutcomeUnknown") {
            return;
        }
        const row = await reader.read(key);
        if (either.isRight(row)) {
            applyRow(row.right);
        }
    };

    const isDue = (): boolean => ceiling - clock.now() < options.leaseMs * (1 - RENEWAL_SHARE);

    return {
        ceiling: () => ceiling,
        isLost: () => isFenced,
        renewIfDue: async () => {
            if (!isFenced && isDue()) {
                await renew();
            }
        },
    };
};
