/** Reads accepted versions from the platform, for the nodes that read on behalf of their zone and for a cold start. */
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
import { replayDeltas, unreadable } from "./replayDeltas.js";
import { createSnapshotReader } from "./snapshotReader.js";

/** Deltas in one page; with changes of a few cells a page stays far below the size limit of an answer. */
export const DELTAS_PER_PAGE = 100;

/** Where versions are read from; problems are logged if a logger is given. */
export interface ConfigurationSourceDependencies {
    readonly tableService: TableService;
    readonly objectStore: ObjectStore;
    readonly logger?: Logger;
}

/** Accepted versions as the platform holds them. No call writes. */
export interface ConfigurationSource {
    /**
     * Whether reading the heads brings the documents as well, so that `readDocument` makes no call after it and there
     * are no deltas. Reads of such documents are not counted against the budget of platform reads.
     */
    readonly holdsDocuments?: boolean;
    /** One read for all partners. A partner whose row cannot be read is left out and does not hold up the others. */
    readonly readHeads: (
        partners: readonly PartnerName[],
        signal: AbortSignal,
    ) => TaskEither<PlatformError, readonly Head[]>;
    /** The first {@link DELTAS_PER_PAGE} deltas after `sequence`, in order; empty when there is none. */
    readonly readDeltas: (
        partner: PartnerName,
        sequence: Sequence,
        signal: AbortSignal,
    ) => TaskEither<PlatformError, readonly Delta[]>;
    /** The whole accepted version: the latest snapshot and the deltas after it, or all deltas without a snapshot. */
    readonly readDocument: (partner: PartnerName, signal: AbortSignal) => TaskEither<PlatformError, PartnerDocument>;
    /** Like `readDocument`, for the version that `head` names. */
    readonly readDocumentAt: (
        partner: PartnerName,
        head: HeadRow,
        signal: AbortSignal,
    ) => TaskEither<PlatformError, PartnerDocument>;
}

/** Remembers only where a replay of deltas was cut off by the read budget. */
export const createConfigurationSource = ({
    tableService,
    objectStore,
    logger,
}: ConfigurationSourceDependencies): ConfigurationSource => {
    const snapshots = createSnapshotReader(objectStore, logger);

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
        const good = parsed.flatMap((result) => result.success ? [result.data] : []);
        return good.length === parsed.length ?
            either.right(good) :
            either.left(unreadable(`a delta of ${partner} after version ${sequence} cannot be read`));
    };

    /**
     * Where replays stopped early, by partner. A long replay under a read budget is cut off again and again; starting
     * over each time, it would never end, and one would see the same pages read forever.
     */
    const resumePoints = new Map<PartnerName, PartnerDocument>();

    const chooseBase = (snapshot: PartnerDocument, head: HeadRow): PartnerDocument => {
        const point = resumePoints.get(snapshot.partner);
        return point !== undefined && point.sequence > snapshot.sequence && point.sequence <= head.sequence ?
            point :
            snapshot;
    };

    const readDeltasAfter = (partner: PartnerName, signal: AbortSignal) => (after: Sequence) =>
        readDeltas(partner, after, signal)();

    const readDocumentAt: ConfigurationSource["readDocumentAt"] = (partner, head, signal) => async () => {
        const base = chooseBase(await snapshots.read(partner, head, signal), head);
        resumePoints.delete(partner);
        const readAfter = readDeltasAfter(partner, signal);
        const { document, error } = await replayDeltas(base, head.sequence, readAfter);
        if (error !== undefined) {
            if (error.kind === "OverBudget") {
                resumePoints.set(partner, document);
            }
            return either.left(error);
        }
        return document.digest === head.digest ?
            either.right(document) :
            either.left(unreadable(`version ${head.sequence} of ${partner} does not match its head`));
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
            either.left(unreadable(`the head of ${partner} cannot be read`)) :
            readDocumentAt(partner, head, signal)();
    };

    return { readHeads, readDeltas, readDocument, readDocumentAt };
};
