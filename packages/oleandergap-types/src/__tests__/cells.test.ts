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
    MAX_CELLS_PER_STEP,
} from "../table.js";

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

describe("deltaSchema", () => {
    const createStep = (changes: unknown): unknown => ({
        partner: "halloway", sequence: 4, baseDigest: "0".repeat(64), digest: "1".repeat(64), changes,
    });
    const naiveChanges = z.array(cellChangeSchema).max(MAX_CELLS_PER_STEP);
    const changes = fc.record({
        cell: fc.oneof(addresses, values),
        before: values,
        after: values,
        other: values,
    }, { requiredKeys: [], noNullPrototype: true });

    it("accepts changes that the schema of a change accepts, and no others", () => {
        fc.assert(fc.property(fc.array(fc.oneof(changes, values), { maxLength: 3 }), (list) => {
            expect(deltaSchema.safeParse(createStep(list)).success).to.equal(naiveChanges.safeParse(list).success);
        }), { seed: 12, numRuns: 1000 });
    });

    it("refuses more changes than a step may hold, and names the wrong one", () => {
        const change = { cell: "limits/desk/queue", after: 1 };
        const tooMany = Array.from({ length: MAX_CELLS_PER_STEP + 1 }, () => change);
        expect(deltaSchema.safeParse(createStep(tooMany)).success).to.equal(false);
        const refused = deltaSchema.safeParse(createStep([change, { ...change, after: null }]));
        expect(refused.error?.issues[0]?.path).to.deep.equal(["changes", 1]);
    });
});
