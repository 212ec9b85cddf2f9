/** Reads routes. A route may only name services of its own version, so that no request is sent to what nobody holds. */
import {
    routeCellsSchema,
    type CellAddress,
    type CellValue,
    type Route,
    type RouteShare,
    type ServiceName,
} from "oleandergap-types";
import { ROUTES_SHEET } from "../version/cellAddress.js";
import type { RowCells } from "../version/rowIndex.js";
import { badValue, checkName, formatIssue, isWeight, toResult, type RowResult } from "./rows.js";
import type { TableProblem } from "./tableProblem.js";

const SERVICES_COLUMN = "services/";

type RouteColumn = keyof typeof routeCellsSchema.shape;

const ROUTE_COLUMNS = routeCellsSchema.keyof().options;

const isRouteColumn = (column: string): column is RouteColumn => ROUTE_COLUMNS.some((known) => known === column);

const checkShare = (
    cell: CellAddress,
    service: ServiceName,
    value: CellValue,
    hasService: (service: ServiceName) => boolean,
): readonly TableProblem[] => {
    if (!isWeight(value) || value === 0) {
        return [badValue(cell, value, "a whole number from 1 to 1000")];
    }
    return hasService(service) ? [] : [{ kind: "UnknownService", cell, service }];
};

const checkColumn = (cell: CellAddress, column: string, value: CellValue): readonly TableProblem[] => {
    if (!isRouteColumn(column)) {
        return [{ kind: "UnknownCell", cell }];
    }
    const result = routeCellsSchema.shape[column].safeParse(value);
    return result.success ? [] : [badValue(cell, value, formatIssue(result.error))];
};

const listShares = (prefix: string, cells: RowCells): readonly RouteShare[] =>
    [...cells].flatMap(([cell, weight]) => {
        const column = cell.slice(prefix.length);
        return column.startsWith(SERVICES_COLUMN) && typeof weight === "number" ?
            [{ service: column.slice(SERVICES_COLUMN.length), weight }] :
            [];
    });

/** Needs all cells of a route and at least one service; `hasService` tells whether the version holds a service. */
export const parseRoute = (
    name: string,
    cells: RowCells,
    hasService: (service: ServiceName) => boolean,
): RowResult<Route> => {
    const row = `${ROUTES_SHEET}/${name}`;
    const prefix = `${row}/`;
    const wrong = [...cells].flatMap(([cell, value]) => {
        const column = cell.slice(prefix.length);
        return column.startsWith(SERVICES_COLUMN) ?
            checkShare(cell, column.slice(SERVICES_COLUMN.length), value, hasService) :
            checkColumn(cell, column, value);
    });
    const missing = ROUTE_COLUMNS
        .map((column) => `${prefix}${column}`)
        .filter((cell) => !cells.has(cell))
        .map((cell): TableProblem => ({ kind: "MissingCell", cell }));
    const shares = listShares(prefix, cells);
    const unserved: readonly TableProblem[] = shares.length === 0 ? [{ kind: "NoService", cell: row }] : [];
    const problems = [...checkName(row, name), ...wrong, ...missing, ...unserved];
    return toResult(problems, () => {
        const values = ROUTE_COLUMNS.map((column) => [column, cells.get(`${prefix}${column}`)]);
        return { name, ...routeCellsSchema.parse(Object.fromEntries(values)), shares };
    });
};

/** Two routes of the same host and prefix would make the choice between them a matter of chance. */
export const findDoubledRoutes = (routes: ReadonlyMap<string, Route>): readonly TableProblem[] => {
    const seen = new Map<string, string>();
    return [...routes.values()].flatMap(({ name, host, prefix }): readonly TableProblem[] => {
        const key = `${host} ${prefix}`;
        const other = seen.get(key);
        seen.set(key, name);
        return other === undefined ?
            [] :
            [{ kind: "DoubledRoute", cell: `${ROUTES_SHEET}/${name}`, other: `${ROUTES_SHEET}/${other}` }];
    });
};
