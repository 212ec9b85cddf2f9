/**
 * What travels between a node and the platform, as JSON over HTTP. The adapters check every answer against these
 * schemas; a server for tests checks every request against them.
 *
 * | call | request | answer |
 * | --- | --- | --- |
 * | `POST /table/read` | {@link readRequestSchema} | 200 {@link rowsAnswerSchema} |
 * | `POST /table/scan` | {@link scanRequestSchema} | 200 {@link rowsAnswerSchema} |
 * | `POST /table/transact` | {@link transactRequestSchema} | 200 {@link transactAnswerSchema} |
 * | `GET /objects/<key>` | | 200 with the bytes, or 404 |
 * | `PUT /objects/<key>` | the bytes | 204 |
 * | `GET /objects?prefix=<prefix>` | | 200 {@link listAnswerSchema} |
 *
 * Each answer names the era of the store in {@link ERA_HEADER}; a platform without the header is in one era for good.
 *
 * 503 and 429 say that the call had no effect; so does any other 4xx. Any other 5xx leaves a write's outcome open.
 */
import { storePositionSchema } from "oleandergap-types";
import { z } from "zod";

/** In each answer: the era of the platform's store, which rises with each restore from a copy. */
export const ERA_HEADER = "oleandergap-store-era";

/** Path of a read of single rows. */
export const TABLE_READ_PATH = "/table/read";
/** Path of a scan. */
export const TABLE_SCAN_PATH = "/table/scan";
/** Path of a transaction. */
export const TABLE_TRANSACT_PATH = "/table/transact";
/** Path of the list of objects, and start of the path of each object. */
export const OBJECTS_PATH = "/objects";

/** Longest key of a row or an object, in characters. */
const MAX_KEY_LENGTH = 512;
/** Most keys in one read. */
const MAX_KEYS_PER_READ = 100;
/** Most rows in the answer to one scan. */
const MAX_ROWS_PER_SCAN = 1000;
/** Most operations in one transaction. */
const MAX_OPERATIONS_PER_TRANSACTION = 100;

/** Printable ASCII without spaces, so that a key needs no escaping in logs. */
export const platformKeySchema = z.string().min(1).max(MAX_KEY_LENGTH).regex(/^[\x21-\x7e]+$/);

/** Any JSON value; its reader knows the schema. Absent is not a value. */
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

/** Rows by key. */
export const readRequestSchema = z.strictObject({
    keys: z.array(platformKeySchema).min(1).max(MAX_KEYS_PER_READ),
});

/** A range of rows; see `TableScan` in `oleandergap-types`. */
export const scanRequestSchema = z.strictObject({
    prefix: platformKeySchema,
    after: platformKeySchema.optional(),
    limit: z.number().int().min(1).max(MAX_ROWS_PER_SCAN),
    descending: z.boolean().optional(),
});

/** Each key at most once: the conditions all speak of the time before the transaction. */
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

/** The rows that exist. */
export const rowsAnswerSchema = z.strictObject({ rows: z.array(tableRowSchema) });

/** Done, or the keys whose condition failed. */
export const transactAnswerSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("Committed") }),
    z.strictObject({ kind: z.literal("ConditionFailed"), keys: z.array(platformKeySchema).min(1) }),
]);

/** Keys of objects. */
export const listAnswerSchema = z.strictObject({ keys: z.array(platformKeySchema) });

export type ReadRequest = z.infer<typeof readRequestSchema>;
export type ScanRequest = z.infer<typeof scanRequestSchema>;
export type TransactRequest = z.infer<typeof transactRequestSchema>;
export type RowsAnswer = z.infer<typeof rowsAnswerSchema>;

/** The URL path of an object; slashes of the key stay slashes. */
export const formatObjectPath = (key: string): string =>
    `${OBJECTS_PATH}/${key.split("/").map(encodeURIComponent).join("/")}`;

/** The inverse of {@link formatObjectPath}; undefined when the path names no object or is badly escaped. */
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
