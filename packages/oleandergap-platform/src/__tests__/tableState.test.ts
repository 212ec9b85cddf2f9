import { expect } from "chai";
import fastCheck from "fast-check";
import {
    DEFAULT_STORE_ERA,
    type RowCondition,
    type RowVersion,
    type TableOperation,
    type TableRow,
    type TableScan,
} from "oleandergap-types";
import { createTableState } from "../tableState.js";

const createRowVersion = (version: number): RowVersion => ({ era: DEFAULT_STORE_ERA, version });

const keys = ["a/1", "a/2", "a/3", "ab/1", "b/1"];

const conditionArbitrary: fastCheck.Arbitrary<RowCondition> = fastCheck.oneof(
    fastCheck.constant<RowCondition>({ kind: "Any" }),
    fastCheck.constant<RowCondition>({ kind: "Absent" }),
    fastCheck.integer({ min: 1, max: 3 }).map((version): RowCondition =>
        ({ kind: "VersionIs", version: createRowVersion(version) })),
);

const operationArbitrary: fastCheck.Arbitrary<TableOperation> = fastCheck
    .record({
        kind: fastCheck.constantFrom("Check" as const, "Put" as const, "Delete" as const),
        key: fastCheck.constantFrom(...keys),
        condition: conditionArbitrary,
        value: fastCheck.integer(),
    })
    .map(({ kind, key, condition, value }) =>
        kind === "Put" ? { kind, key, condition, value } : { kind, key, condition });

const transactionArbitrary = fastCheck.uniqueArray(operationArbitrary, {
    selector: (operation) => operation.key,
    minLength: 1,
    maxLength: 3,
});

const scanArbitrary: fastCheck.Arbitrary<TableScan> = fastCheck
    .record({
        prefix: fastCheck.constantFrom("a", "a/", "ab/", "c/"),
        after: fastCheck.option(fastCheck.constantFrom("a/0", ...keys), { nil: undefined }),
        limit: fastCheck.integer({ min: 1, max: 4 }),
        descending: fastCheck.boolean(),
    })
    .map(({ after, ...rest }) => after === undefined ? rest : { ...rest, after });

interface ReferenceTable {
    /** Applies a transaction and returns the keys whose condition was not met. */
    readonly transact: (operations: readonly TableOperation[]) => readonly string[];
    readonly scan: (scan: TableScan) => readonly TableRow[];
}

/** Keeps the rows in a plain list that is filtered for each request. A version is the number of writes to the key. */
const createReferenceTable = (): ReferenceTable => {
    let rows: readonly TableRow[] = [];
    const writtenKeys: string[] = [];
    const find = (key: string): TableRow | undefined => rows.find((row) => row.key === key);
    const isMet = ({ key, condition }: TableOperation): boolean => {
        const version = find(key)?.version.version;
        return condition.kind === "Any" || (condition.kind === "Absent" ? version === undefined :
            version === condition.version.version);
    };
    return {
        transact: (operations: readonly TableOperation[]): readonly string[] => {
            const failed = operations.filter((operation) => !isMet(operation)).map((operation) => operation.key);
            for (const operation of failed.length > 0 ? [] : operations) {
                rows = operation.kind === "Check" ? rows : rows.filter((row) => row.key !== operation.key);
                if (operation.kind === "Put") {
                    writtenKeys.push(operation.key);
                    const version = writtenKeys.filter((key) => key === operation.key).length;
                    rows = [
                        ...rows,
                        { key: operation.key, version: createRowVersion(version), value: operation.value },
                    ];
                }
            }
            return failed;
        },
        scan: ({ prefix, after, limit, descending = false }: TableScan): readonly TableRow[] => {
            const sign = descending ? -1 : 1;
            const compare = (left: string, right: string): number => sign * (left < right ? -1 : 1);
            return rows
                .filter((row) => row.key.startsWith(prefix))
                .filter((row) => after === undefined || (row.key !== after && compare(after, row.key) < 0))
                .sort((left, right) => compare(left.key, right.key))
                .slice(0, limit);
        },
    };
};

describe("createTableState", () => {
    it("matches a reference implementation on a plain list for transactions and scans", () => {
        fastCheck.assert(fastCheck.property(
            fastCheck.array(fastCheck.tuple(transactionArbitrary, scanArbitrary), { maxLength: 30 }),
            (steps) => {
                const table = createTableState();
                const referenceTable = createReferenceTable();
                for (const [operations, scan] of steps) {
                    const result = table.transact(operations);
                    const failed = referenceTable.transact(operations);
                    expect(result.kind === "ConditionFailed" ? result.keys : []).to.deep.equal(failed);
                    expect(table.scan(scan)).to.deep.equal(referenceTable.scan(scan));
                }
            },
        ));
    });

    // Failure: a delayed delete removes a row that its sender never read. Another process has deleted and recreated the
    // row in the meantime, and the versions of the new row start at 1 again, so the condition on the version matches.
    it("never reuses a version of a key that was deleted and created again", () => {
        const table = createTableState();
        const create: TableOperation = { kind: "Put", key: "a/1", condition: { kind: "Absent" }, value: 1 };
        table.transact([create]);
        const version = table.read(["a/1"])[0]?.version ?? createRowVersion(0);
        table.transact([{ kind: "Delete", key: "a/1", condition: { kind: "Any" } }]);
        table.transact([create]);
        const delayedDelete = table.transact([
            { kind: "Delete", key: "a/1", condition: { kind: "VersionIs", version } },
        ]);
        expect(delayedDelete).to.deep.equal({ kind: "ConditionFailed", keys: ["a/1"] });
        expect(table.read(["a/1"])).to.have.lengthOf(1);
    });

    it("reuses versions after a restore in a new era, and conditions of the old era do not match them", () => {
        const table = createTableState();
        const put = (value: number): TableOperation => ({ kind: "Put", key: "a/1", condition: { kind: "Any" }, value });
        table.transact([put(1)]);
        const copy = table.takeSnapshot();
        table.transact([put(2)]);
        const lostVersion = table.read(["a/1"])[0]?.version ?? createRowVersion(0);
        table.restore(copy);
        expect(table.read(["a/1"])).to.deep.equal([{ key: "a/1", version: createRowVersion(1), value: 1 }]);
        table.transact([put(3)]);
        expect(table.read(["a/1"])[0]?.version).to.deep.equal({ ...lostVersion, era: 1 });
        const lateDelete = table.transact([
            { kind: "Delete", key: "a/1", condition: { kind: "VersionIs", version: lostVersion } },
        ]);
        expect(lateDelete).to.deep.equal({ kind: "ConditionFailed", keys: ["a/1"] });
    });
});
