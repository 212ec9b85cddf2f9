/** Stores the active version of one partner and decides which offered versions replace it. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Delta, Head, PartnerDocument, PartnerName, PartnerTable, Route, Sequence, ZoneName } from "oleandergap-types";
import { getTableFromChanges, getTableFromPrevious } from "../table/tableCache.js";
import type { TableProblem } from "../table/tableProblem.js";
import { applyDeltas, deriveDelta } from "../version/delta.js";
import { checkDocument, createEmptyDocument, getDocumentHead } from "../version/document.js";
import type { VersionError } from "../version/versionError.js";
import { createDeltaHistory } from "./deltaHistory.js";

/** Result of offering versions to the store. */
export type OfferOutcome =
    | {
        readonly kind: "Applied";
        readonly head: Head;
        /** Versions of the same offer that were refused. */
        readonly refused: readonly VersionError[];
    }
    /** The offer contained no newer version, or only versions that are known to be invalid. */
    | { readonly kind: "Ignored" };

/** Options of {@link createPartnerStore}. */
export interface PartnerStoreOptions {
    readonly partner: PartnerName;
    readonly deltaHistory: number;
    /** Whether a version with the same sequence and digest was found invalid before. */
    readonly isInvalid: (head: Head) => boolean;
}

/** The part of a {@link ConfigurationStore} that belongs to one partner. */
export interface PartnerStore {
    readonly document: () => PartnerDocument;
    readonly table: () => PartnerTable;
    readonly offerDocument: (document: PartnerDocument) => Either<VersionError, OfferOutcome>;
    readonly offerDeltas: (deltas: readonly Delta[]) => Either<VersionError, OfferOutcome>;
    readonly deltasSince: (sequence: Sequence) => readonly Delta[] | undefined;
    readonly deltaTo: (sequence: Sequence) => Delta | undefined;
}

/** A document with its parsed table; both are always replaced together. */
interface Version {
    readonly document: PartnerDocument;
    readonly table: PartnerTable;
}

const ignored: OfferOutcome = { kind: "Ignored" };

const createInvalidError = (head: Head) => (problems: readonly TableProblem[]): VersionError =>
    ({ kind: "Invalid", ...getDocumentHead(head), problems });

const createEmptyVersion = (partner: PartnerName): Version => {
    const document = createEmptyDocument(partner);
    const table: PartnerTable = {
        head: getDocumentHead(document),
        services: new Map(),
        zones: new Set<ZoneName>(),
        routes: new Map<string, Route>(),
    };
    return { document, table };
};

/** Builds and validates the version after consecutive deltas without activating it. */
const buildVersion = (current: Version, deltas: readonly Delta[]): Either<VersionError, Version> => {
    const document = applyDeltas(current.document, deltas);
    if (either.isLeft(document)) {
        return document;
    }
    const changes = deltas.flatMap((delta) => delta.changes);
    const table = getTableFromChanges(current.document, document.right, changes);
    return either.isLeft(table) ?
        either.left(createInvalidError(document.right)(table.left)) :
        either.right({ document: document.right, table: table.right });
};

/** Creates the store of one partner with the empty document. */
export const createPartnerStore = ({ partner, deltaHistory, isInvalid }: PartnerStoreOptions): PartnerStore => {
    const history = createDeltaHistory(deltaHistory);
    let current = createEmptyVersion(partner);

    const findDivergence = (offered: Head): VersionError | undefined => {
        const { sequence, digest } = offered;
        const storedDigest = sequence === current.document.sequence ?
            current.document.digest :
            history.find(sequence)?.digest;
        return storedDigest === undefined || storedDigest === digest ?
            undefined :
            { kind: "Divergence", partner, sequence, held: storedDigest, offered: digest };
    };

    /**
     * Records the delta to a version that was received as a complete document, so that peers can be sent the delta.
     * Clears the history if the difference was too large for a delta.
     */
    const recordDelta = (delta: Delta | undefined): void => {
        if (delta === undefined) {
            history.clear();
            return;
        }
        history.append([delta]);
    };

    const offerDocument: PartnerStore["offerDocument"] = (document) => {
        if (document.sequence <= current.document.sequence) {
            const divergence = findDivergence(document);
            return divergence === undefined ? either.right(ignored) : either.left(divergence);
        }
        if (isInvalid(document)) {
            return either.right(ignored);
        }
        const checked = checkDocument(document, current.document);
        if (either.isLeft(checked)) {
            return checked;
        }
        const table = getTableFromPrevious(current.document, checked.right);
        if (either.isLeft(table)) {
            return either.left(createInvalidError(document)(table.left));
        }
        recordDelta(deriveDelta(current.document, checked.right));
        current = { document: checked.right, table: table.right };
        return either.right({ kind: "Applied", head: table.right.head, refused: [] });
    };

    const activateVersion = (
        version: Version,
        newDeltas: readonly Delta[],
        refused: readonly VersionError[],
    ): OfferOutcome => {
        current = version;
        history.append(newDeltas);
        return { kind: "Applied", head: version.table.head, refused };
    };

    /**
     * Applies consecutive deltas up to the last valid version if the final version is invalid. An invalid version in
     * the middle does not stop the search: if its deltas are undamaged, a later valid version can be reached through
     * it.
     */
    const applyValidPrefix = (
        newDeltas: readonly Delta[],
        earlierRefusals: readonly VersionError[],
    ): Either<VersionError, OfferOutcome> => {
        let lastValid: { readonly version: Version; readonly length: number } | undefined;
        const refused = [...earlierRefusals];
        for (let length = 1; length <= newDeltas.length; length++) {
            const built = buildVersion(current, newDeltas.slice(0, length));
            if (either.isRight(built)) {
                lastValid = { version: built.right, length };
                continue;
            }
            refused.push(built.left);
            if (built.left.kind === "NotExtending") {
                break;
            }
        }
        const firstRefusal = refused[0];
        if (lastValid !== undefined) {
            return either.right(activateVersion(lastValid.version, newDeltas.slice(0, lastValid.length), refused));
        }
        return firstRefusal === undefined ? either.right(ignored) : either.left(firstRefusal);
    };

    const offerDeltas: PartnerStore["offerDeltas"] = (deltas) => {
        const divergence = deltas.map(findDivergence).find((found) => found !== undefined);
        const newDeltas = selectNewDeltas(deltas, current.document.sequence);
        if (newDeltas.length === 0 || newDeltas.every(isInvalid)) {
            return divergence === undefined ? either.right(ignored) : either.left(divergence);
        }
        const refused = divergence === undefined ? [] : [divergence];
        const built = buildVersion(current, newDeltas);
        return either.isRight(built) ?
            either.right(activateVersion(built.right, newDeltas, refused)) :
            applyValidPrefix(newDeltas, refused);
    };

    return {
        document: () => current.document,
        table: () => current.table,
        offerDocument,
        offerDeltas,
        deltasSince: (sequence) => sequence >= current.document.sequence ? [] : history.after(sequence),
        deltaTo: history.find,
    };
};

/** Returns the deltas after `sequence`, sorted and without duplicates. */
const selectNewDeltas = (deltas: readonly Delta[], sequence: Sequence): readonly Delta[] => {
    const later = deltas.filter((delta) => delta.sequence > sequence);
    const bySequence = new Map(later.map((delta) => [delta.sequence, delta]));
    return [...bySequence.values()].sort((left, right) => left.sequence - right.sequence);
};
