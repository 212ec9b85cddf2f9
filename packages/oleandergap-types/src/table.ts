/**
 * The shared table. A partner's document in the table is a flat set of cells, each with an address and a value.
 * Versions, conflicts and deltas refer to single cells; {@link PartnerTable} is the typed view used to serve requests.
 */
import { z } from "zod";
import type { CustomerDirectory } from "./customer.js";
import { partnerNameSchema, type PartnerName, type ServiceName, type ZoneName } from "./names.js";

/** Maximum length of a cell address, in characters. */
export const MAX_CELL_ADDRESS_LENGTH = 160;
/** Maximum length of a text in a cell, in characters. */
export const MAX_CELL_TEXT_LENGTH = 200;
/** Maximum number of cells that one operator change may set. */
export const MAX_CELLS_PER_CHANGE = 200;
/**
 * Maximum number of cells in a delta. If a platform distributes whole versions, a delta may be far larger than an
 * operator change: 1,640 more routes are 13,000 cells.
 */
export const MAX_CELLS_PER_DELTA = 20_000;

const CELL_ADDRESS_PATTERN = /^[a-z][A-Za-z0-9-]*(\/[A-Za-z0-9-]+){1,3}$/;
const CELL_ADDRESS_HINT = "use a path such as services/grant-filer/weights/hall-a";

/**
 * Address of a cell, for example `services/grant-filer/weights/hall-a`, `services/grant-filer/limit` or
 * `limits/filing/concurrency`.
 */
export const cellAddressSchema = z
    .string()
    .max(MAX_CELL_ADDRESS_LENGTH)
    .regex(CELL_ADDRESS_PATTERN, CELL_ADDRESS_HINT);
export type CellAddress = z.infer<typeof cellAddressSchema>;

/** A number or a short text. */
export const cellValueSchema = z.union([z.number(), z.string().max(MAX_CELL_TEXT_LENGTH)]);
export type CellValue = z.infer<typeof cellValueSchema>;

export type Cells = Readonly<Record<CellAddress, CellValue>>;

const isCellAddress = (text: string): boolean =>
    text.length <= MAX_CELL_ADDRESS_LENGTH && CELL_ADDRESS_PATTERN.test(text);

const isCellValue = (value: unknown): boolean =>
    typeof value === "string" ? value.length <= MAX_CELL_TEXT_LENGTH : Number.isFinite(value);

/** Returns what is wrong with the cell at `address`, or undefined if it is valid. */
const findCellProblem = (address: string, value: unknown): string | undefined => {
    if (!isCellAddress(address)) {
        return CELL_ADDRESS_HINT;
    }
    return isCellValue(value) ? undefined : `use a number or a text of at most ${MAX_CELL_TEXT_LENGTH} characters`;
};

/**
 * All cells of one partner, by address. Validates each cell like its own schemas, but in one loop: in a process that
 * has just started, this takes 9 to 12 ms instead of 54 to 87 ms for a document of 10,000 cells from another node.
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

/** Digest of all cells of a partner's document: 64 hexadecimal digits of SHA-256 over their canonical form. */
export const digestSchema = z.string().regex(/^[0-9a-f]{64}$/);
export type Digest = z.infer<typeof digestSchema>;

/** A non-negative integer. */
export const sequenceSchema = z.number().int().nonnegative();
/** Number of accepted versions of one partner's document; 0 is the empty document before the first change. */
export type Sequence = z.infer<typeof sequenceSchema>;

/** Identifies one version of one partner's document. */
export const headSchema = z.strictObject({
    partner: partnerNameSchema,
    sequence: sequenceSchema,
    digest: digestSchema,
});
export type Head = z.infer<typeof headSchema>;

/** Change of one cell. Without `before`, the cell was empty; without `after`, the change deletes the cell. */
export const cellChangeSchema = z.strictObject({
    cell: cellAddressSchema,
    before: cellValueSchema.optional(),
    after: cellValueSchema.optional(),
});
export type CellChange = z.infer<typeof cellChangeSchema>;

/** Fields of a cell change other than `cell`. */
const CHANGE_VALUE_FIELDS: ReadonlySet<string> = new Set(["before", "after"]);

/** Returns what is wrong with one change of a delta, or undefined if it is valid. */
const findChangeProblem = (change: unknown): string | undefined => {
    if (typeof change !== "object" || change === null || !("cell" in change)) {
        return "use an object with a cell, and the values before and after";
    }
    for (const field in change) {
        const value: unknown = Reflect.get(change, field);
        const isValid = field === "cell" ?
            typeof value === "string" && isCellAddress(value) :
            CHANGE_VALUE_FIELDS.has(field) && (value === undefined || isCellValue(value));
        if (!isValid) {
            return `the field ${field} holds something else than a cell, or a number or text before and after`;
        }
    }
    return undefined;
};

/**
 * The changes of a delta. Validates each one like {@link cellChangeSchema}, but in one loop: in a process that has just
 * started, this takes 14 to 16 ms instead of 81 to 104 ms for 960 routes that were added at once.
 */
