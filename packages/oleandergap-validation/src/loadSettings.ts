/** Reads a YAML settings file and validates it against a schema. Strict schemas reject unknown keys. */
import { readFile } from "node:fs/promises";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import { parse } from "yaml";
import type { z } from "zod";
import type { SettingsError, SettingsIssue } from "./settingsError.js";

/** Maximum length of an invalid value in an error, in characters. */
const MAX_FORMATTED_VALUE_LENGTH = 80;
const SECRET_KEY_PATTERN = /secret|token|password|credential/i;

const getValueAtPath = (value: unknown, path: readonly PropertyKey[]): unknown =>
    path.reduce<unknown>(
        (inner, key) => typeof inner === "object" && inner !== null ? Reflect.get(inner, key) : undefined,
        value,
    );

/**
 * Formats an invalid value for an error, which helps to correct the value. Values below a key that may hold a secret
 * are not included, so that the error can be logged.
 */
const formatValue = (value: unknown, path: readonly PropertyKey[]): string => {
    if (value === undefined) {
        return "nothing";
    }
    if (path.some((key) => SECRET_KEY_PATTERN.test(String(key)))) {
        return "a value that is not shown";
    }
    const text = JSON.stringify(value);
    return text.length > MAX_FORMATTED_VALUE_LENGTH ? `${text.slice(0, MAX_FORMATTED_VALUE_LENGTH)}...` : text;
};

const createIssue = (value: unknown) => (issue: z.core.$ZodIssue): SettingsIssue => ({
    path: issue.path.map(String).join("."),
    found: issue.code === "unrecognized_keys" ?
        `the unknown key ${issue.keys.map((key) => JSON.stringify(key)).join(", ")}` :
        formatValue(getValueAtPath(value, issue.path), issue.path),
    allowed: issue.message,
});

/** Validates a parsed value; `file` is only used to report the source of the value in errors. */
export const validateSettings = <Schema extends z.ZodType>(
    schema: Schema,
    value: unknown,
    file: string,
): Either<SettingsError, z.output<Schema>> => {
    const result = schema.safeParse(value);
    return result.success ?
        either.right(result.data) :
        either.left({ kind: "Invalid", file, issues: result.error.issues.map(createIssue(value)) });
};

const parseYaml = (file: string, text: string): Either<SettingsError, unknown> =>
    either.tryCatch(
        (): unknown => parse(text),
        (error): SettingsError => ({
            kind: "NotYaml",
            file,
            detail: error instanceof Error ? error.message : String(error),
        }),
    );

const readText = (file: string): TaskEither<SettingsError, string> => async () => {
    try {
        return either.right(await readFile(file, "utf8"));
    }
    catch (error) {
        const detail = error instanceof Error ? error.message : String(error);
        return either.left({ kind: "Unreadable", file, detail });
    }
};

/** Reads, parses and validates `file`. */
export const loadSettings = <Schema extends z.ZodType>(
    schema: Schema,
    file: string,
): TaskEither<SettingsError, z.output<Schema>> => async () => {
    const text = await readText(file)();
    if (either.isLeft(text)) {
        return text;
    }
    const value = parseYaml(file, text.right);
    return either.isLeft(value) ? value : validateSettings(schema, value.right, file);
};
