/**
 * Parses customers and their keys. A key may belong to only one customer of a version, because otherwise the customer
 * of a request would not be defined.
 */
import * as either from "fp-ts/lib/Either.js";
import {
    customerCellsSchema,
    customerNameSchema,
    keyDigestSchema,
    type CellAddress,
    type CellValue,
    type Customer,
    type CustomerDirectory,
    type CustomerName,
    type KeyDigest,
} from "oleandergap-types";
import { CUSTOMERS_SHEET } from "../version/cellAddress.js";
import type { RowCells, RowIndex } from "../version/rowIndex.js";
import { createBadValueProblem, formatFirstIssue, toRowResult, type RowResult } from "./rows.js";
import type { TableProblem } from "./tableProblem.js";

const KEYS_COLUMN = "keys/";
/** The only valid value of a key's cell; a key is removed by emptying the cell. */
const KEY_ENABLED = 1;

type CustomerColumn = keyof typeof customerCellsSchema.shape;

const CUSTOMER_COLUMNS = customerCellsSchema.keyof().options;

const isCustomerColumn = (column: string): column is CustomerColumn =>
    CUSTOMER_COLUMNS.some((customerColumn) => customerColumn === column);

/** A customer together with the digests of its keys. */
export interface ParsedCustomer {
    readonly customer: Customer;
    readonly keyDigests: readonly KeyDigest[];
}

/** Customers of a version before their keys are compared with each other. */
export type ParsedCustomers = ReadonlyMap<CustomerName, ParsedCustomer>;

const checkCustomerName = (row: string, name: string): readonly TableProblem[] => {
    const result = customerNameSchema.safeParse(name);
    return result.success ? [] : [{ kind: "BadName", cell: row, name, allowed: formatFirstIssue(result.error) }];
};

const isValidKeyCell = (digest: string, value: CellValue): boolean =>
    value === KEY_ENABLED && keyDigestSchema.safeParse(digest).success;

const checkCell = (row: string, cell: CellAddress, value: CellValue): readonly TableProblem[] => {
    const column = cell.slice(row.length + 1);
    if (column.startsWith(KEYS_COLUMN)) {
        // The address may contain a key in the clear by mistake, so the problem does not name it.
        return isValidKeyCell(column.slice(KEYS_COLUMN.length), value) ? [] : [{ kind: "BadKey", cell: `${row}/keys` }];
    }
    if (!isCustomerColumn(column)) {
        return [{ kind: "UnknownCell", cell }];
    }
    const result = customerCellsSchema.shape[column].safeParse(value);
    return result.success ? [] : [createBadValueProblem(cell, value, formatFirstIssue(result.error))];
};

const readNumber = (cells: RowCells, cell: CellAddress): number => {
    const value = cells.get(cell);
    return typeof value === "number" ? value : 0;
};

/**
 * Parses a customer. All of its cells are optional: without a priority it has the most urgent one, and without a rate
 * it has no quota, so that a customer with nothing but keys is served like a request in a table without customers.
 */
export const parseCustomerRow = (name: string, cells: RowCells): RowResult<ParsedCustomer> => {
    const row = `${CUSTOMERS_SHEET}/${name}`;
    const cellProblems = [...cells].flatMap(([cell, value]) => checkCell(row, cell, value));
    const problems = [...checkCustomerName(row, name), ...cellProblems];
    return toRowResult(problems, () => {
        const ratePerSecond = readNumber(cells, `${row}/ratePerSecond`);
        const keysPrefix = `${row}/${KEYS_COLUMN}`;
        return {
            customer: {
                name,
                priority: readNumber(cells, `${row}/priority`),
                quota: ratePerSecond === 0 ? undefined : { ratePerSecond, burst: readNumber(cells, `${row}/burst`) },
            },
            keyDigests: [...cells.keys()]
                .filter((cell) => cell.startsWith(keysPrefix))
                .map((cell) => cell.slice(keysPrefix.length)),
        };
    });
};

const addCustomers = (
    byName: Map<CustomerName, Customer>,
    byKeyDigest: Map<KeyDigest, Customer>,
    added: ParsedCustomers,
): readonly TableProblem[] => {
    const problems: TableProblem[] = [];
    for (const [name, { customer, keyDigests }] of added) {
        byName.set(name, customer);
        for (const digest of keyDigests) {
            const other = byKeyDigest.get(digest);
            if (other === undefined) {
                byKeyDigest.set(digest, customer);
                continue;
            }
            problems.push({
                kind: "DoubledKey",
                cell: `${CUSTOMERS_SHEET}/${name}/${KEYS_COLUMN}${digest}`,
                other: `${CUSTOMERS_SHEET}/${other.name}`,
            });
        }
    }
    return problems;
};

/** Builds the directory of a version; undefined if it has no customers. */
export const createCustomerDirectory = (customers: ParsedCustomers): RowResult<CustomerDirectory | undefined> => {
    const byName = new Map<CustomerName, Customer>();
    const byKeyDigest = new Map<KeyDigest, Customer>();
    const problems = addCustomers(byName, byKeyDigest, customers);
    return toRowResult(problems, () => byName.size === 0 ? undefined : { byName, byKeyDigest });
};

const parseChangedCustomers = (changed: ReadonlySet<string>, index: RowIndex): RowResult<ParsedCustomers> => {
    const customers = new Map<CustomerName, ParsedCustomer>();
    const problems: TableProblem[] = [];
    for (const name of changed) {
        const row = index.rows.get(`${CUSTOMERS_SHEET}/${name}`);
        const result = row === undefined ? undefined : parseCustomerRow(name, row.cells);
        if (result !== undefined && either.isRight(result)) {
            customers.set(name, result.right);
        }
        problems.push(...result !== undefined && either.isLeft(result) ? result.left : []);
    }
    return problems.length > 0 ? either.left(problems) : either.right(customers);
};

/** Derives the directory from the directory of the previous version. Unchanged customers remain the same objects. */
export const updateCustomerDirectory = (
    previous: CustomerDirectory | undefined,
    changed: ReadonlySet<string>,
    index: RowIndex,
): RowResult<CustomerDirectory | undefined> => {
    if (changed.size === 0) {
        return either.right(previous);
    }
    const parsed = parseChangedCustomers(changed, index);
    if (either.isLeft(parsed)) {
        return parsed;
    }
    const isUnchanged = ({ name }: Customer): boolean => !changed.has(name);
    const byName = new Map([...previous?.byName ?? []].filter(([, customer]) => isUnchanged(customer)));
    const byKeyDigest = new Map([...previous?.byKeyDigest ?? []].filter(([, customer]) => isUnchanged(customer)));
    const problems = addCustomers(byName, byKeyDigest, parsed.right);
    return toRowResult(problems, () => byName.size === 0 ? undefined : { byName, byKeyDigest });
};
