/** Options that are common to all commands, and the client that is created from them. */
import { dirname, resolve } from "node:path";
import type { Command } from "commander";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { createOperatorClient, type NodeAddress, type OperatorClient } from "oleandergap-operator";
import { formatSettingsError, loadSettings, validateSettings } from "oleandergap-validation";
import { readCredentialFile } from "./credentialFile.js";
import { SETTINGS_VARIABLE, type Environment } from "../environment.js";
import { EXIT_REFUSED, EXIT_USAGE } from "../report/exitCodes.js";
import { quoteShellWord } from "../notation/shellWord.js";
import { reportFailure, type CommandReport } from "../report/report.js";
import { commandLineSettingsSchema, defaultTimeoutMs, type CommandLineSettings } from "./settings.js";

/** The options as parsed by commander. */
export interface GlobalOptions {
    readonly settings?: string;
    readonly node?: readonly string[];
    readonly credentialFile?: string;
    readonly json?: boolean;
    readonly checkSettings?: boolean;
}

/** Returns the options of `command` and of the program that it belongs to. */
export const readGlobalOptions = (command: Command): GlobalOptions => command.optsWithGlobals<GlobalOptions>();

/** Formats the given options as arguments of a command line that repeats the command. */
export const formatGlobalOptions = ({ settings, node, credentialFile }: GlobalOptions): readonly string[] => [
    ...settings === undefined ? [] : ["--settings", quoteShellWord(settings)],
    ...(node ?? []).flatMap((address) => ["--node", quoteShellWord(address)]),
    ...credentialFile === undefined ? [] : ["--credential-file", quoteShellWord(credentialFile)],
];

const NODE_PATTERN = /^(?:\[([0-9A-Fa-f:.]+)\]|([0-9.]+)):([0-9]{1,5})$/;

/** Parses `ADDRESS:PORT`. The settings schema validates the address and the port. */
const parseNode = (text: string): NodeAddress | string => {
    const [, ipv6, ipv4, port] = NODE_PATTERN.exec(text) ?? [];
    const address = ipv6 ?? ipv4;
    return address === undefined ? text : { address, port: Number(port) };
};

const reportUsageError = (message: string): CommandReport => reportFailure(EXIT_USAGE, { kind: "Usage", message });
const reportSettingsError = (message: string): CommandReport => {
    const [first = "", ...detailLines] = message.split("\n");
    return reportFailure(EXIT_USAGE, { kind: "Settings", message: first }, detailLines);
};

const loadSettingsFile = async (file: string): Promise<Either<CommandReport, CommandLineSettings>> => {
    const loaded = await loadSettings(commandLineSettingsSchema, file)();
    if (either.isLeft(loaded)) {
        return either.left(reportSettingsError(formatSettingsError(loaded.left)));
    }
    return either.right({ ...loaded.right, credentialFile: resolve(dirname(file), loaded.right.credentialFile) });
};

/** Reads the settings from the file, if any. Options of the command line override them. */
export const readSettings = async (
    options: GlobalOptions,
    environment: Environment,
): Promise<Either<CommandReport, CommandLineSettings>> => {
    const file = options.settings ?? environment.variables[SETTINGS_VARIABLE];
    if (file === undefined && (options.node === undefined || options.credentialFile === undefined)) {
        return either.left(reportUsageError(
            `Specify a settings file with --settings or ${SETTINGS_VARIABLE}, or give --node and --credential-file.`,
        ));
    }
    const fromFile = file === undefined ? undefined : await loadSettingsFile(file);
    if (fromFile !== undefined && either.isLeft(fromFile)) {
        return fromFile;
    }
    const mergedSettings = {
        timeoutMs: defaultTimeoutMs,
        ...fromFile?.right,
        ...options.node === undefined ? {} : { nodes: options.node.map(parseNode) },
        ...options.credentialFile === undefined ? {} : { credentialFile: resolve(options.credentialFile) },
    };
    const validated = validateSettings(commandLineSettingsSchema, mergedSettings, "command line");
    return either.mapLeft((error: Parameters<typeof formatSettingsError>[0]) =>
        reportSettingsError(formatSettingsError(error)))(validated);
};

/** Creates the client for a command. Returns a failure report when the settings or the credential are invalid. */
export const openClient = async (
    options: GlobalOptions,
    environment: Environment,
): Promise<Either<CommandReport, OperatorClient>> => {
    const settings = await readSettings(options, environment);
    if (either.isLeft(settings)) {
        return settings;
    }
    const { nodes, credentialFile, timeoutMs } = settings.right;
    const credential = await readCredentialFile(credentialFile)();
    if (either.isLeft(credential)) {
        const { kind, problem } = credential.left;
        return either.left(reportFailure(EXIT_REFUSED, { kind, message: problem }));
    }
    const { clock, signal } = environment;
    return either.right(createOperatorClient({ nodes, credential: credential.right, timeoutMs, clock, signal }));
};
