/** Reads single rows of the table and checks each of their cells. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import {
    idempotencyRuleSchema,
    limitSchema,
    MAX_WEIGHT,
    placementSchema,
    serviceNameSchema,
    type CellAddress,
    type CellValue,
    type IdempotencyRule,
    type Limit,
    type Placement,
    type ServiceName,
    type ServiceRow,
    type ZoneName,
} from "oleandergap-types";
import type { z } from "zod";
import { LIMITS_SHEET, SERVICES_SHEET, ZONES_SHEET } from "../version/cellAddress.js";
import type { RowCells } from "../version/rowIndex.js";
import type { TableProblem } from "./tableProblem.js";

/** The only value of a zone's cell; a zone is removed by emptying it. */
const ZONE_ENABLED = 1;
const DEFAULT_IDEMPOTENCY: IdempotencyRule = "optional";
const DEFAULT_PLACEMENT: Placement = "weights";
const WEIGHTS_COLUMN = "weights/";

/** The other rows that a service row refers to. */
export interface RowReferences {
    readonly findLimit: (name: string) => Limit | undefined;
    readonly zones: ReadonlySet<ZoneName>;
}

/** A checked row, or all that is wrong with it. */
export type RowResult<Row> = Either<readonly TableProblem[], Row>;

/** What a schema allows, as its first message says. */
export const formatIssue = (error: z.ZodError): string => error.issues[0]?.message ?? "wrong value";

/** A cell whose value is not allowed. */
export const badValue = (cell: CellAddress, found: CellValue, allowed: string): TableProblem =>
    ({ kind: "BadValue", cell, found, allowed });

/** The row, unless there are problems. */
export const toResult = <Row>(problems: readonly TableProblem[], build: () => Row): RowResult<Row> =>
    problems.length > 0 ? either.left(problems) : either.right(build());

/** Empty when `name` may be the name of a row; `row` is its address. */
export const checkName = (row: string, name: string): readonly TableProblem[] => {
    const result = serviceNameSchema.safeParse(name);
    return result.success ? [] : [{ kind: "BadName", cell: row, name, allowed: formatIssue(result.error) }];
};

/** A zone is known to the table while its one cell is set. */
export const parseZoneRow = (name: ZoneName, cells: RowCells): RowResult<ZoneName> => {
    const expected = `${ZONES_SHEET}/${name}/enabled`;
    const problems = [...cells].flatMap(([cell, value]): readonly TableProblem[] => {
        if (cell !== expected) {
            return [{ kind: "UnknownCell", cell }];
        }
        return value === ZONE_ENABLED ?
            [] :
            [badValue(cell, value, `${ZONE_ENABLED}, or empty to remove the zone`)];
    });
    return toResult([...checkName(`${ZONES_SHEET}/${name}`, name), ...problems], () => name);
};

const limitColumns = ["concurrency", "queue", "timeoutMs", "retryRatio"] as const;

/** A limit needs all of its cells. */
export const parseLimitRow = (name: string, cells: RowCells): RowResult<Limit> => {
    const prefix = `${LIMITS_SHEET}/${name}/`;
    const known = new Set<string>(limitColumns.map((column) => `${prefix}${column}`));
    const unknown = [...cells.keys()]
        .filter((cell) => !known.has(cell))
        .map((cell): TableProblem => ({ kind: "UnknownCell", cell }));
    const wrong = limitColumns.flatMap((column): readonly TableProblem[] => {
        const cell = `${prefix}${column}`;
        const value = cells.get(cell);
        if (value === undefined) {
            return [{ kind: "MissingCell", cell }];
        }
        const result = limitSchema.shape[column].safeParse(value);
        return result.success ? [] : [badValue(cell, value, formatIssue(result.error))];
    });
    const problems = [...checkName(`${LIMITS_SHEET}/${name}`, name), ...unknown, ...wrong];
    return toResult(problems, () =>
        limitSchema.parse(Object.fromEntries(limitColumns.map((column) => [column, cells.get(`${prefix}${column}`)]))));
};

