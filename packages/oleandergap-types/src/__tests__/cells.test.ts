import { expect } from "chai";
import fc from "fast-check";
import { z } from "zod";
import { cellAddressSchema, cellsSchema, cellValueSchema, MAX_CELL_TEXT_LENGTH } from "../table.js";

/** The same check, cell by cell through their schemas. */
const naiveSchema = z.record(cellAddressSchema, cellValueSchema);

const addresses = fc.oneof(
    fc.constantFrom("services/desk/limit", "limits/desk/queue", "routes/r-1/services/desk", "x", "Routes/a", "a/b c", ""),
    fc.string(),
);
const values = fc.oneof(
    fc.integer(),
    fc.double(),
    fc.string(),
    fc.constantFrom(null, true, undefined, [], {}, "x".repeat(MAX_CELL_TEXT_LENGTH), "x".repeat(MAX_CELL_TEXT_LENGTH + 1)),
);

describe("cellsSchema", () => {
    it("accepts what the schemas of address and value accept, and nothing else", () => {
        fc.assert(fc.property(fc.dictionary(addresses, values, { noNullPrototype: true }), (cells) => {
            expect(cellsSchema.safeParse(cells).success).to.equal(naiveSchema.safeParse(cells).success);
        }), { seed: 11, numRuns: 500 });
    });

    it("refuses what is no object of cells", () => {
        for (const value of [undefined, null, 1, "cells", ["routes/r-1/host"]]) {
            expect(cellsSchema.safeParse(value).success, String(value)).to.equal(false);
        }
    });

    it("names the cell that is wrong and what it may hold", () => {
        const refused = cellsSchema.safeParse({ "services/desk/limit": "desk", "limits/desk/queue": null });
        expect(refused.error?.issues[0]?.path).to.deep.equal(["limits/desk/queue"]);
        expect(refused.error?.issues[0]?.message).to.contain("use a number");
    });
});
