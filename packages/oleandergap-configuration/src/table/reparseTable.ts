/** Validates a version that differs little from a valid version, at the cost of the changed rows. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type {
    Limit,
    PartnerDocument,
    PartnerTable,
    Route,
    ServiceName,
    ServiceRow,
} from "oleandergap-types";
import { CUSTOMERS_SHEET, LIMITS_SHEET, ROUTES_SHEET, SERVICES_SHEET, splitRowKey, type RowKey } from "../version/cellAddress.js";
import { getDocumentHead, getRowIndex } from "../version/document.js";
import type { RowCells, RowIndex } from "../version/rowIndex.js";
import { updateCustomerDirectory } from "./customers.js";
import { parseTable } from "./parseTable.js";
import { findDuplicateRoutes, parseRoute } from "./routes.js";
import { parseLimitRow, parseServiceRow, type RowReferences, type RowResult } from "./rows.js";
import type { TableProblem } from "./tableProblem.js";

/**
 * Maximum share of changed rows for an incremental parse. Above this share, parsing the entire table is as fast and
 * simpler.
 */
const MAX_CHANGED_SHARE = 0.25;

/** Names of the changed rows, by sheet. */
interface ChangedNames {
    readonly limits: ReadonlySet<string>;
    readonly services: ReadonlySet<ServiceName>;
    readonly routes: ReadonlySet<string>;
    readonly customers: ReadonlySet<string>;
    /** Whether zones or cells of unknown sheets changed. */
    readonly hasOtherChanges: boolean;
}

const groupChangedNames = (changed: readonly RowKey[]): ChangedNames => {
    const names = changed.map(splitRowKey);
    const getNamesOfSheet = (sheetName: string): ReadonlySet<string> =>
        new Set(names.filter(({ sheet }) => sheet === sheetName).map(({ name }) => name));
    const limits = getNamesOfSheet(LIMITS_SHEET);
    const services = getNamesOfSheet(SERVICES_SHEET);
    const routes = getNamesOfSheet(ROUTES_SHEET);
    const customers = getNamesOfSheet(CUSTOMERS_SHEET);
    const knownCount = limits.size + services.size + routes.size + customers.size;
    return { limits, services, routes, customers, hasOtherChanges: knownCount < new Set(changed).size };
};

type LimitResult = RowResult<Limit | undefined>;

/** Creates a function that parses limits on demand and caches the results. */
const createLimitParser = (index: RowIndex): (name: string) => LimitResult => {
    const parsedLimits = new Map<string, LimitResult>();
    const parseLimit = (name: string): LimitResult => {
        const row = index.rows.get(`${LIMITS_SHEET}/${name}`);
        return row === undefined ? either.right(undefined) : parseLimitRow(name, row.cells);
    };
    return (name) => {
        const result = parsedLimits.get(name) ?? parseLimit(name);
        parsedLimits.set(name, result);
        return result;
    };
};

const getProblems = (result: RowResult<unknown>): readonly TableProblem[] => either.isLeft(result) ? result.left : [];

const findAffectedServices = (previous: PartnerTable, changed: ChangedNames): ReadonlySet<ServiceName> => {
    const affected = new Set(changed.services);
    for (const [service, row] of previous.services) {
        if (changed.limits.has(row.limitName)) {
            affected.add(service);
        }
    }
    return affected;
};

const reparseServices = (
    previous: PartnerTable,
    affected: ReadonlySet<ServiceName>,
    parse: (service: ServiceName, cells: RowCells) => RowResult<ServiceRow>,
    index: RowIndex,
): RowResult<ReadonlyMap<ServiceName, ServiceRow>> => {
    const services = new Map(previous.services);
    const problems: TableProblem[] = [];
    for (const service of affected) {
        services.delete(service);
        const row = index.rows.get(`${SERVICES_SHEET}/${service}`);
        const result = row === undefined ? undefined : parse(service, row.cells);
        if (result !== undefined && either.isRight(result)) {
            services.set(service, result.right);
        }
        problems.push(...result === undefined ? [] : getProblems(result));
    }
    return problems.length > 0 ? either.left(problems) : either.right(services);
};

const reparseRoutes = (
    previous: PartnerTable,
    changed: ReadonlySet<string>,
    index: RowIndex,
): RowResult<ReadonlyMap<string, Route>> => {
    if (changed.size === 0) {
        return either.right(previous.routes);
    }
    const routes = new Map(previous.routes);
    const problems: TableProblem[] = [];
    for (const name of changed) {
        routes.delete(name);
        const row = index.rows.get(`${ROUTES_SHEET}/${name}`);
        const hasService = (service: ServiceName): boolean => index.rows.has(`${SERVICES_SHEET}/${service}`);
        const result = row === undefined ? undefined : parseRoute(name, row.cells, hasService);
        if (result !== undefined && either.isRight(result)) {
            routes.set(name, result.right);
        }
        problems.push(...result === undefined ? [] : getProblems(result));
    }
    problems.push(...findDuplicateRoutes(routes));
    return problems.length > 0 ? either.left(problems) : either.right(routes);
};

/**
 * Parses a document that differs from the document of `previous` at most in the rows `changed`. Returns the same result
 * as {@link parseTable}. Rows that did not change and do not refer to a changed limit are copied, because equal cells
 * produce equal rows.
 */
export const reparseTable = (
    previous: PartnerTable,
    document: PartnerDocument,
    changed: readonly RowKey[],
): Either<readonly TableProblem[], PartnerTable> => {
    const index = getRowIndex(document);
    const names = groupChangedNames(changed);
    const hasManyChanges = changed.length > MAX_CHANGED_SHARE * index.rows.size;
    // An unchanged route may refer to a service that was removed.
    const hasRemovedService = [...names.services].some((name) => !index.rows.has(`${SERVICES_SHEET}/${name}`));
    if (hasManyChanges || names.hasOtherChanges || hasRemovedService) {
        return parseTable(document);
    }
    const getLimitResult = createLimitParser(index);
    const references: RowReferences = {
        findLimit: (name) => {
            const result = getLimitResult(name);
            return either.isRight(result) ? result.right : undefined;
        },
        zones: previous.zones,
    };
    const services = reparseServices(
        previous,
        findAffectedServices(previous, names),
        (service, cells) => parseServiceRow(service, cells, references),
        index,
    );
    const routes = reparseRoutes(previous, names.routes, index);
    const customers = updateCustomerDirectory(previous.customers, names.customers, index);
    const problems = [
        ...[...names.limits].map(getLimitResult).flatMap(getProblems),
        ...getProblems(services),
        ...getProblems(routes),
        ...getProblems(customers),
    ];
    return either.isLeft(services) || either.isLeft(routes) || either.isLeft(customers) || problems.length > 0 ?
        either.left(problems) :
        either.right({
            head: getDocumentHead(document),
            zones: previous.zones,
            services: services.right,
            routes: routes.right,
            ...customers.right === undefined ? {} : { customers: customers.right },
        });
};
