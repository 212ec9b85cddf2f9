/** Reads customers' keys from a file or from standard input. No message contains a key. */
import { readFile } from "node:fs/promises";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { MAX_CELLS_PER_CHANGE, type KeyDigest } from "oleandergap-types";
import { digestCustomerKey, isCustomerKey } from "oleandergap-utils";
import type { Environment } from "../environment.js";
import { EXIT_USAGE } from "../report/exitCodes.js";
import { reportFailure, type CommandReport } from "../report/report.js";

/** File name that stands for standard input. */
export const STANDARD_INPUT = "-";

const reportKeyFileProblem = (message: string): CommandReport =>
    reportFailure(EXIT_USAGE, { kind: "KeyFile", message });

/** Returns the content, or undefined if it cannot be read. */
const readText = async (file: string, { readInput }: Environment): Promise<string | undefined> => {
    try {
        return file === STANDARD_INPUT ? await readInput() : await readFile(file, "utf8");
    }
    catch {
        return undefined;
    }
};

/** Reads the keys, one in each line, and returns their digests. Errors are returned as a complete report. */
export const readKeyDigests = async (
    file: string,
    environment: Environment,
): Promise<Either<CommandReport, readonly KeyDigest[]>> => {
    const text = await readText(file, environment);
    if (text === undefined) {
        return either.left(reportKeyFileProblem(`The keys cannot be read from ${file}.`));
    }
    const lines = text.split("\n").map((line) => line.trim());
    const invalidIndex = lines.findIndex((line) => line !== "" && !isCustomerKey(line));
    if (invalidIndex >= 0) {
        return either.left(reportKeyFileProblem(
            `Line ${invalidIndex + 1} of ${file} is not a key; use up to 512 visible ASCII characters without spaces.`,
        ));
    }
    const digests = [...new Set(lines.filter((line) => line !== "").map(digestCustomerKey))];
    return digests.length === 0 || digests.length > MAX_CELLS_PER_CHANGE ?
        either.left(reportKeyFileProblem(
            `${file} contains ${digests.length} keys; use 1 to ${MAX_CELLS_PER_CHANGE}, one in each line.`,
        )) :
        either.right(digests);
};
