/** Addresses of cells and the rows that they belong to. */
import type { CellAddress } from "oleandergap-types";

/** Names the row that a cell belongs to: the first two parts of its address, for example `services/grant-filer`. */
export type RowKey = string;

/** First part of the addresses of service rows. */
export const SERVICES_SHEET = "services";
/** First part of the addresses of limits. */
export const LIMITS_SHEET = "limits";
/** First part of the addresses of zones. */
export const ZONES_SHEET = "zones";

/** First part of the addresses of routes. */
export const ROUTES_SHEET = "routes";

/** The row that a cell belongs to. */
export const getRowKey = (cell: CellAddress): RowKey => {
    const end = cell.indexOf("/", cell.indexOf("/") + 1);
    return end === -1 ? cell : cell.slice(0, end);
};

/** The parts of a row key, for example `services` and `grant-filer`. */
export interface RowName {
    readonly sheet: string;
    readonly name: string;
}

/** The sheet and the name that a row key is made of. */
export const splitRowKey = (row: RowKey): RowName => {
    const slash = row.indexOf("/");
    return { sheet: row.slice(0, slash), name: row.slice(slash + 1) };
};
