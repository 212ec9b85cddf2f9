import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import fastCheck from "fast-check";
import type { Cells } from "oleandergap-types";
import { parseTable } from "../table/parseTable.js";
import { reparseTable } from "../table/reparseTable.js";
import { formatTableProblem, type TableProblem } from "../table/tableProblem.js";
import { getRowKey } from "../version/cellAddress.js";
import { createNextVersion } from "../version/delta.js";
import { createDocument } from "../version/document.js";
import { applyChanges, changesArbitrary, isValidInReferenceModel, formatTable, initialCells } from "./support.js";

const listProblems = (cells: Cells): readonly TableProblem[] => {
    const result = parseTable(createDocument("halloway", 1, cells));
    return either.isLeft(result) ? result.left : [];
};

describe("parseTable", () => {
    it("accepts exactly the tables that the reference model accepts", () => {
        fastCheck.assert(fastCheck.property(changesArbitrary, (changes) => {
            const cells = applyChanges(initialCells, changes);
            expect(either.isRight(parseTable(createDocument("halloway", 1, cells)))).to.equal(isValidInReferenceModel(cells));
        }), { numRuns: 1000 });
    });

    it("reports every problem with its cell", () => {
        const cells = applyChanges(initialCells, [{ cell: "limits/small/queue" }]);
        expect(listProblems({ ...cells, "services/vault/weights/north": 1, "services/new/weights/east": 2.5 }))
            .to.deep.include.members([
                { kind: "MissingCell", cell: "limits/small/queue" },
                { kind: "UnknownLimit", cell: "services/desk/limit", limit: "small" },
                { kind: "UnknownZone", cell: "services/vault/weights/north", zone: "north" },
                {
                    kind: "BadValue",
                    cell: "services/new/weights/east",
                    found: 2.5,
                    allowed: "a whole number from 0 to 1000",
                },
                { kind: "MissingCell", cell: "services/new/limit" },
            ]);
    });
});

describe("formatTableProblem", () => {
    it("contains the found value and the allowed values", () => {
        const cells = { ...initialCells, "services/new/weights/east": "half", "zones/Bad-/enabled": 1 };
        expect(listProblems(cells).map(formatTableProblem)).to.include.members([
            "services/new/weights/east holds \"half\"; allowed: a whole number from 0 to 1000",
            "zones/Bad- has the name \"Bad-\"; use lower-case letters, digits and inner hyphens, for example \"grant-filer\"",
        ]);
    });
});

describe("reparseTable", () => {
    it("returns the same result as a full parse", () => {
        fastCheck.assert(fastCheck.property(fastCheck.array(changesArbitrary, { maxLength: 10 }), (changeLists) => {
            let document = createDocument("halloway", 1, initialCells);
            let table = either.getOrElseW(() => undefined)(parseTable(document));
            for (const changes of changeLists) {
                const next = createNextVersion(document, changes).document;
                const full = parseTable(createDocument("halloway", next.sequence, applyChanges(document.cells, changes)));
                const rows = [...new Set(changes.map((change) => getRowKey(change.cell)))];
                const derived = table === undefined ? full : reparseTable(table, next, rows);
                expect(either.isRight(derived)).to.equal(either.isRight(full));
                if (either.isRight(full) && either.isRight(derived)) {
                    expect(formatTable(derived.right)).to.equal(formatTable(full.right));
                    document = next;
                    table = derived.right;
                }
            }
        }), { numRuns: 500 });
    });
});