/** Whether a cell holds a weight; 0 is one. */
export const isWeight = (value: CellValue): value is number =>
    typeof value === "number" && Number.isInteger(value) && value >= 0 && value <= MAX_WEIGHT;

/** Collects a service row cell by cell. */
interface ServiceRowDraft {
    readonly weights: Map<ZoneName, number>;
    limitName: string | undefined;
    limit: Limit | undefined;
    idempotency: IdempotencyRule;
    placement: Placement;
    readonly problems: TableProblem[];
}

const readWeight = (
    draft: ServiceRowDraft,
    cell: CellAddress,
    zone: ZoneName,
    value: CellValue,
    references: RowReferences,
): void => {
    if (!references.zones.has(zone)) {
        draft.problems.push({ kind: "UnknownZone", cell, zone });
        return;
    }
    if (!isWeight(value)) {
        draft.problems.push(badValue(cell, value, `a whole number from 0 to ${MAX_WEIGHT}`));
        return;
    }
    draft.weights.set(zone, value);
};

const readLimitName = (
    draft: ServiceRowDraft,
    cell: CellAddress,
    value: CellValue,
    references: RowReferences,
): void => {
    if (typeof value !== "string") {
        draft.problems.push(badValue(cell, value, "the name of a limit"));
        return;
    }
    draft.limitName = value;
    draft.limit = references.findLimit(value);
    if (draft.limit === undefined) {
        draft.problems.push({ kind: "UnknownLimit", cell, limit: value });
    }
};

const readIdempotency = (draft: ServiceRowDraft, cell: CellAddress, value: CellValue): void => {
    const result = idempotencyRuleSchema.safeParse(value);
    if (result.success) {
        draft.idempotency = result.data;
        return;
    }
    draft.problems.push(badValue(cell, value, idempotencyRuleSchema.options.join(" or ")));
};

const readPlacement = (draft: ServiceRowDraft, cell: CellAddress, value: CellValue): void => {
    const result = placementSchema.safeParse(value);
    if (result.success) {
        draft.placement = result.data;
        return;
    }
    draft.problems.push(badValue(cell, value, placementSchema.options.join(" or ")));
};

const readServiceCell = (
    draft: ServiceRowDraft,
    cell: CellAddress,
    column: string,
    value: CellValue,
    references: RowReferences,
): void => {
    if (column.startsWith(WEIGHTS_COLUMN)) {
        readWeight(draft, cell, column.slice(WEIGHTS_COLUMN.length), value, references);
        return;
    }
    switch (column) {
        case "limit":
            readLimitName(draft, cell, value, references);
            return;
        case "idempotency":
            readIdempotency(draft, cell, value);
            return;
        case "placement":
            readPlacement(draft, cell, value);
            return;
        default:
            draft.problems.push({ kind: "UnknownCell", cell });
    }
};

/** Resolves the limit that the row names, and refuses weights for zones that the version does not hold. */
export const parseServiceRow = (
    service: ServiceName,
    cells: RowCells,
    references: RowReferences,
): RowResult<ServiceRow> => {
    const prefix = `${SERVICES_SHEET}/${service}/`;
    const draft: ServiceRowDraft = {
        weights: new Map(),
        limitName: undefined,
        limit: undefined,
        idempotency: DEFAULT_IDEMPOTENCY,
        placement: DEFAULT_PLACEMENT,
        problems: [...checkName(`${SERVICES_SHEET}/${service}`, service)],
    };
    for (const [cell, value] of cells) {
        readServiceCell(draft, cell, cell.slice(prefix.length), value, references);
    }
    const { weights, limitName, limit, idempotency, placement, problems } = draft;
    if (!cells.has(`${prefix}limit`)) {
        problems.push({ kind: "MissingCell", cell: `${prefix}limit` });
    }
    if (limitName === undefined || limit === undefined || problems.length > 0) {
        return either.left(problems);
    }
    return either.right({ service, weights, limitName, limit, idempotency, placement });
};
