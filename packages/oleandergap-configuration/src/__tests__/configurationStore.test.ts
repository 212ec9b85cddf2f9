import { expect } from "chai";
import fastCheck from "fast-check";
import * as either from "fp-ts/lib/Either.js";
import type { Delta, PartnerDocument, Sequence } from "oleandergap-types";
import { createConfigurationStore, type ConfigurationStore } from "../store/configurationStore.js";
import { applyDeltas } from "../version/delta.js";
import { computeDigest } from "../version/digest.js";
import { createDocument } from "../version/document.js";
import { parseTable } from "../table/parseTable.js";
import {
    applyChanges,
    buildChain,
    changesArbitrary,
    isValidInReferenceModel,
    formatTable,
    silentLogger,
    type VersionChain,
} from "./support.js";

const PARTNER = "halloway";
const HISTORY_LENGTH = 6;

const createStore = (): ConfigurationStore =>
    createConfigurationStore({ partners: [PARTNER, "kushiro"], logger: silentLogger, deltaHistory: HISTORY_LENGTH });

type Damage = "None" | "Content" | "Digest" | "Base";

/** Offer of versions of a chain: any subset in any order, with duplicates and damaged versions. */
type Offer =
    | { readonly kind: "Document"; readonly sequence: Sequence; readonly damage: Damage }
    | { readonly kind: "Deltas"; readonly sequences: readonly Sequence[]; readonly damagedSequence: Sequence; readonly damage: Damage };

const damageArbitrary = fastCheck.constantFrom<Damage>("None", "None", "Content", "Digest", "Base");

const offerArbitrary = (length: number): fastCheck.Arbitrary<Offer> => {
    const sequence = fastCheck.integer({ min: 1, max: length });
    return fastCheck.oneof(
        fastCheck.record({ kind: fastCheck.constant("Document" as const), sequence, damage: damageArbitrary }),
        fastCheck.record({
            kind: fastCheck.constant("Deltas" as const),
            sequences: fastCheck.oneof(
                fastCheck.array(sequence, { maxLength: 8 }),
                // All deltas from a random sequence, as a peer with a newer version sends them.
                sequence.map((first) => Array.from({ length: length - first + 1 }, (_, index) => first + index)),
            ),
            damagedSequence: sequence,
            damage: damageArbitrary,
        }),
    );
};

const WRONG_DIGEST = "0".repeat(64);
const DAMAGED_CELL = "services/desk/weights/east";

const damageDocument = (document: PartnerDocument, damage: Damage): PartnerDocument => {
    switch (damage) {
        case "Content":
            return { ...document, cells: applyChanges(document.cells, [{ cell: DAMAGED_CELL, after: 999 }]) };
        case "Digest":
            return { ...document, digest: WRONG_DIGEST };
        default:
            return document;
    }
};

const damageDelta = (delta: Delta, damage: Damage): Delta => {
    switch (damage) {
        case "Content":
            return { ...delta, changes: [{ cell: DAMAGED_CELL, after: 999 }] };
        case "Digest":
            return { ...delta, digest: WRONG_DIGEST };
        case "Base":
            return { ...delta, baseDigest: WRONG_DIGEST };
        case "None":
            return delta;
    }
};

/**
 * Reference model: returns the highest sequence that an offer leads to. Applies the consecutive deltas after the
 * active version one by one and compares all cells after each delta with the expected version.
 */
const predictSequence = (chain: VersionChain, activeSequence: Sequence, offer: Offer): Sequence => {
    const isValidVersion = (sequence: Sequence): boolean =>
        isValidInReferenceModel(chain.documents[sequence]?.cells ?? {});
    if (offer.kind === "Document") {
        const isUndamaged = offer.damage === "None" || offer.damage === "Base";
        return isUndamaged && offer.sequence > activeSequence && isValidVersion(offer.sequence) ?
            offer.sequence :
            activeSequence;
    }
    const offered = new Set(offer.sequences);
    let highest = activeSequence;
    let cells = chain.documents[activeSequence]?.cells ?? {};
    for (let sequence = activeSequence + 1; offered.has(sequence); sequence++) {
        const damage = offer.damagedSequence === sequence ? offer.damage : "None";
        const isBaseDamaged = offer.damagedSequence === sequence - 1 &&
            offer.damage === "Digest" &&
            sequence - 1 > activeSequence;
        const delta = chain.deltas[sequence - 1];
        if (delta === undefined || damage === "Base" || isBaseDamaged) {
            break;
        }
        cells = applyChanges(cells, damageDelta(delta, damage).changes);
        const matchesDigest = computeDigest(PARTNER, { ...cells }) === chain.documents[sequence]?.digest;
        highest = matchesDigest && damage !== "Digest" && isValidVersion(sequence) ? sequence : highest;
    }
    return highest;
};

const runOffer = (store: ConfigurationStore, chain: VersionChain, offer: Offer): void => {
    if (offer.kind === "Document") {
        const document = chain.documents[offer.sequence];
        expect(document).to.not.equal(undefined);
        store.offerDocument(damageDocument(document ?? createDocument(PARTNER, 0, {}), offer.damage));
        return;
    }
    const deltas = offer.sequences.flatMap((sequence) => chain.deltas[sequence - 1] ?? []);
    store.offerDeltas(PARTNER, deltas.map((delta) =>
        delta.sequence === offer.damagedSequence ? damageDelta(delta, offer.damage) : delta));
};

/**
 * Checks that the store contains exactly one complete version: cells, digest, and a table in which every reference
 * resolves.
 */
