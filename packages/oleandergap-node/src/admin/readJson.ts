/** Reads and validates small JSON request bodies. */
import type { IncomingMessage } from "node:http";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { z } from "zod";

/** Maximum size of a body, in bytes. */
const MAX_JSON_BYTES = 16 * 1024;

const readText = async (request: IncomingMessage): Promise<string | undefined> => {
    const chunks: Buffer[] = [];
    let total = 0;
    for await (const chunk of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
        total += chunk.length;
        if (total > MAX_JSON_BYTES) {
            return undefined;
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
};

const describeIssue = (issue: z.core.$ZodIssue): string => `${issue.path.map(String).join(".")}: ${issue.message}`;

const parseText = <Schema extends z.ZodType>(schema: Schema, text: string): Either<string, z.output<Schema>> => {
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch {
        return either.left("the body is not JSON");
    }
    const result = schema.safeParse(value);
    return result.success ? either.right(result.data) : either.left(result.error.issues.map(describeIssue).join("; "));
};

const readBody = async (request: IncomingMessage): Promise<Either<string, string>> => {
    try {
        const text = await readText(request);
        return text === undefined ?
            either.left(`the body is longer than ${MAX_JSON_BYTES} bytes`) :
            either.right(text);
    }
    catch {
        return either.left("the body broke off");
    }
};

/** Reads the body and validates it against `schema`. The left side is an error message. */
export const readJson = async <Schema extends z.ZodType>(
    request: IncomingMessage,
    schema: Schema,
): Promise<Either<string, z.output<Schema>>> =>
    either.chain((text: string) => parseText(schema, text))(await readBody(request));

/** Like `readJson`, but accepts an empty body and returns undefined for it. */
export const readOptionalJson = async <Schema extends z.ZodType>(
    request: IncomingMessage,
    schema: Schema,
): Promise<Either<string, z.output<Schema> | undefined>> =>
    either.chain((text: string) => text === "" ? either.right(undefined) : parseText(schema, text))(
        await readBody(request),
    );
