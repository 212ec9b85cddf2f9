/**
 * The shared table. A partner's part of it is a flat set of cells; a cell has an address and a value. Versions,
 * conflicts and deltas are all per cell; {@link PartnerTable} is the typed view that requests are served from.
 */
import { z } from "zod";
import { partnerNameSchema, type PartnerName, type ServiceName, type ZoneName } from "./names.js";

/** Longest address of a cell, in characters. */
export const MAX_CELL_ADDRESS_LENGTH = 160;
/** Longest text in a cell, in characters. */
export const MAX_CELL_TEXT_LENGTH = 200;
/** Most cells that one change of an operator may set. */
export const MAX_CELLS_PER_CHANGE = 200;
/**
 * Most cells in the step from one version to the next. Where a platform hands out whole versions, a step may be far
 * larger than a change of ours: 1,640 more routes are 13,000 cells.
 */
export const MAX_CELLS_PER_STEP = 20_000;

const CELL_ADDRESS_PATTERN = /^[a-z][A-Za-z0-9-]*(\/[A-Za-z0-9-]+){1,3}$/;
const CELL_ADDRESS_ADVICE = "use a path such as services/grant-filer/weights/hall-a";

/**
 * Where a cell stands, for example `services/grant-filer/weights/hall-a`, `services/grant-filer/limit` or
 * `limits/filing/concurrency`.
 */
export const cellAddressSchema = z
    .string()
    .max(MAX_CELL_ADDRESS_LENGTH)
    .regex(CELL_ADDRESS_PATTERN, CELL_ADDRESS_ADVICE);
export type CellAddress = z.infer<typeof cellAddressSchema>;

/** A number, or a short text. */
export const cellValueSchema = z.union([z.number(), z.string().max(MAX_CELL_TEXT_LENGTH)]);
export type CellValue = z.infer<typeof cellValueSchema>;

export type Cells = Readonly<Record<CellAddress, CellValue>>;

const isCellAddress = (text: string): boolean =>
    text.length <= MAX_CELL_ADDRESS_LENGTH && CELL_ADDRESS_PATTERN.test(text);

const isCellValue = (value: unknown): boolean =>
    typeof value === "string" ? value.length <= MAX_CELL_TEXT_LENGTH : Number.isFinite(value);

/** What is wrong with the cell at `address`; undefined when nothing is. */
const findCellProblem = (address: string, value: unknown): string | undefined => {
    if (!isCellAddress(address)) {
        return CELL_ADDRESS_ADVICE;
    }
    return isCellValue(value) ? undefined : `use a number or a text of at most ${MAX_CELL_TEXT_LENGTH} characters`;
};

/**
 * All cells of one partner, by address. Each cell is checked as by its own schemas, in one loop: a document of 10,000
 * cells that another node sent takes 9 to 12 ms so instead of 54 to 87, in a process that has just started.
 */
export const cellsSchema = z.custom<Record<CellAddress, CellValue>>().superRefine((cells: unknown, context) => {
    if (typeof cells !== "object" || cells === null || Array.isArray(cells)) {
        context.addIssue({ code: "custom", message: "use an object with a value for each cell" });
        return;
    }
    for (const address in cells) {
        const message = findCellProblem(address, Reflect.get(cells, address));
        if (message !== undefined) {
            context.addIssue({ code: "custom", path: [address], message });
            return;
        }
    }
});

/** A digest of all cells of a partner's document: 64 hexadecimal digits of SHA-256 over their canonical form. */
export const digestSchema = z.string().regex(/^[0-9a-f]{64}$/);
export type Digest = z.infer<typeof digestSchema>;

/** Whole, and never negative. */
export const sequenceSchema = z.number().int().nonnegative();
/** Counts the accepted versions of one partner's document; 0 is the empty document before the first change. */
export type Sequence = z.infer<typeof sequenceSchema>;

/** Names one version of one partner's document. */
export const headSchema = z.strictObject({
    partner: partnerNameSchema,
    sequence: sequenceSchema,
    digest: digestSchema,
});
export type Head = z.infer<typeof headSchema>;

/** One cell of a change. An absent `before` means that the cell was empty; an absent `after` empties it. */
export const cellChangeSchema = z.strictObject({
    cell: cellAddressSchema,
    before: cellValueSchema.optional(),
    after: cellValueSchema.optional(),
});
export type CellChange = z.infer<typeof cellChangeSchema>;

/** Fields of a change besides its cell. */
const CHANGED_VALUES: ReadonlySet<string> = new Set(["before", "after"]);

/** What is wrong with one change of a step; undefined when nothing is. */
const findChangeProblem = (change: unknown): string | undefined => {
    if (typeof change !== "object" || change === null || !("cell" in change)) {
        return "use an object with a cell, and the values before and after";
    }
    for (const field in change) {
        const value: unknown = Reflect.get(change, field);
        const isRight = field === "cell" ?
            typeof value === "string" && isCellAddress(value) :
            CHANGED_VALUES.has(field) && (value === undefined || isCellValue(value));
        if (!isRight) {
            return `the field ${field} holds something else than a cell, or a number or text before and after`;
        }
    }
    return undefined;
};

/**
 * The changes of a step, each checked as by {@link cellChangeSchema}, in one loop: for 960 routes that were added at
 * once that takes 14 to 16 ms instead of 81 to 104, in a process that has just started.
 */
const stepChangesSchema = z.custom<CellChange[]>().superRefine((changes: unknown, context) => {
    if (!Array.isArray(changes) || changes.length > MAX_CELLS_PER_STEP) {
        context.addIssue({ code: "custom", message: `use a list of at most ${MAX_CELLS_PER_STEP} changes` });
        return;
    }
    for (let index = 0; index < changes.length; index++) {
        const message = findChangeProblem(changes[index]);
        if (message !== undefined) {
            context.addIssue({ code: "custom", path: [index], message });
            return;
        }
    }
});

