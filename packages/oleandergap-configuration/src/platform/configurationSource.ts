/**
 * Reads accepted versions from the platform, for nodes that read on behalf of their zone and for nodes that start
 * without a version.
 */
import * as either from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import {
    deltaSchema,
    type Delta,
    type Head,
    type ObjectStore,
    type PartnerDocument,
    type PartnerName,
    type PlatformError,
    type Sequence,
    type TableRow,
    type TableService,
} from "oleandergap-types";
import type { Logger } from "oleandergap-logger";
import { createEmptyDocument } from "../version/document.js";
import {
    formatDeltaKey,
    formatDeltaPrefix,
    formatHeadKey,
    headRowSchema,
    toHead,
    type HeadRow,
} from "./layout.js";
import { replayDeltas, createUnreadableError } from "./replayDeltas.js";
import { createSnapshotReader } from "./snapshotReader.js";

/** Number of deltas in one page. With changes of a few cells, a page remains far below the size limit of a response. */
export const DELTAS_PER_PAGE = 100;

/** Dependencies of {@link createConfigurationSource}. Problems are logged if there is a logger. */
export interface ConfigurationSourceDependencies {
    readonly tableService: TableService;
    readonly objectStore: ObjectStore;
    readonly logger?: Logger;
}

/** Read access to the accepted versions on the platform. No method writes. */
export interface ConfigurationSource {
    /**
     * Whether `readHeads` also loads the documents. In this case `readDocument` makes no further call, and there are no
     * deltas. Reads of such documents do not count towards the budget of platform reads.
     */
    readonly holdsDocuments?: boolean;
    /**
     * Reads the heads of all partners with one call. A partner with an unreadable row is omitted and does not affect
     * the others.
     */
    readonly readHeads: (
        partners: readonly PartnerName[],
        signal: AbortSignal,
    ) => TaskEither<PlatformError, readonly Head[]>;
    /** Reads the first {@link DELTAS_PER_PAGE} deltas after `sequence`, in order; empty if there are none. */
    readonly readDeltas: (
        partner: PartnerName,
        sequence: Sequence,
        signal: AbortSignal,
    ) => TaskEither<PlatformError, readonly Delta[]>;
    /**
     * Reads the complete accepted version from the latest snapshot and the deltas after it, or from all deltas if there
     * is no snapshot.
     */
    readonly readDocument: (partner: PartnerName, signal: AbortSignal) => TaskEither<PlatformError, PartnerDocument>;
    /** Reads the version of `head` in the same way as `readDocument`. */
    readonly readDocumentAt: (
        partner: PartnerName,
        head: HeadRow,
        signal: AbortSignal,
    ) => TaskEither<PlatformError, PartnerDocument>;
}

/**
 * Creates a source that reads from the platform. Its only state is the position at which the read budget interrupted a
 * replay of deltas.
 */
export const createConfigurationSource = ({
    tableService,
    objectStore,
    logger,
}: ConfigurationSourceDependencies): ConfigurationSource => {
    const snapshotReader = createSnapshotReader(objectStore, logger);

    const parseHeadRow = (key: string, row: TableRow | undefined): HeadRow | undefined => {
        const result = headRowSchema.safeParse(row?.value);
        if (row !== undefined && !result.success) {
            logger?.error("A head row cannot be read", { key });
        }
        return result.success ? result.data : undefined;
    };

    const readHeads: ConfigurationSource["readHeads"] = (partners, signal) => async () => {
        const rows = await tableService.read(partners.map(formatHeadKey), signal)();
        if (either.isLeft(rows)) {
            return rows;
        }
        const rowsByKey = new Map(rows.right.map((row) => [row.key, row]));
        return either.right(partners.flatMap((partner): readonly Head[] => {
            const key = formatHeadKey(partner);
            const row = rowsByKey.get(key);
            const head = parseHeadRow(key, row);
            if (head !== undefined) {
                return [toHead(partner, head)];
            }
            const { sequence, digest } = createEmptyDocument(partner);
            return row === undefined ? [{ partner, sequence, digest }] : [];
        }));
    };

    const readDeltas: ConfigurationSource["readDeltas"] = (partner, sequence, signal) => async () => {
        const scan = {
            prefix: formatDeltaPrefix(partner),
            after: formatDeltaKey(partner, sequence),
            limit: DELTAS_PER_PAGE,
        };
        const rows = await tableService.scan(scan, signal)();
        if (either.isLeft(rows)) {
            return rows;
        }
        const parsed = rows.right.map((row) => deltaSchema.safeParse(row.value));
        const deltas = parsed.flatMap((result) => result.success ? [result.data] : []);
        return deltas.length === parsed.length ?
            either.right(deltas) :
            either.left(createUnreadableError(`a delta of ${partner} after version ${sequence} cannot be read`));
    };

    /**
     * Documents at which replays were interrupted, by partner. The read budget may interrupt a long replay several
     * times. If each replay started from the beginning, it would read the same pages repeatedly and never end.
     */
    const resumePoints = new Map<PartnerName, PartnerDocument>();

    const chooseBaseDocument = (snapshot: PartnerDocument, head: HeadRow): PartnerDocument => {
        const resumePoint = resumePoints.get(snapshot.partner);
        return resumePoint !== undefined &&
            resumePoint.sequence > snapshot.sequence &&
            resumePoint.sequence <= head.sequence ?
            resumePoint :
            snapshot;
    };

    const readDeltasAfter = (partner: PartnerName, signal: AbortSignal) => (after: Sequence) =>
        readDeltas(partner, after, signal)();

    const readDocumentAt: ConfigurationSource["readDocumentAt"] = (partner, head, signal) => async () => {
        const base = chooseBaseDocument(await snapshotReader.read(partner, head, signal), head);
        resumePoints.delete(partner);
        const readNextDeltas = readDeltasAfter(partner, signal);
        const { document, error } = await replayDeltas(base, head.sequence, readNextDeltas);
        if (error !== undefined) {
            if (error.kind === "OverBudget") {
                resumePoints.set(partner, document);
            }
            return either.left(error);
        }
        return document.digest === head.digest ?
            either.right(document) :
            either.left(createUnreadableError(`version ${head.sequence} of ${partner} does not match its head`));
    };

    const readDocument: ConfigurationSource["readDocument"] = (partner, signal) => async () => {
        const key = formatHeadKey(partner);
        const rows = await tableService.read([key], signal)();
        if (either.isLeft(rows)) {
            return rows;
        }
        const row = rows.right[0];
        if (row === undefined) {
            return either.right(createEmptyDocument(partner));
        }
        const head = parseHeadRow(key, row);
        return head === undefined ?
            either.left(createUnreadableError(`the head of ${partner} cannot be read`)) :
            readDocumentAt(partner, head, signal)();
    };

    return { readHeads, readDeltas, readDocument, readDocumentAt };
};
