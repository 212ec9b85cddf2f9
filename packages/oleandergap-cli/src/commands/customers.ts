/** Commands `customers list`, `customers add-keys` and `customers remove-keys`. None of them prints a key. */
import { Command } from "commander";
import * as either from "fp-ts/lib/Either.js";
import type { TableSource } from "oleandergap-operator";
import { customerNameSchema, type CellAddress, type Cells, type CustomerName } from "oleandergap-types";
import { addChangeOptions, type ChangeOptions } from "../changes/changeOptions.js";
import { readKeyDigests, STANDARD_INPUT } from "../changes/keyFile.js";
import { sendChange } from "../changes/sendChange.js";
import { createNotationError } from "../notation/cellNotation.js";
import { parseExpectations } from "../notation/parseLists.js";
import { formatColumns } from "../output/formatColumns.js";
import { reportNotationError, reportOperatorError, reportSuccess, type CommandReport } from "../report/report.js";
import type { CommandRunner, CommandSession } from "../runCommand.js";

interface ListOptions {
    readonly accepted?: boolean;
}

interface KeyOptions extends ChangeOptions {
    readonly file: string;
}

/** A customer as shown to operators. */
interface CustomerSummary {
    readonly name: CustomerName;
    readonly priority: number;
    /** 0 means no limit. */
    readonly ratePerSecond: number;
    readonly burst: number;
    readonly keyCount: number;
}

const CUSTOMERS_PREFIX = "customers/";
const KEY_ENABLED = 1;

const summarizeCustomer = (cells: Cells, name: CustomerName): CustomerSummary => {
    const row = `${CUSTOMERS_PREFIX}${name}`;
    const readNumber = (column: string): number => Number(cells[`${row}/${column}`] ?? 0);
    return {
        name,
        priority: readNumber("priority"),
        ratePerSecond: readNumber("ratePerSecond"),
        burst: readNumber("burst"),
        keyCount: Object.keys(cells).filter((cell) => cell.startsWith(`${row}/keys/`)).length,
    };
};

const summarizeCustomers = (cells: Cells): readonly CustomerSummary[] => {
    const names = Object.keys(cells)
        .filter((cell) => cell.startsWith(CUSTOMERS_PREFIX))
        .map((cell) => cell.split("/")[1] ?? "");
    return [...new Set(names)].sort().map((name) => summarizeCustomer(cells, name));
};

const formatCustomer = ({ name, priority, ratePerSecond, burst, keyCount }: CustomerSummary): readonly string[] => [
    name,
    String(priority),
    ratePerSecond === 0 ? "no limit" : `${ratePerSecond}/s`,
    ratePerSecond === 0 ? "-" : String(burst),
    String(keyCount),
];

const listCustomers = async ({ client }: CommandSession, { accepted }: ListOptions): Promise<CommandReport> => {
    const source: TableSource = accepted === true ? "accepted" : "inForce";
    const response = await client.getTable({ source })();
    if (either.isLeft(response)) {
        return reportOperatorError(response.left);
    }
    const { partner, sequence, cells } = response.right;
    const customers = summarizeCustomers(cells);
    const lines = customers.length === 0 ?
        ["The table has no customers; callers need no key."] :
        formatColumns(["customer", "priority", "quota", "burst", "keys"], customers.map(formatCustomer));
    return reportSuccess({ partner, sequence, customers }, [`${partner}, version ${sequence}`, "", ...lines]);
};

/** A change of the keys of one customer. */
interface KeyChange {
    readonly command: "add-keys" | "remove-keys";
    readonly name: string;
    readonly options: KeyOptions;
}

const changeKeys = async (session: CommandSession, { command, name, options }: KeyChange): Promise<CommandReport> => {
    if (!customerNameSchema.safeParse(name).success) {
        return reportNotationError(createNotationError(name, "not the name of a customer"));
    }
    const digests = await readKeyDigests(options.file, session.environment);
    if (either.isLeft(digests)) {
        return digests.left;
    }
    const expectations = parseExpectations(options.expect ?? []);
    if (either.isLeft(expectations)) {
        return reportNotationError(expectations.left);
    }
    const cells = digests.right.map((digest): CellAddress => `${CUSTOMERS_PREFIX}${name}/keys/${digest}`);
    return sendChange(session, {
        edits: cells.map((cell) => command === "add-keys" ? { cell, value: KEY_ENABLED } : { cell }),
        expectations: expectations.right,
        commandArguments: ["customers", command, name, "--file", options.file],
    }, options);
};

const EXAMPLES = `
Examples:
  $ oleandergap customers list
  $ oleandergap set customers/north-bank/ratePerSecond=400 customers/north-bank/burst=800
  $ oleandergap customers add-keys north-bank --file new-keys.txt --wait
  $ generate-key | oleandergap customers add-keys north-bank --file -

A file holds one key in each line. The command sends SHA-256 digests only: the table, its history and the audit trail
contain no keys. Once a table has a customer, callers without a known key are refused.`;

const addKeyCommand = (parent: Command, runner: CommandRunner, name: KeyChange["command"], text: string): void => {
    addChangeOptions(parent.command(name))
        .description(text)
        .argument("<customer>", "name of the customer")
        .requiredOption("-f, --file <file>", `file with one key in each line; ${STANDARD_INPUT} reads standard input`)
        .action((customer: string, options: KeyOptions, subcommand: Command) =>
            runner.runWithClient(subcommand, (session) =>
                changeKeys(session, { command: name, name: customer, options })));
};

/** Creates the command `customers` with its subcommands. */
export const createCustomersCommand = (runner: CommandRunner): Command => {
    const command = new Command("customers")
        .description("Show your customers, and add or remove their keys.")
        .addHelpText("after", EXAMPLES);
    command.command("list", { isDefault: true })
        .description("Show the customers with priority, quota and number of keys.")
        .option("--accepted", "show the newest accepted version, read from the platform, instead of the version in force")
        .action((options: ListOptions, subcommand: Command) =>
            runner.runWithClient(subcommand, (session) => listCustomers(session, options)));
    addKeyCommand(command, runner, "add-keys", "Add keys to a customer in one change.");
    addKeyCommand(command, runner, "remove-keys", "Remove keys from a customer in one change.");
    return command;
};
