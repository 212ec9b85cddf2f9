import { expect } from "chai";
import fc from "fast-check";
import { z } from "zod";
import {
    cellAddressSchema,
    cellChangeSchema,
    cellsSchema,
    cellValueSchema,
    deltaSchema,
    MAX_CELL_TEXT_LENGTH,
    MAX_CELLS_PER_DELTA,
} from "../table.js";

/** Reference schema: performs the same validation with the schemas of the address and the value of each cell. */
const referenceSchema = z.record(cellAddressSchema, cellValueSchema);

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
    it("accepts exactly the cells that the schemas of address and value accept", () => {
        fc.assert(fc.property(fc.dictionary(addresses, values, { noNullPrototype: true }), (cells) => {
            expect(cellsSchema.safeParse(cells).success).to.equal(referenceSchema.safeParse(cells).success);
        }), { seed: 11, numRuns: 500 });
    });

    it("rejects values that are not an object of cells", () => {
        for (const value of [undefined, null, 1, "cells", ["routes/r-1/host"]]) {
            expect(cellsSchema.safeParse(value).success, String(value)).to.equal(false);
        }
    });

    it("reports the invalid cell and the values that it may hold", () => {
        const result = cellsSchema.safeParse({ "services/desk/limit": "desk", "limits/desk/queue": null });
        expect(result.error?.issues[0]?.path).to.deep.equal(["limits/desk/queue"]);
        expect(result.error?.issues[0]?.message).to.contain("use a number");
    });
});

describe("deltaSchema", () => {
    const createDelta = (changes: unknown): unknown => ({
        partner: "halloway", sequence: 4, baseDigest: "0".repeat(64), digest: "1".repeat(64), changes,
    });
    const referenceChangesSchema = z.array(cellChangeSchema).max(MAX_CELLS_PER_DELTA);
    const changes = fc.record({
        cell: fc.oneof(addresses, values),
        before: values,
        after: values,
        other: values,
    }, { requiredKeys: [], noNullPrototype: true });

    it("accepts exactly the changes that the schema of a change accepts", () => {
        fc.assert(fc.property(fc.array(fc.oneof(changes, values), { maxLength: 3 }), (changeList) => {
            expect(deltaSchema.safeParse(createDelta(changeList)).success)
                .to.equal(referenceChangesSchema.safeParse(changeList).success);
        }), { seed: 12, numRuns: 1000 });
    });

    it("rejects more changes than a delta may hold, and reports the invalid change", () => {
        const change = { cell: "limits/desk/queue", after: 1 };
        const tooMany = Array.from({ length: MAX_CELLS_PER_DELTA + 1 }, () => change);
        expect(deltaSchema.safeParse(createDelta(tooMany)).success).to.equal(false);
        const result = deltaSchema.safeParse(createDelta([change, { ...change, after: null }]));
        expect(result.error?.issues[0]?.path).to.deep.equal(["changes", 1]);
    });
});