const deltaChangesSchema = z.custom<CellChange[]>().superRefine((changes: unknown, context) => {
    if (!Array.isArray(changes) || changes.length > MAX_CELLS_PER_DELTA) {
        context.addIssue({ code: "custom", message: `use a list of at most ${MAX_CELLS_PER_DELTA} changes` });
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

/** The changes from one version to a later one: from `baseSequence` with `baseDigest` to `sequence` with `digest`. */
export const deltaSchema = z.strictObject({
    partner: partnerNameSchema,
    sequence: sequenceSchema.min(1),
    /** Absent if the base version is `sequence - 1`. */
    baseSequence: sequenceSchema.optional(),
    baseDigest: digestSchema,
    digest: digestSchema,
    changes: deltaChangesSchema,
});
export type Delta = z.infer<typeof deltaSchema>;

/** Returns the sequence of the version to which a delta applies. */
export const getBaseSequence = ({ sequence, baseSequence }: Pick<Delta, "sequence" | "baseSequence">): Sequence =>
    baseSequence ?? sequence - 1;

/** A complete version of one partner's document. */
export const documentSchema = z.strictObject({
    partner: partnerNameSchema,
    sequence: sequenceSchema,
    digest: digestSchema,
    cells: cellsSchema,
});
export type PartnerDocument = z.infer<typeof documentSchema>;

/** Upper bounds of values in the table; see the fields that use them. */
export const MAX_CONCURRENCY = 10_000;
export const MAX_TABLE_DURATION_MS = 600_000;
export const MAX_ROUTE_ATTEMPTS = 100;
export const MAX_PRIORITY = 1000;

/** Limits that service rows refer to by name. */
export const limitSchema = z.strictObject({
    /** Maximum number of requests in flight at one target; the target's own slots apply as well. */
    concurrency: z.number().int().min(1).max(MAX_CONCURRENCY),
    /** Maximum number of requests waiting at one gate. */
    queue: z.number().int().min(0).max(10_000),
    /** Timeout of a request whose caller does not specify one, in milliseconds. */
    timeoutMs: z.number().int().min(1).max(MAX_TABLE_DURATION_MS),
    /** Maximum number of retries as a share of the requests, from 0 to 1. */
    retryRatio: z.number().min(0).max(1),
});
export type Limit = z.infer<typeof limitSchema>;

/** Whether a service requires an idempotency key for a non-idempotent request (POST or PATCH). */
export const idempotencyRuleSchema = z.enum(["required", "optional"]);
export type IdempotencyRule = z.infer<typeof idempotencyRuleSchema>;

/** Maximum weight of an availability zone. */
export const MAX_WEIGHT = 1000;

/**
 * How the requests of a service are distributed over the availability zones.
 *
 * - `weights`: according to the weights of the row.
 * - `load`: to the target with the earliest expected response in any availability zone; the weights are ignored.
 */
export const placementSchema = z.enum(["weights", "load"]);
export type Placement = z.infer<typeof placementSchema>;

/** A validated row of the table with its limits resolved. */
export interface ServiceRow {
    readonly service: ServiceName;
    /** Share of the requests that the targets of each availability zone receive; 0 or absent means none. */
    readonly weights: ReadonlyMap<ZoneName, number>;
    readonly limitName: string;
    /** The limits named by `limitName`. They are resolved when the version is validated, so they are never missing. */
    readonly limit: Limit;
    readonly idempotency: IdempotencyRule;
    readonly placement: Placement;
}

/**
 * Whether the requests of a route may be repeated.
 *
 * - `safe`: a request may run more than once.
 * - `nonIdempotent`: a request runs at most once.
 * - `upload`: like `nonIdempotent`, with a large body that is streamed.
 */
export const routeKindSchema = z.enum(["safe", "nonIdempotent", "upload"]);
export type RouteKind = z.infer<typeof routeKindSchema>;

/** Maximum length of the path prefix of a route, in characters. */
export const MAX_PREFIX_LENGTH = 200;

/** The cells of a route with a fixed name. The services of the route are stored in separate cells. */
export const routeCellsSchema = z.object({
    /** Host name in the caller's request, in lower case and without a port. */
    host: z.string().max(MAX_CELL_TEXT_LENGTH).regex(/^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$/, "use a host name in lower case"),
    prefix: z.string().max(MAX_PREFIX_LENGTH).regex(/^\/([^?#\s]*\/)?$/, "begin and end the prefix with a slash"),
    kind: routeKindSchema,
    /** Maximum number of targets to which one request may be sent. */
    maxAttempts: z.number().int().min(1).max(MAX_ROUTE_ATTEMPTS),
    /** Maximum time that a caller waits, in milliseconds. */
    timeoutMs: z.number().int().min(1).max(MAX_TABLE_DURATION_MS),
    /** Latency objective of the route, in milliseconds: a response after this time has less value to the caller. */
    targetLatencyMs: z.number().int().min(1).max(MAX_TABLE_DURATION_MS),
    /** Priority among the requests of one service; 0 starts first. */
    priority: z.number().int().min(0).max(MAX_PRIORITY),
});

/** One of the services among which a route divides its requests. */
export interface RouteShare {
    readonly service: ServiceName;
    /** Relative to the other shares of the route; at least 1. */
    readonly weight: number;
}

/** Sends requests for a host whose paths start with a prefix to one service, or divides them among several services. */
export interface Route extends Readonly<z.infer<typeof routeCellsSchema>> {
    readonly name: string;
    /** Never empty; each service has a row in the same version. */
    readonly shares: readonly RouteShare[];
    /** Whether callers need no key although the table has customers. Absent means no. */
    readonly isPublic?: boolean;
}

/**
 * The typed view of one version of a partner's document. It is immutable, and a request uses the same version from
 * start to end.
 */
export interface PartnerTable {
    readonly head: Head;
    readonly services: ReadonlyMap<ServiceName, ServiceRow>;
    readonly zones: ReadonlySet<ZoneName>;
    readonly routes: ReadonlyMap<string, Route>;
    /** Absent if the table has no customers; callers then need no key. */
    readonly customers?: CustomerDirectory;
}

/** The tables in force at a node, by partner. */
export type TableView = ReadonlyMap<PartnerName, PartnerTable>;
