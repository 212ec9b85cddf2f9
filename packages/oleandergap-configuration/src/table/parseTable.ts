/**
 * Parses a document into the typed table that is used to serve requests. All references between rows are checked: a row
 * may only refer to rows of the same version, so that no route refers to a service that the node does not have.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type {
    Limit,
    PartnerDocument,
    PartnerTable,
    Route,
    ServiceRow,
    ZoneName,
} from "oleandergap-types";
import { CUSTOMERS_SHEET, LIMITS_SHEET, ROUTES_SHEET, SERVICES_SHEET, splitRowKey, ZONES_SHEET } from "../version/cellAddress.js";
import { getDocumentHead, getRowIndex } from "../version/document.js";
import type { RowCells, RowIndex } from "../version/rowIndex.js";
import { createCustomerDirectory, parseCustomerRow, type ParsedCustomer } from "./customers.js";
import { findDuplicateRoutes, parseRoute } from "./routes.js";
import { parseLimitRow, parseServiceRow, parseZoneRow, type RowResult } from "./rows.js";
import type { TableProblem } from "./tableProblem.js";

interface RawRow {
    readonly name: string;
    readonly cells: RowCells;
}

interface Sheets {
    readonly services: readonly RawRow[];
    readonly limits: readonly RawRow[];
    readonly zones: readonly RawRow[];
    readonly routes: readonly RawRow[];
    readonly customers: readonly RawRow[];
    readonly problems: readonly TableProblem[];
}

const groupRowsBySheet = ({ rows, rowKeys }: RowIndex): Sheets => {
    const sheets: Record<string, RawRow[]> = {
        [SERVICES_SHEET]: [],
        [LIMITS_SHEET]: [],
        [ZONES_SHEET]: [],
        [ROUTES_SHEET]: [],
        [CUSTOMERS_SHEET]: [],
    };
    const problems: TableProblem[] = [];
    for (const row of rowKeys) {
        const { sheet, name } = splitRowKey(row);
        const cells: RowCells = rows.get(row)?.cells ?? new Map();
        if (Object.hasOwn(sheets, sheet)) {
            sheets[sheet]?.push({ name, cells });
        }
        else {
            problems.push(...[...cells.keys()].map((cell): TableProblem => ({ kind: "UnknownCell", cell })));
        }
    }
    return {
        services: sheets[SERVICES_SHEET] ?? [],
        limits: sheets[LIMITS_SHEET] ?? [],
        zones: sheets[ZONES_SHEET] ?? [],
        routes: sheets[ROUTES_SHEET] ?? [],
        customers: sheets[CUSTOMERS_SHEET] ?? [],
        problems,
    };
};

/** Valid rows by name, and the problems of the invalid rows. */
interface ParsedRows<Row> {
    readonly rows: ReadonlyMap<string, Row>;
    readonly problems: readonly TableProblem[];
}

const parseRows = <Row>(
    rawRows: readonly RawRow[],
    parse: (name: string, cells: RowCells) => RowResult<Row>,
): ParsedRows<Row> => {
    const rows = new Map<string, Row>();
    const problems: TableProblem[] = [];
    for (const { name, cells } of rawRows) {
        const result = parse(name, cells);
        if (either.isRight(result)) {
            rows.set(name, result.right);
        }
        else {
            problems.push(...result.left);
        }
    }
    return { rows, problems };
};

/** Parses a document. Returns all problems together, so that an operator can correct them in one change. */
export const parseTable = (document: PartnerDocument): Either<readonly TableProblem[], PartnerTable> => {
    const index = getRowIndex(document);
    const sheets = groupRowsBySheet(index);
    const zones = parseRows<ZoneName>(sheets.zones, parseZoneRow);
    const limits = parseRows<Limit>(sheets.limits, parseLimitRow);
    const references = { findLimit: (name: string) => limits.rows.get(name), zones: new Set(zones.rows.keys()) };
    const services = parseRows<ServiceRow>(sheets.services, (name, cells) =>
        parseServiceRow(name, cells, references));
    const serviceNames = new Set(sheets.services.map((row) => row.name));
    const routes = parseRows<Route>(sheets.routes, (name, cells) =>
        parseRoute(name, cells, (service) => serviceNames.has(service)));
    const customers = parseRows<ParsedCustomer>(sheets.customers, parseCustomerRow);
    const directory = createCustomerDirectory(customers.rows);
    const problems = [
        ...sheets.problems,
        ...zones.problems,
        ...limits.problems,
        ...services.problems,
        ...routes.problems,
        ...findDuplicateRoutes(routes.rows),
        ...customers.problems,
        ...either.isLeft(directory) ? directory.left : [],
    ];
    return either.isLeft(directory) || problems.length > 0 ?
        either.left(problems) :
        either.right({
            head: getDocumentHead(document),
            services: services.rows,
            zones: references.zones,
            routes: routes.rows,
            ...directory.right === undefined ? {} : { customers: directory.right },
        });
};
