/**
 * Messages between a node and the platform, which are JSON over HTTP. The adapters validate every response against
 * these schemas, and the simulated platform in tests validates every request.
 *
 * | call | request | response |
 * | --- | --- | --- |
 * | `POST /table/read` | {@link readRequestSchema} | 200 {@link rowsResponseSchema} |
 * | `POST /table/scan` | {@link scanRequestSchema} | 200 {@link rowsResponseSchema} |
 * | `POST /table/transact` | {@link transactRequestSchema} | 200 {@link transactResponseSchema} |
 * | `GET /objects/<key>` | | 200 with the bytes, or 404 |
 * | `PUT /objects/<key>` | the bytes | 204 |
 * | `GET /objects?prefix=<prefix>` | | 200 {@link listResponseSchema} |
 *
 * Each response contains the era of the store in {@link ERA_HEADER}. A platform that does not send the header always
 * stays in the same era.
 *
 * The statuses 503 and 429 mean that the call had no effect, and so does any other 4xx status. After any other 5xx
 * status the outcome of a write is unknown.
 */
import { storePositionSchema } from "oleandergap-types";
import { z } from "zod";

/** Response header with the era of the platform's store, which increases with each restore from a backup. */
export const ERA_HEADER = "oleandergap-store-era";

/** Path of requests that read individual rows. */
export const TABLE_READ_PATH = "/table/read";
/** Path of scan requests. */
export const TABLE_SCAN_PATH = "/table/scan";
/** Path of transaction requests. */
export const TABLE_TRANSACT_PATH = "/table/transact";
/** Path of the list of objects, and prefix of the path of each object. */
export const OBJECTS_PATH = "/objects";

/** Maximum length of the key of a row or an object, in characters. */
const MAX_KEY_LENGTH = 512;
/** Maximum number of keys in one read. */
const MAX_KEYS_PER_READ = 100;
/** Maximum number of rows in the response to one scan. */
const MAX_ROWS_PER_SCAN = 1000;
/** Maximum number of operations in one transaction. */
const MAX_OPERATIONS_PER_TRANSACTION = 100;

/** Key of printable ASCII characters without spaces, so that it needs no escaping in logs. */
export const platformKeySchema = z.string().min(1).max(MAX_KEY_LENGTH).regex(/^[\x21-\x7e]+$/);

/** Any JSON value, which the reader of the row validates against its own schema. An absent value is invalid. */
const jsonValueSchema = z.unknown().refine((value): boolean => value !== undefined, "a row has a value");

const tableRowSchema = z.strictObject({
    key: platformKeySchema,
    version: storePositionSchema,
    value: jsonValueSchema,
});

const rowConditionSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("Any") }),
    z.strictObject({ kind: z.literal("Absent") }),
    z.strictObject({ kind: z.literal("VersionIs"), version: storePositionSchema }),
]);

const tableOperationSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("Check"), key: platformKeySchema, condition: rowConditionSchema }),
    z.strictObject({
        kind: z.literal("Put"),
        key: platformKeySchema,
        condition: rowConditionSchema,
        value: jsonValueSchema,
    }),
    z.strictObject({ kind: z.literal("Delete"), key: platformKeySchema, condition: rowConditionSchema }),
]);

/** Request for rows by key. */
export const readRequestSchema = z.strictObject({
    keys: z.array(platformKeySchema).min(1).max(MAX_KEYS_PER_READ),
});

/** Request for a range of rows; see `TableScan` in `oleandergap-types`. */
export const scanRequestSchema = z.strictObject({
    prefix: platformKeySchema,
    after: platformKeySchema.optional(),
    limit: z.number().int().min(1).max(MAX_ROWS_PER_SCAN),
    descending: z.boolean().optional(),
});

/** Transaction. Each key occurs at most once, because all conditions refer to the state before the transaction. */
export const transactRequestSchema = z.strictObject({
    operations: z
        .array(tableOperationSchema)
        .min(1)
        .max(MAX_OPERATIONS_PER_TRANSACTION)
        .refine(
            (operations) => new Set(operations.map((operation) => operation.key)).size === operations.length,
            "each key at most once",
        ),
});

/** Response to a read or scan: those of the requested rows that exist. */
export const rowsResponseSchema = z.strictObject({ rows: z.array(tableRowSchema) });

/** Response to a transaction: committed, or the keys whose condition was not met. */
export const transactResponseSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("Committed") }),
    z.strictObject({ kind: z.literal("ConditionFailed"), keys: z.array(platformKeySchema).min(1) }),
]);

/** Response to a list request: the keys of the objects. */
export const listResponseSchema = z.strictObject({ keys: z.array(platformKeySchema) });

export type ReadRequest = z.infer<typeof readRequestSchema>;
export type ScanRequest = z.infer<typeof scanRequestSchema>;
export type TransactRequest = z.infer<typeof transactRequestSchema>;
export type RowsResponse = z.infer<typeof rowsResponseSchema>;

/** Returns the URL path of an object. Slashes in the key are not escaped. */
export const formatObjectPath = (key: string): string =>
    `${OBJECTS_PATH}/${key.split("/").map(encodeURIComponent).join("/")}`;

/**
 * Returns the object key of a URL path; the inverse of {@link formatObjectPath}. Returns undefined when the path does
 * not identify an object or has invalid escapes.
 */
export const parseObjectPath = (path: string): string | undefined => {
    if (!path.startsWith(`${OBJECTS_PATH}/`)) {
        return undefined;
    }
    try {
        const key = path
            .slice(OBJECTS_PATH.length + 1)
            .split("/")
            .map(decodeURIComponent)
            .join("/");
        return platformKeySchema.safeParse(key).success ? key : undefined;
    }
    catch {
        return undefined;
    }
};
