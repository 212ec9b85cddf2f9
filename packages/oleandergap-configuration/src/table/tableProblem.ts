/** Problems of an invalid table, with the cells to correct. */
import type { CellAddress, CellValue, ServiceName, ZoneName } from "oleandergap-types";

/** One problem of a table. Operators receive all problems of a table together. */
export type TableProblem =
    /** The sheet or column does not exist. */
    | { readonly kind: "UnknownCell"; readonly cell: CellAddress }
    | {
        readonly kind: "BadValue";
        readonly cell: CellAddress;
        readonly found: CellValue;
        readonly allowed: string;
    }
    /** The name of the row is not allowed; `cell` is the address of the row. */
    | { readonly kind: "BadName"; readonly cell: CellAddress; readonly name: string; readonly allowed: string }
    /** The row has other cells but not this one. */
    | { readonly kind: "MissingCell"; readonly cell: CellAddress }
    /** The cell refers to a limit that this version does not contain. */
    | { readonly kind: "UnknownLimit"; readonly cell: CellAddress; readonly limit: string }
    /** The cell sets the weight of an availability zone that this version does not contain. */
    | { readonly kind: "UnknownZone"; readonly cell: CellAddress; readonly zone: ZoneName }
    /** The cell sends requests to a service that this version does not contain. */
    | { readonly kind: "UnknownService"; readonly cell: CellAddress; readonly service: ServiceName }
    /** The route has no service; `cell` is the address of the row. */
    | { readonly kind: "NoService"; readonly cell: CellAddress }
    /** Two routes have the same host and prefix; `cell` is the address of the second one. */
    | { readonly kind: "DoubledRoute"; readonly cell: CellAddress; readonly other: CellAddress }
    /** The cell of a key is not a digest with the value 1. `cell` does not name it, since it may contain the key. */
    | { readonly kind: "BadKey"; readonly cell: CellAddress }
    /** Two customers have the same key; `other` is the address of the other customer. */
    | { readonly kind: "DoubledKey"; readonly cell: CellAddress; readonly other: CellAddress }
    | { readonly kind: "TooManyCells"; readonly count: number; readonly maximum: number };

const KNOWN_CELLS =
    "services/SERVICE/limit, services/SERVICE/idempotency, services/SERVICE/placement, services/SERVICE/weights/ZONE, " +
    "limits/LIMIT/concurrency, limits/LIMIT/queue, limits/LIMIT/timeoutMs, limits/LIMIT/retryRatio, " +
    "routes/ROUTE/host, routes/ROUTE/prefix, routes/ROUTE/kind, routes/ROUTE/maxAttempts, routes/ROUTE/timeoutMs, " +
    "routes/ROUTE/targetLatencyMs, routes/ROUTE/priority, routes/ROUTE/access, routes/ROUTE/services/SERVICE, " +
    "customers/CUSTOMER/priority, customers/CUSTOMER/ratePerSecond, customers/CUSTOMER/burst, customers/CUSTOMER/keys/DIGEST " +
    "and zones/ZONE/enabled";

/** Formats a problem as a clause for operators: the cell, the problem and the allowed values. */
export const formatTableProblem = (problem: TableProblem): string => {
    switch (problem.kind) {
        case "UnknownCell":
            return `${problem.cell} is not a cell of the table, which has ${KNOWN_CELLS}`;
        case "BadValue":
            return `${problem.cell} holds ${JSON.stringify(problem.found)}; allowed: ${problem.allowed}`;
        case "BadName":
            return `${problem.cell} has the name ${JSON.stringify(problem.name)}; ${problem.allowed}`;
        case "MissingCell":
            return `${problem.cell} is missing; set it, or empty all other cells of its row`;
        case "UnknownLimit":
            return `${problem.cell} names the limit ${problem.limit}, which does not exist; set limits/${problem.limit} first`;
        case "UnknownZone":
            return `${problem.cell} weights the zone ${problem.zone}, which does not exist; set zones/${problem.zone}/enabled`;
        case "UnknownService":
            return `${problem.cell} names the service ${problem.service}, which does not exist; set services/${problem.service} first`;
        case "NoService":
            return `${problem.cell} has no service; set ${problem.cell}/services/SERVICE to a weight`;
        case "DoubledRoute":
            return `${problem.cell} has the host and prefix of ${problem.other}; change one of them`;
        case "BadKey":
            return `${problem.cell} has a cell that is not the SHA-256 digest of a key in hexadecimal with the value 1`;
        case "DoubledKey":
            return `${problem.cell} is also a key of ${problem.other}; remove one of them`;
        case "TooManyCells":
            return `the table has ${problem.count} cells, and at most ${problem.maximum} are allowed`;
    }
};
