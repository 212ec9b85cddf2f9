/** The version of one partner that is in force at a node, and the rules by which another takes its place. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Delta, Head, PartnerDocument, PartnerName, PartnerTable, Route, Sequence, ZoneName } from "oleandergap-types";
import { getNextTable, getTableAfter } from "../table/knownTables.js";
import type { TableProblem } from "../table/tableProblem.js";
import { applyDeltas, deriveDelta } from "../version/delta.js";
import { checkDocument, createEmptyDocument, getDocumentHead } from "../version/document.js";
import type { VersionError } from "../version/versionError.js";
import { createDeltaHistory } from "./deltaHistory.js";

/** What an offer of versions came to. */
export type OfferOutcome =
    | {
        readonly kind: "Applied";
        readonly head: Head;
        /** Later versions of the same offer that were refused. */
        readonly refused: readonly VersionError[];
    }
    /** Nothing above the version in force was offered. */
    | { readonly kind: "Ignored" };

/** What the store of one partner starts with. */
export interface PartnerStoreOptions {
    readonly partner: PartnerName;
    readonly deltaHistory: number;
    /** Whether this very content was found invalid before. */
    readonly isInvalid: (head: Head) => boolean;
}

/** The part of a {@link ConfigurationStore} that concerns one partner. */
export interface PartnerStore {
    readonly document: () => PartnerDocument;
    readonly table: () => PartnerTable;
    readonly offerDocument: (document: PartnerDocument) => Either<VersionError, OfferOutcome>;
    readonly offerDeltas: (deltas: readonly Delta[]) => Either<VersionError, OfferOutcome>;
    readonly deltasSince: (sequence: Sequence) => readonly Delta[] | undefined;
    readonly deltaTo: (sequence: Sequence) => Delta | undefined;
}

/** A document and its table always change together. */
interface Version {
    readonly document: PartnerDocument;
    readonly table: PartnerTable;
}

const ignored: OfferOutcome = { kind: "Ignored" };

const toInvalid = (head: Head) => (problems: readonly TableProblem[]): VersionError =>
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

/** The next version by a run of deltas, built off to the side. */
const buildByDeltas = (current: Version, deltas: readonly Delta[]): Either<VersionError, Version> => {
    const document = applyDeltas(current.document, deltas);
    if (either.isLeft(document)) {
        return document;
    }
    const changes = deltas.flatMap((delta) => delta.changes);
    const table = getNextTable(current.document, document.right, changes);
    return either.isLeft(table) ?
        either.left(toInvalid(document.right)(table.left)) :
        either.right({ document: document.right, table: table.right });
};

/** Starts at the empty document. */
export const createPartnerStore = ({ partner, deltaHistory, isInvalid }: PartnerStoreOptions): PartnerStore => {
    const history = createDeltaHistory(deltaHistory);
    let current = createEmptyVersion(partner);

    const findDivergence = (offered: Head): VersionError | undefined => {
        const { sequence, digest } = offered;
        const held = sequence === current.document.sequence ?
            current.document.digest :
            history.find(sequence)?.digest;
        return held === undefined || held === digest ?
            undefined :
            { kind: "Divergence", partner, sequence, held, offered: digest };
    };

    /** Peers get the step to a version that arrived whole, as long as it is a small one. */
    const noteJump = (step: Delta | undefined): void => {
        if (step === undefined) {
            history.clear();
            return;
        }
        history.append([step]);
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
        const table = getTableAfter(current.document, checked.right);
        if (either.isLeft(table)) {
            return either.left(toInvalid(document)(table.left));
        }
        noteJump(deriveDelta(current.document, checked.right));
        current = { document: checked.right, table: table.right };
        return either.right({ kind: "Applied", head: table.right.head, refused: [] });
    };

    const applyRun = (version: Version, run: readonly Delta[], refused: readonly VersionError[]): OfferOutcome => {
        current = version;
        history.append(run);
        return { kind: "Applied", head: version.table.head, refused };
    };

    /**
     * A run whose end is bad is walked step by step up to the last good version. A bad version in the middle does not
     * stop the walk as long as its content is undamaged: a later good one is reachable through it.
     */
    const applyGoodPart = (
        run: readonly Delta[],
        refusedBefore: readonly VersionError[],
    ): Either<VersionError, OfferOutcome> => {
        let good: { readonly version: Version; readonly length: number } | undefined;
        const refused = [...refusedBefore];
        for (let length = 1; length <= run.length; length++) {
            const built = buildByDeltas(current, run.slice(0, length));
            if (either.isRight(built)) {
                good = { version: built.right, length };
                continue;
            }
            refused.push(built.left);
            if (built.left.kind === "NotExtending") {
                break;
            }
        }
        const first = refused[0];
        if (good !== undefined) {
            return either.right(applyRun(good.version, run.slice(0, good.length), refused));
        }
        return first === undefined ? either.right(ignored) : either.left(first);
    };

    const offerDeltas: PartnerStore["offerDeltas"] = (deltas) => {
        const divergence = deltas.map(findDivergence).find((found) => found !== undefined);
        const run = selectRun(deltas, current.document.sequence);
        if (run.length === 0 || run.every(isInvalid)) {
            return divergence === undefined ? either.right(ignored) : either.left(divergence);
        }
        const refused = divergence === undefined ? [] : [divergence];
        const built = buildByDeltas(current, run);
        return either.isRight(built) ?
            either.right(applyRun(built.right, run, refused)) :
            applyGoodPart(run, refused);
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

/** The deltas above `sequence`, in order and without repeats. */
const selectRun = (deltas: readonly Delta[], sequence: Sequence): readonly Delta[] => {
    const later = deltas.filter((delta) => delta.sequence > sequence);
    const bySequence = new Map(later.map((delta) => [delta.sequence, delta]));
    return [...bySequence.values()].sort((left, right) => left.sequence - right.sequence);
};