const checkCompleteVersion = (store: ConfigurationStore, chain: VersionChain): void => {
    const document = store.document(PARTNER);
    const expectedDocument = chain.documents[document.sequence];
    expect(document.cells).to.deep.equal(expectedDocument?.cells);
    expect(document.digest).to.equal(expectedDocument?.digest);
    const table = store.getTables().get(PARTNER);
    const parsed = parseTable(createDocument(PARTNER, document.sequence, { ...expectedDocument?.cells }));
    expect(formatTable(table)).to.equal(either.isRight(parsed) ? formatTable(parsed.right) : "an invalid version");
    for (const row of table?.services.values() ?? []) {
        expect(row.limit.concurrency).to.equal(document.cells[`limits/${row.limitName}/concurrency`]);
        row.weights.forEach((_weight, zone) => expect(document.cells[`zones/${zone}/enabled`]).to.equal(1));
    }
};

const checkHistory = (store: ConfigurationStore, chain: VersionChain): void => {
    const activeDocument = store.document(PARTNER);
    for (const baseDocument of chain.documents.filter((document) => document.sequence <= activeDocument.sequence)) {
        const deltas = store.deltasSince(PARTNER, baseDocument.sequence);
        const result = deltas === undefined ? either.right(activeDocument) : applyDeltas(baseDocument, deltas);
        expect(either.isRight(result) && result.right.digest).to.equal(activeDocument.digest);
        expect(deltas?.length ?? 0).to.be.at.most(HISTORY_LENGTH);
    }
};

describe("createConfigurationStore", () => {
    // Guards against a node that activates an older, incomplete or unaccepted version. Documents and deltas may arrive
    // late, repeatedly, out of order, with gaps, damaged or invalid. The transport guarantees neither order nor
    // content, so that the node must validate each version.
    it("matches a reference model for valid and invalid offers in any order", () => {
        const runArbitrary = fastCheck.array(changesArbitrary, { minLength: 1, maxLength: 10 }).chain((changeLists) =>
            fastCheck.tuple(
                fastCheck.constant(changeLists),
                fastCheck.array(offerArbitrary(changeLists.length + 1), { maxLength: 20 }),
            ));
        fastCheck.assert(fastCheck.property(runArbitrary, ([changeLists, offers]) => {
            const chain = buildChain(PARTNER, changeLists);
            const store = createStore();
            const otherTable = store.getTables().get("kushiro");
            for (const offer of offers) {
                const activeSequence = store.document(PARTNER).sequence;
                const tablesBefore = store.getTables();
                const formattedBefore = formatTable(tablesBefore.get(PARTNER));
                runOffer(store, chain, offer);
                expect(store.document(PARTNER).sequence).to.equal(predictSequence(chain, activeSequence, offer));
                expect(formatTable(tablesBefore.get(PARTNER))).to.equal(formattedBefore);
                expect(store.getTables().get("kushiro")).to.equal(otherTable);
                checkCompleteVersion(store, chain);
                checkHistory(store, chain);
            }
        }), { numRuns: 400 });
    });

    it("reaches a later valid version through an invalid one and refuses the invalid one once", () => {
        const { deltas, documents } = buildChain(PARTNER, [
            [{ cell: "services/desk/limit", after: "none" }],
            [{ cell: "services/desk/limit", after: "large" }],
        ]);
        const store = createStore();
        const receivedSequences: Sequence[] = [];
        store.subscribe((head) => receivedSequences.push(head.sequence));
        store.offerDeltas(PARTNER, deltas.slice(0, 2));
        expect(store.refusals().map((error) => error.kind)).to.deep.equal(["Invalid"]);
        const invalidDocument = documents[2] ?? createDocument(PARTNER, 0, {});
        expect(store.needsVersion(invalidDocument)).to.equal(false);
        expect(store.offerDocument(invalidDocument)).to.deep.equal(either.right({ kind: "Ignored" }));
        store.offerDeltas(PARTNER, deltas.slice(1));
        expect(receivedSequences).to.deep.equal([1, 3]);
    });

    // Guards against nodes that serve different content with the same sequence. The platform loses its latest rows and
    // accepts another change with the same sequence. A version is identified by its digest and not only by its
    // sequence.
    it("reports a different version with the same sequence and activates a higher one", () => {
        const store = createStore();
        const activeChain = buildChain(PARTNER, [[{ cell: "services/desk/weights/east", after: 5 }]]);
        const divergingChain = buildChain(PARTNER, [
            [{ cell: "services/desk/weights/east", after: 6 }],
            [{ cell: "services/desk/weights/west", after: 6 }],
        ]);
        store.offerDeltas(PARTNER, activeChain.deltas);
        const diverging = store.offerDeltas(PARTNER, divergingChain.deltas.slice(0, 2));
        expect(either.isLeft(diverging) && diverging.left.kind).to.equal("Divergence");
        expect(store.document(PARTNER).digest).to.equal(activeChain.documents[2]?.digest);
        store.offerDocument(divergingChain.documents[3] ?? createDocument(PARTNER, 0, {}));
        expect(store.heads()[0]).to.include({ sequence: 3, digest: divergingChain.documents[3]?.digest });
    });

    it("notifies the other listeners when a listener fails", () => {
        const store = createStore();
        const receivedSequences: Sequence[] = [];
        store.subscribe(() => {
            throw new Error("a listener's fault");
        });
        const unsubscribe = store.subscribe((head) => receivedSequences.push(head.sequence));
        const { deltas } = buildChain(PARTNER, [[{ cell: "services/desk/weights/east", after: 5 }]]);
        store.offerDeltas(PARTNER, deltas.slice(0, 1));
        unsubscribe();
        store.offerDeltas(PARTNER, deltas);
        expect(receivedSequences).to.deep.equal([1]);
    });
});
