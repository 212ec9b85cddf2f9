/**
 * This process's lease row. Only the ceiling that was surely written counts: a renewal whose answer was lost is read
 * back, and a row that somebody fenced ends the lease for good.
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

/** A lease is renewed when this share of it is used up. */
const RENEWED_SHARE = 1 / 3;

export interface NodeLease {
    /** Latest key time that may be accepted; minus infinity before the first write. */
    readonly ceiling: () => Milliseconds;
    /** Somebody fenced this process: it must accept no key any more. */
    readonly isLost: () => boolean;
    /** Renews the lease if it is due. Never rejects. */
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
 * The version of the row after a write of our own. A platform that counts otherwise refuses the next renewal, which
 * then reads the row.
 */
const nextVersion = (version: RowVersion | undefined): RowVersion =>
    ({ era: version?.era ?? DEFAULT_STORE_ERA, version: (version?.version ?? 0) + 1 });

export const createNodeLease = (dependencies: NodeLeaseDependencies): NodeLease => {
    const { reader, writer, clock, logger, holder, options } = dependencies;
    const key = formatLeaseKey(holder);
    let ceiling = Number.NEGATIVE_INFINITY;
    let version: RowVersion | undefined;
    let lost = false;

    const adopt = (row: TableRow | undefined): void => {
        if (row === undefined) {
            version = undefined;
            return;
        }
        const parsed = leaseRowSchema.safeParse(row.value);
        if (!parsed.success || parsed.data.state === "fenced") {
            lost = true;
            logger.warn("lease was fenced by another node; no key is accepted any more");
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
            version = nextVersion(version);
            ceiling = value.ceiling;
            return;
        }
        if (outcome.kind === "Failed" && outcome.error.kind !== "OutcomeUnknown") {
            return;
        }
        const row = await reader.read(key);
        if (either.isRight(row)) {
            adopt(row.right);
        }
    };

    const isDue = (): boolean => ceiling - clock.now() < options.leaseMs * (1 - RENEWED_SHARE);

    return {
        ceiling: () => ceiling,
        isLost: () => lost,
        renewIfDue: async () => {
            if (!lost && isDue()) {
                await renew();
            }
        },
    };
};
