import { expect } from "chai";
import fc from "fast-check";
import * as either from "fp-ts/lib/Either.js";
import { cellAddressSchema, MAX_CELL_TEXT_LENGTH } from "oleandergap-types";
import { formatAssignment, formatExpectation, parseAssignment, parseExpectation } from "../notation/assignment.js";
import { formatCell, parseCell } from "../notation/cellNotation.js";
import { hasUnsafeCharacters } from "../output/escapeText.js";

const namePart = fc.stringMatching(/^[A-Za-z0-9-]{1,12}$/);
const sheetName = fc.oneof(
    fc.constantFrom("services", "limits", "zones"),
    fc.stringMatching(/^[a-z][A-Za-z0-9-]{0,8}$/),
);
const address = fc
    .tuple(sheetName, fc.array(namePart, { minLength: 1, maxLength: 3 }))
    .map(([sheet, parts]) => [sheet, ...parts].join("/"));
const value = fc.oneof(
    fc.double({ noNaN: true, noDefaultInfinity: true }).map((number) => number === 0 ? 0 : number),
    fc.integer(),
    fc.string({ unit: "binary", maxLength: MAX_CELL_TEXT_LENGTH / 2 }),
    fc.constantFrom("", "50", "1e3", "\"", "(empty)", " a", "a=b", "\u001b[31m", "\u202e", "null"),
);

describe("parseCell", () => {
    it("parses the short form of service cells and full addresses of other cells", () => {
        expect(parseCell("grant-filer.weights.hall-a")).to.deep.equal(either.right("services/grant-filer/weights/hall-a"));
        expect(parseCell("grant-filer.limit")).to.deep.equal(either.right("services/grant-filer/limit"));
        expect(parseCell("limits/filing/queue")).to.deep.equal(either.right("limits/filing/queue"));
        expect(formatCell("zones/hall-a/enabled")).to.equal("zones/hall-a/enabled");
    });

    it("parses every formatted address back to the same address", () => {
        fc.assert(fc.property(address, (cell) => {
            fc.pre(cellAddressSchema.safeParse(cell).success);
            expect(parseCell(formatCell(cell))).to.deep.equal(either.right(cell));
        }));
    });

    it("returns a valid address or an error for any text and never throws", () => {
        fc.assert(fc.property(fc.string({ unit: "binary" }), (text) => {
            const parsed = parseCell(text);
            expect(either.isLeft(parsed) || cellAddressSchema.safeParse(parsed.right).success).to.equal(true);
        }));
    });
});

describe("parseAssignment", () => {
    it("parses every formatted assignment back to the same assignment, and the text has no unsafe characters", () => {
        fc.assert(fc.property(address, value, (cell, cellValue) => {
            fc.pre(cellAddressSchema.safeParse(cell).success);
            const text = formatAssignment({ cell, value: cellValue });
            expect(hasUnsafeCharacters(text)).to.equal(false);
            expect(parseAssignment(text)).to.deep.equal(either.right({ cell, value: cellValue }));
        }), { numRuns: 500 });
    });

    it("rejects a missing value, a missing cell and invalid values", () => {
        for (const text of ["grant-filer.limit", "grant-filer.limit=", "=5", "a.b=1e999", "a.b=\"open", "a.b=\"a\" b"]) {
            expect(either.isLeft(parseAssignment(text)), text).to.equal(true);
        }
    });
});

describe("parseExpectation", () => {
    it("parses expectations of empty cells and of values", () => {
        expect(parseExpectation("a.limit=")).to.deep.equal(either.right({ cell: "services/a/limit" }));
        expect(formatExpectation({ cell: "services/a/limit" })).to.equal("a.limit=");
        expect(parseExpectation("a.limit=\"\"")).to.deep.equal(either.right({ cell: "services/a/limit", value: "" }));
    });
});
