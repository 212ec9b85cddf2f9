/** Addresses of cells and keys of the rows that contain them. */
import type { CellAddress } from "oleandergap-types";

/** Key of a row: the first two parts of the addresses of its cells, for example `services/grant-filer`. */
export type RowKey = string;

/** First part of the addresses of services. */
export const SERVICES_SHEET = "services";
/** First part of the addresses of limits. */
export const LIMITS_SHEET = "limits";
/** First part of the addresses of zones. */
export const ZONES_SHEET = "zones";

/** First part of the addresses of routes. */
export const ROUTES_SHEET = "routes";
/** First part of the addresses of customers. */
export const CUSTOMERS_SHEET = "customers";

/** Returns the key of the row that contains a cell. */
export const getRowKey = (cell: CellAddress): RowKey => {
    const end = cell.indexOf("/", cell.indexOf("/") + 1);
    return end === -1 ? cell : cell.slice(0, end);
};

/** Parts of a row key, for example `services` and `grant-filer`. */
export interface RowName {
    readonly sheet: string;
    readonly name: string;
}

/** Splits a row key into the sheet and the name of the row. */
export const splitRowKey = (row: RowKey): RowName => {
    const slash = row.indexOf("/");
    return { sheet: row.slice(0, slash), name: row.slice(slash + 1) };
};
