/** The real store with a record of the versions that it applied, and documents that it accepts. */
import { computeDigest, createConfigurationStore, type ConfigurationStore } from "oleandergap-configuration";
import { createLogger } from "oleandergap-logger";
import type { Cells, Head, PartnerDocument, PartnerName } from "oleandergap-types";

/** Name of a limit that exists in no table. A version that refers to it is invalid. */
export const MISSING_LIMIT = "missing";
/** A cell that tests change to create valid versions. */
export const WEIGHT_CELL = "services/grant-filer/weights/hall-a";
/** A cell that tests set to {@link MISSING_LIMIT} to create an invalid version. */
export const LIMIT_CELL = "services/grant-filer/limit";
const DELTA_HISTORY = 32;

/** The smallest valid table with a service. */
export const baseCells: Cells = {
    "zones/hall-a/enabled": 1,
    "limits/filing/concurrency": 4,
    "limits/filing/queue": 8,
    "limits/filing/timeoutMs": 2_000,
    "limits/filing/retryRatio": 0.1,
    [LIMIT_CELL]: "filing",
    [WEIGHT_CELL]: 1,
};

/** Returns the cells of `count` limits whose names start with `name`. */
export const createLimits = (name: string, count: number): Cells =>
    Object.fromEntries(Array.from({ length: count }).flatMap((_, number) => [
        [`limits/${name}-${number}/concurrency`, 4],
        [`limits/${name}-${number}/queue`, 8],
        [`limits/${name}-${number}/timeoutMs`, 2_000],
        [`limits/${name}-${number}/retryRatio`, 0.1],
    ]));

export const createTestDocument = (partner: PartnerName, sequence: number, cells: Cells): PartnerDocument =>
    ({ partner, sequence, digest: computeDigest(partner, cells), cells });

export const toHead = ({ partner, sequence, digest }: Head): Head => ({ partner, sequence, digest });

export interface RecordingStore extends ConfigurationStore {
    /** All versions that came into force, in order. */
    readonly applied: readonly Head[];
}

export const createRecordingStore = (partners: readonly PartnerName[]): RecordingStore => {
    const store = createConfigurationStore({ partners, logger: createLogger("store"), deltaHistory: DELTA_HISTORY });
    const applied: Head[] = [];
    store.subscribe((head) => applied.push(head));
    return { ...store, applied };
};
