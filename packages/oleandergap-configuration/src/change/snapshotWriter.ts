/**
 * Writes a snapshot of an accepted version before the next change is accepted, so that a head row only refers to an
 * object that exists. Acceptance does not depend on the object store: if a write fails, the head row keeps its
 * reference to the older snapshot, and readers apply more deltas.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Logger } from "oleandergap-logger";
import type { Clock, Digest, Milliseconds, ObjectStore, PartnerDocument, PartnerName, Sequence } from "oleandergap-types";
import { formatCanonicalJson, raceAbort, startTimeLimit } from "oleandergap-utils";
import { formatSnapshotKey, type HeadRow } from "../platform/layout.js";
import type { ChangeOptions } from "./options.js";

/** Fields of a head row that refer to the latest snapshot. */
export interface SnapshotReference {
    readonly snapshotSequence: Sequence;
    readonly snapshotDigest: Digest;
}

/** Writes snapshots when they are due. */
export interface SnapshotWriter {
    /**
     * Writes a snapshot of `document`, the version of `head`, if one is due. Returns the snapshot reference for the
     * next head row.
     */
    readonly writeIfDue: (document: PartnerDocument, head: HeadRow, signal: AbortSignal) => Promise<SnapshotReference>;
}

/** Dependencies of {@link createSnapshotWriter}. */
export interface SnapshotWriterDependencies {
    readonly objectStore: ObjectStore;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly options: ChangeOptions;
}

/** Creates the snapshot writer of one node. After a failed write, it delays further snapshots of that partner only. */
export const createSnapshotWriter = ({
    objectStore,
    clock,
    logger,
    options,
}: SnapshotWriterDependencies): SnapshotWriter => {
    const retryTimes = new Map<PartnerName, Milliseconds>();

    /** Returns whether the object was written. An unknown outcome counts as a failure. */
    const writeSnapshot = async (document: PartnerDocument, signal: AbortSignal): Promise<boolean> => {
        const { partner, sequence, digest } = document;
        const body = Buffer.from(formatCanonicalJson(document));
        const timeLimit = startTimeLimit(clock, options.snapshotTimeoutMs, signal);
        const put = objectStore.put(formatSnapshotKey(partner, sequence, digest), body, timeLimit.signal);
        const isWritten = await raceAbort(put().then(either.isRight), timeLimit.signal, () => false);
        timeLimit.cancel();
        return isWritten;
    };

    return {
        writeIfDue: async (document, head, signal) => {
            const { partner, sequence, digest } = document;
            const currentReference = { snapshotSequence: head.snapshotSequence, snapshotDigest: head.snapshotDigest };
            const isDue = sequence - head.snapshotSequence >= options.snapshotEvery;
            if (!isDue || clock.monotonic() < (retryTimes.get(partner) ?? 0)) {
                return currentReference;
            }
            if (await writeSnapshot(document, signal)) {
                return { snapshotSequence: sequence, snapshotDigest: digest };
            }
            retryTimes.set(partner, clock.monotonic() + options.snapshotRetryMs);
            logger.warn("A snapshot could not be written; the older one stays in use", { partner, sequence });
            return currentReference;
        },
    };
};
