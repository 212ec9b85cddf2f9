/** Parses the rows of the table and validates each of their cells. */
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

/** The only valid value of a zone's cell; a zone is removed by emptying the cell. */
const ZONE_ENABLED = 1;
const DEFAULT_IDEMPOTENCY: IdempotencyRule = "optional";
const DEFAULT_PLACEMENT: Placement = "weights";
const WEIGHTS_COLUMN = "weights/";

/** Rows that a service row may refer to. */
export interface RowReferences {
    readonly findLimit: (name: string) => Limit | undefined;
    readonly zones: ReadonlySet<ZoneName>;
}

/** A parsed row, or all of its problems. */
export type RowResult<Row> = Either<readonly TableProblem[], Row>;

/** Returns the first message of a schema error, which describes the allowed values. */
export const formatFirstIssue = (error: z.ZodError): string => error.issues[0]?.message ?? "wrong value";

/** Returns the problem of a cell whose value is not allowed. */
export const createBadValueProblem = (cell: CellAddress, found: CellValue, allowed: string): TableProblem =>
    ({ kind: "BadValue", cell, found, allowed });

/** Returns the problems, or the built row if there are none. */
export const toRowResult = <Row>(problems: readonly TableProblem[], build: () => Row): RowResult<Row> =>
    problems.length > 0 ? either.left(problems) : either.right(build());

/** Checks the name of a row; returns an empty array if the name is valid. `row` is the address of the row. */
export const checkRowName = (row: string, name: string): readonly TableProblem[] => {
    const result = serviceNameSchema.safeParse(name);
    return result.success ? [] : [{ kind: "BadName", cell: row, name, allowed: formatFirstIssue(result.error) }];
};

/** Parses the row of a zone. A zone exists in the table while its only cell is set. */
export const parseZoneRow = (name: ZoneName, cells: RowCells): RowResult<ZoneName> => {
    const enabledCell = `${ZONES_SHEET}/${name}/enabled`;
    const problems = [...cells].flatMap(([cell, value]): readonly TableProblem[] => {
        if (cell !== enabledCell) {
            return [{ kind: "UnknownCell", cell }];
        }
        return value === ZONE_ENABLED ?
            [] :
            [createBadValueProblem(cell, value, `${ZONE_ENABLED}, or empty to remove the zone`)];
    });
    return toRowResult([...checkRowName(`${ZONES_SHEET}/${name}`, name), ...problems], () => name);
};

const LIMIT_COLUMNS = ["concurrency", "queue", "timeoutMs", "retryRatio"] as const;

/** Parses a limit, which needs all of its cells. */
export const parseLimitRow = (name: string, cells: RowCells): RowResult<Limit> => {
    const prefix = `${LIMITS_SHEET}/${name}/`;
    const knownCells = new Set<string>(LIMIT_COLUMNS.map((column) => `${prefix}${column}`));
    const unknownCells = [...cells.keys()]
        .filter((cell) => !knownCells.has(cell))
        .map((cell): TableProblem => ({ kind: "UnknownCell", cell }));
    const cellProblems = LIMIT_COLUMNS.flatMap((column): readonly TableProblem[] => {
        const cell = `${prefix}${column}`;
        const value = cells.get(cell);
        if (value === undefined) {
            return [{ kind: "MissingCell", cell }];
        }
        const result = limitSchema.shape[column].safeParse(value);
        return result.success ? [] : [createBadValueProblem(cell, value, formatFirstIssue(result.error))];
    });
    const problems = [...checkRowName(`${LIMITS_SHEET}/${name}`, name), ...unknownCells, ...cellProblems];
    return toRowResult(problems, () =>
        limitSchema.parse(Object.fromEntries(LIMIT_COLUMNS.map((column) => [column, cells.get(`${prefix}${column}`)]))));
};

/** Whether the value of a cell is a weight, including 0. */
export const isWeight = (value: CellValue): value is number =>
    typeof value === "number" && Number.isInteger(value) && value >= 0 && value <= MAX_WEIGHT;

/** Partially parsed service row. */
interface ServiceRowDraft {
    readonly weights: Map<ZoneName, number>;
    limitName: string | undefined;
    limit: Limit | undefined;
    idempotency: IdempotencyRule;
    placement: Placement;
    readonly problems: TableProblem[];
}

const parseWeightCell = (
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
        draft.problems.push(createBadValueProblem(cell, value, `a whole number from 0 to ${MAX_WEIGHT}`));
        return;
    }
    draft.weights.set(zone, value);
};

const parseLimitNameCell = (
    draft: ServiceRowDraft,
    cell: CellAddress,
    value: CellValue,
    references: RowReferences,
): void => {
    if (typeof value !== "string") {
        draft.problems.push(createBadValueProblem(cell, value, "the name of a limit"));
        return;
    }
    draft.limitName = value;
    draft.limit = references.findLimit(value);
    if (draft.limit === undefined) {
        draft.problems.push({ kind: "UnknownLimit", cell, limit: value });
    }
};

const parseIdempotencyCell = (draft: ServiceRowDraft, cell: CellAddress, value: CellValue): void => {
    const result = idempotencyRuleSchema.safeParse(value);
    if (result.success) {
        draft.idempotency = result.data;
        return;
    }
    draft.problems.push(createBadValueProblem(cell, value, idempotencyRuleSchema.options.join(" or ")));
};

const parsePlacementCell = (draft: ServiceRowDraft, cell: CellAddress, value: CellValue): void => {
    const result = placementSchema.safeParse(value);
    if (result.success) {
        draft.placement = result.data;
        return;
    }
    draft.problems.push(createBadValueProblem(cell, value, placementSchema.options.join(" or ")));
};

const parseServiceCell = (
    draft: ServiceRowDraft,
    cell: CellAddress,
    column: string,
    value: CellValue,
    references: RowReferences,
): void => {
    if (column.startsWith(WEIGHTS_COLUMN)) {
        parseWeightCell(draft, cell, column.slice(WEIGHTS_COLUMN.length), value, references);
        return;
    }
    switch (column) {
        case "limit":
            parseLimitNameCell(draft, cell, value, references);
            return;
        case "idempotency":
            parseIdempotencyCell(draft, cell, value);
            return;
        case "placement":
            parsePlacementCell(draft, cell, value);
            return;
        default:
            draft.problems.push({ kind: "UnknownCell", cell });
    }
};

/** Parses a service row and resolves its limit. Refuses weights of zones that the version does not contain. */
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
        problems: [...checkRowName(`${SERVICES_SHEET}/${service}`, service)],
    };
    for (const [cell, value] of cells) {
        parseServiceCell(draft, cell, cell.slice(prefix.length), value, references);
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
