import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import type { PartnerDocument } from "oleandergap-types";
import { MAX_CELLS_PER_DOCUMENT } from "../change/documentSize.js";
import { planChange } from "../change/planChange.js";
import { getTable } from "../table/tableCache.js";
import { createDocument } from "../version/document.js";

const createZones = (count: number): PartnerDocument =>
    createDocument("halloway", 1, Object.fromEntries(Array.from({ length: count }, (_, number) =>
        [`zones/zone-${number}/enabled`, 1])));

const addition = { cell: "zones/one-more/enabled", expected: undefined, proposed: 1 };
const removal = { cell: "zones/zone-0/enabled", expected: 1, proposed: undefined };

describe("planChange on a large table", () => {
    it("refuses a table with more cells than the maximum", () => {
        const largestDocument = createZones(MAX_CELLS_PER_DOCUMENT);
        expect(either.isRight(getTable(largestDocument))).to.equal(true);
        const count = MAX_CELLS_PER_DOCUMENT + 1;
        expect(planChange(largestDocument, [addition])).to.have.deep.nested.property("left.problems", [
            { kind: "TooManyCells", count, maximum: MAX_CELLS_PER_DOCUMENT },
        ]);
        expect(either.isRight(planChange(largestDocument, [addition, removal]))).to.equal(true);
    });

    it("allows changes that shrink a table above the maximum", () => {
        const tooLarge = createZones(MAX_CELLS_PER_DOCUMENT + 2);
        expect(either.isRight(planChange(tooLarge, [removal]))).to.equal(true);
        expect(either.isLeft(planChange(tooLarge, [addition]))).to.equal(true);
    });
});
