import { expect } from "chai";
import fastCheck from "fast-check";
import type { Cells } from "oleandergap-types";
import { formatCanonicalJson } from "oleandergap-utils";
import { createNextVersion } from "../version/delta.js";
import { computeDigest } from "../version/digest.js";
import { createDocument, getRowIndex } from "../version/document.js";
import { applyChanges, changesArbitrary, initialCells } from "./support.js";

const reverseCells = (cells: Cells): Cells => Object.fromEntries(Object.entries(cells).reverse());

describe("computeDigest", () => {
    it("returns the same digest for derived versions as for all cells, in any order of cells", () => {
        fastCheck.assert(fastCheck.property(fastCheck.array(changesArbitrary, { maxLength: 12 }), (changeLists) => {
            let document = createDocument("halloway", 1, initialCells);
            let cells = initialCells;
            for (const changes of changeLists) {
                document = createNextVersion(document, changes).document;
                cells = applyChanges(cells, changes);
                expect(document.cells).to.deep.equal(cells);
                expect(getRowIndex(document).cellCount).to.equal(Object.keys(cells).length);
                expect(document.digest).to.equal(computeDigest("halloway", reverseCells(cells)));
            }
        }));
    });

    it("returns equal digests only for equal cells of the same partner", () => {
        fastCheck.assert(fastCheck.property(changesArbitrary, changesArbitrary, (left, right) => {
            const first = applyChanges(initialCells, left);
            const second = applyChanges(initialCells, right);
            expect(computeDigest("halloway", first) === computeDigest("halloway", second))
                .to.equal(formatCanonicalJson(first) === formatCanonicalJson(second));
            expect(computeDigest("halloway", first)).to.not.equal(computeDigest("kushiro", first));
        }));
    });
});
