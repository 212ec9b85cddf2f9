import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import fastCheck from "fast-check";
import type { CellChange, Cells } from "oleandergap-types";
import { getTableFromChanges, getTable, getTableFromPrevious } from "../table/tableCache.js";
import { parseTable } from "../table/parseTable.js";
import type { TableProblem } from "../table/tableProblem.js";
import { applyDeltas, createNextVersion } from "../version/delta.js";
import { createDocument } from "../version/document.js";
import { applyChanges, initialCells } from "./support.js";

const createRouteCells = (name: string, prefix: string, services: Readonly<Record<string, number>>): Cells => ({
    [`routes/${name}/host`]: "desk.example",
    [`routes/${name}/prefix`]: prefix,
    [`routes/${name}/kind`]: "safe",
    [`routes/${name}/maxAttempts`]: 2,
    [`routes/${name}/timeoutMs`]: 1000,
    [`routes/${name}/targetLatencyMs`]: 300,
    [`routes/${name}/priority`]: 1,
    ...Object.fromEntries(Object.entries(services).map(([service, weight]) =>
        [`routes/${name}/services/${service}`, weight])),
});

const cellsWithRoutes: Cells = {
    ...initialCells,
    "services/desk/placement": "load",
    ...createRouteCells("reads", "/reads/", { desk: 90, vault: 10 }),
};

const listProblems = (cells: Cells): readonly TableProblem[] => {
    const result = parseTable(createDocument("halloway", 1, cells));
    return either.isLeft(result) ? result.left : [];
};

describe("parseTable with routes", () => {
    it("parses a route with its shares", () => {
        const table = parseTable(createDocument("halloway", 1, cellsWithRoutes));
        expect(either.isRight(table) && table.right.routes.get("reads")).to.deep.equal({
            name: "reads",
            host: "desk.example",
            prefix: "/reads/",
            kind: "safe",
            maxAttempts: 2,
            timeoutMs: 1000,
            targetLatencyMs: 300,
            priority: 1,
            shares: [{ service: "desk", weight: 90 }, { service: "vault", weight: 10 }],
        });
        expect(either.isRight(table) && table.right.services.get("desk")?.placement).to.equal("load");
        expect(either.isRight(table) && table.right.services.get("vault")?.placement).to.equal("weights");
    });

    it("reports each problem of a route with its cell", () => {
        const invalidCells = applyChanges({ ...cellsWithRoutes, ...createRouteCells("again", "/reads/", { nowhere: 1 }) }, [
            { cell: "routes/reads/kind", after: "sometimes" },
            { cell: "routes/reads/timeoutMs" },
            { cell: "routes/reads/services/vault", after: 0 },
            { cell: "routes/again/colour", after: "red" },
        ]);
        expect(listProblems(invalidCells).map(({ kind }) => kind)).to.have.members([
            "BadValue", "MissingCell", "BadValue", "UnknownCell", "UnknownService",
        ]);
    });

    it("refuses prefixes that do not begin and end with a slash", () => {
        for (const prefix of ["reads/", "/reads", "", "/re ads/", "/reads?/"]) {
            expect(listProblems({ ...cellsWithRoutes, "routes/reads/prefix": prefix }), prefix).to.have.length(1);
        }
        expect(listProblems({ ...cellsWithRoutes, "routes/reads/prefix": "/" })).to.have.length(0);
    });

    it("refuses a route without a service, and two routes with the same host and prefix", () => {
        const cellsWithoutService = applyChanges(cellsWithRoutes, [
            { cell: "routes/reads/services/desk" },
            { cell: "routes/reads/services/vault" },
        ]);
        expect(listProblems(cellsWithoutService)).to.deep.equal([{ kind: "NoService", cell: "routes/reads" }]);
        const cellsWithDuplicateRoute = { ...cellsWithRoutes, ...createRouteCells("again", "/reads/", { desk: 1 }) };
        expect(listProblems(cellsWithDuplicateRoute).map(({ kind }) => kind)).to.deep.equal(["DoubledRoute"]);
    });

    it("refuses a change that removes a service to which a route refers", () => {
        // Guards against a route to a service that does not exist. A change empties the cells of a service that an
        // unchanged route refers to. Validating only the changed rows would not detect this.
        const base = createDocument("halloway", 1, cellsWithRoutes);
        expect(either.isRight(getTable(base))).to.equal(true);
        const changes = [
            { cell: "services/vault/limit", before: "large" },
            { cell: "services/vault/weights/west", before: 7 },
        ];
        const { delta } = createNextVersion(base, changes);
        const next = applyDeltas(base, [delta]);
        const table = either.isRight(next) ? getTableFromChanges(base, next.right, changes) : undefined;
        expect(table !== undefined && either.isLeft(table) && table.left.map(({ kind }) => kind))
            .to.deep.equal(["UnknownService"]);
    });

    it("returns the same result for a similar document as a full parse", () => {
        const changeArbitrary = fastCheck.record({
            cell: fastCheck.constantFrom(
                ...Object.keys(cellsWithRoutes),
                "routes/reads/services/nowhere",
                "routes/other/host",
                ...Object.keys(createRouteCells("other", "/other/", { vault: 3 })),
            ),
            after: fastCheck.constantFrom(undefined, 1, 90, "desk.example", "/reads/", "/other/", "safe", "small"),
        }).map(({ cell, after }): CellChange => after === undefined ? { cell } : { cell, after });
        fastCheck.assert(fastCheck.property(fastCheck.array(changeArbitrary, { maxLength: 10 }), (changes) => {
            const base = createDocument("halloway", 1, cellsWithRoutes);
            getTable(base);
            const cells = applyChanges(cellsWithRoutes, changes);
            const next = createDocument("halloway", 5, cells, base);
            const rebuilt = createDocument("halloway", 5, cells);
            expect(next.digest).to.equal(rebuilt.digest);
            const [after, parsed] = [getTableFromPrevious(base, next), parseTable(rebuilt)];
            expect(after._tag).to.equal(parsed._tag);
            if (either.isRight(after) && either.isRight(parsed)) {
                expect([...after.right.routes].sort()).to.deep.equal([...parsed.right.routes].sort());
                expect([...after.right.services].sort()).to.deep.equal([...parsed.right.services].sort());
            }
        }), { numRuns: 500 });
    });
});
