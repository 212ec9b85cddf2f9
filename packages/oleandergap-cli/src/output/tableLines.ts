/**
 * Formats the table as a grid with one line for each service and one column for the weight of each availability zone.
 */
import type { CellAddress, Cells, CellValue } from "oleandergap-types";
import { formatCell } from "../notation/cellNotation.js";
import { formatValue } from "../notation/valueNotation.js";
import { formatColumns } from "./formatColumns.js";

const LIMIT_COLUMNS = ["concurrency", "queue", "timeoutMs", "retryRatio"];
const EMPTY_CELL_PLACEHOLDER = "-";

const splitAddress = (cell: CellAddress): readonly string[] => cell.split("/");

const listNames = (cells: Cells, sheet: string): readonly string[] => {
    const names = Object.keys(cells).map(splitAddress).filter(([first]) => first === sheet).map(([, name]) => name ?? "");
    return [...new Set(names)].sort();
};

const formatCellValue = (cells: Cells, cell: CellAddress): string => {
    const value: CellValue | undefined = Object.hasOwn(cells, cell) ? cells[cell] : undefined;
    return value === undefined ? EMPTY_CELL_PLACEHOLDER : formatValue(value);
};

const listWeightedZones = (cells: Cells): readonly string[] => {
    const weighted = Object.keys(cells).map(splitAddress).flatMap(([, , column, zone]) =>
        column === "weights" && zone !== undefined ? [zone] : []);
    return [...new Set([...listNames(cells, "zones"), ...weighted])].sort();
};

/** Returns the lines of the services with limit, idempotency and weights, followed by the lines of the limits. */
export const formatTableGrid = (cells: Cells): readonly string[] => {
    const zones = listWeightedZones(cells);
    const services = listNames(cells, "services").map((service) => [
        service,
        formatCellValue(cells, `services/${service}/limit`),
        formatCellValue(cells, `services/${service}/idempotency`),
        ...zones.map((zone) => formatCellValue(cells, `services/${service}/weights/${zone}`)),
    ]);
    const limits = listNames(cells, "limits").map((limit) => [
        limit,
        ...LIMIT_COLUMNS.map((column) => formatCellValue(cells, `limits/${limit}/${column}`)),
    ]);
    return [
        ...formatColumns(["service", "limit", "idempotency", ...zones], services),
        "",
        ...formatColumns(["limit", ...LIMIT_COLUMNS], limits),
    ];
};

/** Returns one line for each cell in the notation that the command `set` accepts. */
export const formatCellList = (cells: Cells): readonly string[] =>
    Object.entries(cells)
        .map(([cell, value]) => `${formatCell(cell)}=${formatValue(value)}`)
        .sort();
