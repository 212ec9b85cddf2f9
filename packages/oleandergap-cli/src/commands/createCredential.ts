/** Command `create-credential`: creates a credential and the row that the platform's administrators add for it. */
import { writeFile } from "node:fs/promises";
import { Command } from "commander";
import { formatOperatorKey, generateCredential, hashCredential, operatorIdentitySchema } from "oleandergap-operator";
import { EXIT_FAILURE, EXIT_USAGE } from "../report/exitCodes.js";
import { reportSuccess, reportFailure, type CommandReport } from "../report/report.js";
import type { CommandRunner } from "../runCommand.js";

interface CreateCredentialOptions {
    readonly partner: string;
    readonly operator: string;
    readonly out: string;
}

/** File mode that permits reading and writing only by the owner. */
const OWNER_ONLY_MODE = 0o600;

/**
 * Writes the credential to a new file. Returns an error code, or undefined on success. An existing file is never
 * overwritten, because it may be the only copy of a credential in use.
 */
const writeNewFile = async (file: string, credential: string): Promise<string | undefined> => {
    try {
        await writeFile(file, `${credential}\n`, { mode: OWNER_ONLY_MODE, flag: "wx" });
        return undefined;
    }
    catch (error) {
        return error instanceof Error && "code" in error ? String(error.code) : "unknown error";
    }
};

const createCredential = async ({ partner, operator, out }: CreateCredentialOptions): Promise<CommandReport> => {
    const identity = operatorIdentitySchema.safeParse({ partner, operator });
    if (!identity.success) {
        const problems = identity.error.issues.map(({ path, message }) => `  ${path.join(".")}: ${message}`);
        return reportFailure(EXIT_USAGE, { kind: "Usage", message: "The names are invalid:" }, problems);
    }
    const credential = generateCredential();
    const errorCode = await writeNewFile(out, credential);
    if (errorCode !== undefined) {
        return reportFailure(EXIT_FAILURE, { kind: "File", message: `The file ${out} cannot be written (${errorCode}).` });
    }
    const row = { key: formatOperatorKey(hashCredential(credential)), value: identity.data };
    return reportSuccess({ file: out, row }, [
        `The credential is in ${out}. Only you can read this file.`,
        "It becomes valid when the platform's administrators add this row to the table service:",
        `  key:   ${row.key}`,
        `  value: ${JSON.stringify(row.value)}`,
        "The row contains only a hash and is not secret. Deleting the row revokes the credential.",
    ]);
};

/** Creates the subcommand `create-credential` with its arguments, options and help. */
export const createCreateCredentialCommand = (runner: CommandRunner): Command =>
    new Command("create-credential")
        .description("Create a credential file and show the table row that makes the credential valid.")
        .requiredOption("--partner <name>", "partner whose table the operator may edit")
        .requiredOption("--operator <name>", "name of the operator in the audit trail")
        .requiredOption("--out <file>", "file to create")
        .action((options: CreateCredentialOptions, command: Command) =>
            runner.runWithoutClient(command, () => createCredential(options)));
