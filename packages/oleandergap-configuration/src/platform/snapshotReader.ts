/** Reads the snapshot that a head row refers to from the object store. */
import * as either from "fp-ts/lib/Either.js";
import { documentSchema, type ObjectStore, type PartnerDocument, type PartnerName } from "oleandergap-types";
import type { Logger } from "oleandergap-logger";
import { checkDocument, createEmptyDocument } from "../version/document.js";
import { formatSnapshotKey, type HeadRow } from "./layout.js";

/** Reads the documents from which replays of deltas start. */
export interface SnapshotReader {
    /**
     * Returns the snapshot that `head` refers to, or the empty document if there is no readable snapshot. Never
     * rejects.
     */
    readonly read: (partner: PartnerName, head: HeadRow, signal: AbortSignal) => Promise<PartnerDocument>;
}

const parseSnapshot = (body: Uint8Array): PartnerDocument | undefined => {
    try {
        const parsed = documentSchema.safeParse(JSON.parse(Buffer.from(body).toString("utf8")));
        const checked = parsed.success ? checkDocument(parsed.data) : undefined;
        return checked !== undefined && either.isRight(checked) ? checked.right : undefined;
    }
    catch {
        return undefined;
    }
};

/** Creates the snapshot reader of one node. */
export const createSnapshotReader = (objectStore: ObjectStore, logger: Logger | undefined): SnapshotReader => {
    const read: SnapshotReader["read"] = async (partner, head, signal) => {
        const empty = createEmptyDocument(partner);
        if (head.snapshotSequence === 0) {
            return empty;
        }
        const key = formatSnapshotKey(partner, head.snapshotSequence, head.snapshotDigest);
        const body = await objectStore.get(key, signal)();
        const snapshot = either.isRight(body) && body.right !== undefined ? parseSnapshot(body.right) : undefined;
        const matchesHead = snapshot?.partner === partner &&
            snapshot.sequence === head.snapshotSequence &&
            snapshot.digest === head.snapshotDigest;
        if (snapshot !== undefined && matchesHead) {
            return snapshot;
        }
        // The object store may be unavailable or have lost the object while the table service is available. The deltas
        // alone produce the same version, at the cost of one read for each page.
        logger?.warn("A snapshot cannot be read; replaying all deltas instead", { key });
        return empty;
    };

    return { read };
};