/** The step from one version to a later one: `baseSequence` with `baseDigest` becomes `sequence` with `digest`. */
export const deltaSchema = z.strictObject({
    partner: partnerNameSchema,
    sequence: sequenceSchema.min(1),
    /** Absent when the step follows on the number just before. */
    baseSequence: sequenceSchema.optional(),
    baseDigest: digestSchema,
    digest: digestSchema,
    changes: stepChangesSchema,
});
export type Delta = z.infer<typeof deltaSchema>;

/** The version that a step starts from. */
export const getBaseSequence = ({ sequence, baseSequence }: Pick<Delta, "sequence" | "baseSequence">): Sequence =>
    baseSequence ?? sequence - 1;

/** A whole version of one partner's document. */
export const documentSchema = z.strictObject({
    partner: partnerNameSchema,
    sequence: sequenceSchema,
    digest: digestSchema,
    cells: cellsSchema,
});
export type PartnerDocument = z.infer<typeof documentSchema>;

/** Bounds of figures in the table; see the fields that they belong to. */
export const MAX_CONCURRENCY = 10_000;
export const MAX_TABLE_DURATION_MS = 600_000;
export const MAX_ATTEMPTS_OF_ROUTE = 100;
export const MAX_PRIORITY = 1000;

/** Limits that a service row refers to by name. */
export const limitSchema = z.strictObject({
    /** Most requests in flight at one target; the target's own slots apply as well. */
    concurrency: z.number().int().min(1).max(MAX_CONCURRENCY),
    /** Most requests waiting at one gate. */
    queue: z.number().int().min(0).max(10_000),
    /** Time a request may take when its caller names none. */
    timeoutMs: z.number().int().min(1).max(MAX_TABLE_DURATION_MS),
    /** Retries allowed as a share of the requests, from 0 to 1. */
    retryRatio: z.number().min(0).max(1),
});
export type Limit = z.infer<typeof limitSchema>;

/** How a service treats a non-idempotent request (POST or PATCH) without an idempotency key. */
export const idempotencyRuleSchema = z.enum(["required", "optional"]);
export type IdempotencyRule = z.infer<typeof idempotencyRuleSchema>;

/** Largest weight of an availability zone. */
export const MAX_WEIGHT = 1000;

/**
 * How the requests of a service are spread over the availability zones.
 *
 * - `weights`: by the row's weights.
 * - `load`: to whichever target is expected to answer first, wherever it stands; weights are not used.
 */
export const placementSchema = z.enum(["weights", "load"]);
export type Placement = z.infer<typeof placementSchema>;

/** A row of the table, checked and resolved. */
export interface ServiceRow {
    readonly service: ServiceName;
    /** Share of the requests that each availability zone's targets receive; 0 or absent means none. */
    readonly weights: ReadonlyMap<ZoneName, number>;
    readonly limitName: string;
    /** The limits that `limitName` names; resolved when the version is checked, so it can never be missing. */
    readonly limit: Limit;
    readonly idempotency: IdempotencyRule;
    readonly placement: Placement;
}

/**
 * What may be repeated of a route's requests.
 *
 * - `safe`: may run more than once.
 * - `nonIdempotent`: runs once at most.
 * - `upload`: as `nonIdempotent`, with a large body that is streamed.
 */
export const routeKindSchema = z.enum(["safe", "nonIdempotent", "upload"]);
export type RouteKind = z.infer<typeof routeKindSchema>;

/** Longest prefix of a path that a route may name, in characters. */
export const MAX_PREFIX_LENGTH = 200;

/** The single cells of a route; its services are cells of their own. */
export const routeCellsSchema = z.object({
    /** Host that callers name, in lower case and without a port. */
    host: z.string().max(MAX_CELL_TEXT_LENGTH).regex(/^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$/, "use a host name in lower case"),
    prefix: z.string().max(MAX_PREFIX_LENGTH).regex(/^\/([^?#\s]*\/)?$/, "begin and end the prefix with a slash"),
    kind: routeKindSchema,
    /** Most targets that one request may be sent to. */
    maxAttempts: z.number().int().min(1).max(MAX_ATTEMPTS_OF_ROUTE),
    /** Longest time that a caller is kept waiting, in milliseconds. */
    timeoutMs: z.number().int().min(1).max(MAX_TABLE_DURATION_MS),
    /** Time within which an answer is worth most to its caller, in milliseconds. */
    targetLatencyMs: z.number().int().min(1).max(MAX_TABLE_DURATION_MS),
    /** Rank among the requests of one service; 0 goes first. */
    priority: z.number().int().min(0).max(MAX_PRIORITY),
});

/** One of the services that a route's requests are divided among. */
export interface RouteShare {
    readonly service: ServiceName;
    /** Relative to the other shares of the route; at least 1. */
    readonly weight: number;
}

/** Sends the requests of a host whose paths begin with a prefix to one service, or divides them among several. */
export interface Route extends Readonly<z.infer<typeof routeCellsSchema>> {
    readonly name: string;
    /** Never empty; each service has a row in the same version. */
    readonly shares: readonly RouteShare[];
}

/** The typed view of one version of a partner's document. Immutable; a request keeps the one that it started on. */
export interface PartnerTable {
    readonly head: Head;
    readonly services: ReadonlyMap<ServiceName, ServiceRow>;
    readonly zones: ReadonlySet<ZoneName>;
    readonly routes: ReadonlyMap<string, Route>;
}

/** The tables in force at a node, by partner. */
export type TableView = ReadonlyMap<PartnerName, PartnerTable>;
