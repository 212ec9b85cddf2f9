/** Parses and validates JSON that another process sent. */
import type { z } from "zod";

/** A value that matches its schema. The wrapper distinguishes a valid `undefined` from a parse failure. */
export interface ParsedJson<Value> {
    readonly parsed: Value;
}

/** Parses `body`. Returns undefined when it is not JSON or does not match `schema`. */
export const parseJson = <Schema extends z.ZodType>(
    schema: Schema,
    body: Uint8Array,
): ParsedJson<z.output<Schema>> | undefined => {
    try {
        const result = schema.safeParse(JSON.parse(Buffer.from(body).toString("utf8")));
        return result.success ? { parsed: result.data } : undefined;
    }
    catch {
        return undefined;
    }
};
