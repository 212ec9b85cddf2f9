/** Loads the document that a head row refers to, with as few reads as possible. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { PartnerDocument, PartnerName, PlatformError } from "oleandergap-types";
import { DELTAS_PER_PAGE, type ConfigurationSource } from "../platform/configurationSource.js";
import type { HeadRow } from "../platform/layout.js";
import { applyDeltas } from "../version/delta.js";

/** Returns any version of a partner that is available on this node without a read. */
export type FindDocument = (partner: PartnerName) => PartnerDocument | undefined;

/** Loads and caches the documents that head rows refer to. */
export interface DocumentLoader {
    readonly load: (
        partner: PartnerName,
        head: HeadRow,
        signal: AbortSignal,
    ) => Promise<Either<PlatformError, PartnerDocument>>;
    /** Caches the version that was just accepted, because the next change is most likely based on it. */
    readonly cacheDocument: (document: PartnerDocument) => void;
}

const matchesHead = (document: PartnerDocument, head: HeadRow): boolean =>
    document.sequence === head.sequence && document.digest === head.digest;

/**
 * Creates a loader that starts from the newest suitable version: the last accepted or loaded version, or the version
 * that `findLocalDocument` returns.
 */
export const createDocumentLoader = (source: ConfigurationSource, findLocalDocument: FindDocument): DocumentLoader => {
    const cachedDocuments = new Map<PartnerName, PartnerDocument>();

    /** Returns the newest available version that is not newer than the head. */
    const findBaseDocument = (partner: PartnerName, head: HeadRow): PartnerDocument | undefined =>
        [cachedDocuments.get(partner), findLocalDocument(partner)]
            .filter((document) => document !== undefined && document.sequence <= head.sequence)
            .sort((left, right) => (right?.sequence ?? 0) - (left?.sequence ?? 0))[0];

    const loadByDeltas = async (
        base: PartnerDocument,
        head: HeadRow,
        signal: AbortSignal,
    ): Promise<Either<PlatformError, PartnerDocument | undefined>> => {
        const deltas = await source.readDeltas(base.partner, base.sequence, signal)();
        if (either.isLeft(deltas)) {
            return deltas;
        }
        const next = applyDeltas(base, deltas.right.filter((delta) => delta.sequence <= head.sequence));
        return either.right(either.isRight(next) && matchesHead(next.right, head) ? next.right : undefined);
    };

    const load: DocumentLoader["load"] = async (partner, head, signal) => {
        const base = findBaseDocument(partner, head);
        if (base !== undefined && matchesHead(base, head)) {
            return either.right(base);
        }
        if (base !== undefined && head.sequence - base.sequence <= DELTAS_PER_PAGE) {
            const next = await loadByDeltas(base, head, signal);
            if (either.isLeft(next)) {
                return next;
            }
            if (next.right !== undefined) {
                cachedDocuments.set(partner, next.right);
                return either.right(next.right);
            }
        }
        const loaded = await source.readDocumentAt(partner, head, signal)();
        if (either.isRight(loaded)) {
            cachedDocuments.set(partner, loaded.right);
        }
        return loaded;
    };

    return {
        load,
        cacheDocument: (document) => {
            cachedDocuments.set(document.partner, document);
        },
    };
};
