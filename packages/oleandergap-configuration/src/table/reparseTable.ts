/** Checks a version that differs little from the one in force, at the cost of the rows that changed. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type {
    Limit,
    PartnerDocument,
    PartnerTable,
    ServiceName,
    ServiceRow,
} from "oleandergap-types";
import { LIMITS_SHEET, SERVICES_SHEET, splitRowKey, type RowKey } from "../version/cellAddress.js";
import { getDocumentHead, getRowIndex } from "../version/document.js";
import type { RowCells, RowIndex } from "../version/rowIndex.js";
import { checkSize, parseTable } from "./parseTable.js";
import { parseLimitRow, parseServiceRow, type RowReferences, type RowResult } from "./rows.js";
import type { TableProblem } from "./tableProblem.js";

/** With a larger share of its rows changed, a table is parsed anew: that is as fast and simpler. */
const MAX_CHANGED_SHARE = 0.25;

/** Names of the changed rows, by sheet. */
interface ChangedNames {
    readonly limits: ReadonlySet<string>;
    readonly services: ReadonlySet<ServiceName>;
    /** Zones or cells of no known sheet changed. */
    readonly hasOthers: boolean;
}

const groupNames = (changed: readonly RowKey[]): ChangedNames => {
    const names = changed.map(splitRowKey);
    const namesIn = (wanted: string): ReadonlySet<string> =>
        new Set(names.filter(({ sheet }) => sheet === wanted).map(({ name }) => name));
    const limits = namesIn(LIMITS_SHEET);
    const services = namesIn(SERVICES_SHEET);
    return { limits, services, hasOthers: limits.size + services.size < new Set(changed).size };
};

type LimitResult = RowResult<Limit | undefined>;

/** Reads limits when they are asked for, each once. */
const createLimitReader = (index: RowIndex): (name: string) => LimitResult => {
    const known = new Map<string, LimitResult>();
    const read = (name: string): LimitResult => {
        const row = index.rows.get(`${LIMITS_SHEET}/${name}`);
        return row === undefined ? either.right(undefined) : parseLimitRow(name, row.cells);
    };
    return (name) => {
        const result = known.get(name) ?? read(name);
        known.set(name, result);
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

/**
 * Like {@link parseTable}, for a document that differs from the one behind `previous` in at most the rows `changed`.
 * Rows that neither changed nor refer to a changed limit are taken over, since the same cells give the same row.
 */
export const reparseTable = (
    previous: PartnerTable,
    document: PartnerDocument,
    changed: readonly RowKey[],
): Either<readonly TableProblem[], PartnerTable> => {
    const index = getRowIndex(document);
    const names = groupNames(changed);
    const isLarge = changed.length > MAX_CHANGED_SHARE * index.rows.size;
    // A route may name a service that has just gone; routes are few, so they are then checked from the start.
    const mayOpenRoutes = names.services.size > 0 && previous.routes.size > 0;
    if (isLarge || names.hasOthers || mayOpenRoutes || checkSize(index).length > 0) {
        return parseTable(document);
    }
    const readLimit = createLimitReader(index);
    const references: RowReferences = {
        findLimit: (name) => {
            const result = readLimit(name);
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
    const problems = [...[...names.limits].map(readLimit).flatMap(getProblems), ...getProblems(services)];
    return either.isLeft(services) || problems.length > 0 ?
        either.left(problems) :
        either.right({ ...previous, head: getDocumentHead(document), services: services.right });
};
