/** A platform for tests. It accepts versions, serves reads after a delay, records them, and can simulate an outage. */
import * as either from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import type { CellChange, CellValue, Cells, Clock, Delta, Head, PartnerDocument, PartnerName, PlatformError } from "oleandergap-types";
import { computeDigest } from "oleandergap-configuration";
import type { ConfigurationSourcePort } from "../ports.js";
import { baseCells, createTestDocument, toHead } from "./recordingStore.js";

const READ_DELAY_MS = 5;

const createChange = (base: PartnerDocument, cell: string, after: CellValue): CellChange => {
    const before = base.cells[cell];
    return before === undefined ? { cell, after } : { cell, before, after };
};

export interface InMemoryPlatform {
    /** Creates the source of one node. Its reads fail while `isReachable` returns false. */
    readonly createSource: (isReachable: () => boolean) => ConfigurationSourcePort;
    /** Accepts a version without validation. Pass a wrong `digest` to create a version that no node can verify. */
    readonly accept: (partner: PartnerName, changes: Readonly<Record<string, CellValue>>, digest?: string) => Delta;
    readonly head: (partner: PartnerName) => Head;
    readonly setOutage: (isUnavailable: boolean) => void;
    /** Makes the sources return whole documents with the heads, and no deltas. */
    readonly serveWholeDocuments: () => void;
    /** Times of all reads, in milliseconds of the monotonic clock. */
    readonly readTimes: readonly number[];
    readonly document: (partner: PartnerName) => PartnerDocument;
}

export const createInMemoryPlatform = (partners: readonly PartnerName[], clock: Clock): InMemoryPlatform => {
    const documents = new Map(partners.map((partner) => [partner, createTestDocument(partner, 1, baseCells)]));
    const deltas = new Map<PartnerName, readonly Delta[]>();
    const readTimes: number[] = [];
    let isUnavailable = false;
    let holdsDocuments = false;

    const getDocument = (partner: PartnerName): PartnerDocument =>
        documents.get(partner) ?? createTestDocument(partner, 0, {});

    const read = <Result>(
        isReachable: () => boolean,
        respond: () => Result,
    ): TaskEither<PlatformError, Result> => async () => {
        readTimes.push(clock.monotonic());
        await new Promise<void>((resolve) => clock.after(READ_DELAY_MS, resolve));
        return isUnavailable || !isReachable() ?
            either.left({ kind: "Unavailable", detail: "outage" }) :
            either.right(respond());
    };

    return {
        readTimes,
        head: (partner) => toHead(getDocument(partner)),
        document: getDocument,
        serveWholeDocuments: () => {
            holdsDocuments = true;
        },
        setOutage: (value) => {
            isUnavailable = value;
        },
        accept: (partner, changes, forcedDigest) => {
            const base = getDocument(partner);
            const cells: Cells = { ...base.cells, ...changes };
            const digest = forcedDigest ?? computeDigest(partner, cells);
            const sequence = base.sequence + 1;
            const delta: Delta = {
                partner,
                sequence,
                baseDigest: base.digest,
                digest,
                changes: Object.entries(changes).map(([cell, after]) => createChange(base, cell, after)),
            };
            documents.set(partner, { partner, sequence, digest, cells });
            deltas.set(partner, [...(deltas.get(partner) ?? []), delta]);
            return delta;
        },
        createSource: (isReachable) => ({
            get holdsDocuments() {
                return holdsDocuments;
            },
            readHeads: (requestedPartners) =>
                read(isReachable, () => requestedPartners.map((partner) => toHead(getDocument(partner)))),
            readDeltas: (partner, after) =>
                read(isReachable, () =>
                    holdsDocuments ? [] : (deltas.get(partner) ?? []).filter((delta) => delta.sequence > after)),
            readDocument: (partner) => read(isReachable, () => getDocument(partner)),
        }),
    };
};
