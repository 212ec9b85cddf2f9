/** Runs the operators' command-line tool against a fleet, as an operator would. */
import { execFile } from "node:child_process";
import type { Milliseconds, NodeId, PartnerName } from "oleandergap-types";
import { z } from "zod";
import type { Fleet } from "./fleet.js";
import { programs } from "./programs.js";

const COMMAND_TIMEOUT: Milliseconds = 60_000;

/** Returns the command-line options that select a node and the credential of an operator. */
export const formatAccessOptions = (fleet: Fleet, partner: PartnerName, nodeId: NodeId): readonly string[] => {
    const { vm } = fleet.node(nodeId);
    return [
        "--node", `${vm.address}:${fleet.plan.ports.control}`,
        "--credential-file", fleet.access(partner).credentialFile,
    ];
};

/** One operator command. */
export interface CommandRun {
    readonly partner: PartnerName;
    /** Node to which the command is sent. */
    readonly nodeId: NodeId;
    /** The command and its arguments, for example `["drain", "hall-a-1"]`. */
    readonly commandArguments: readonly string[];
}

/** Output of the command-line tool with `--json`. */
const outputSchema = z.discriminatedUnion("ok", [
    z.object({ ok: z.literal(true), result: z.unknown() }),
    z.object({ ok: z.literal(false), error: z.object({ message: z.string() }) }),
]);

/** Returns the result from the output. Throws an error with the reason if the command failed. */
const readResult = (commandArguments: readonly string[], standardOutput: string, standardError: string): unknown => {
    const command = `oleandergap ${commandArguments.join(" ")}`;
    if (standardOutput.trim() === "") {
        throw new Error(`${command} produced no output: ${standardError}`);
    }
    const output = outputSchema.parse(JSON.parse(standardOutput));
    if (!output.ok) {
        throw new Error(`${command}: ${output.error.message}`);
    }
    return output.result;
};

interface ProcessOutput {
    readonly standardOutput: string;
    readonly standardError: string;
}

/** Runs a program. Resolves even if the program fails, because its output contains the reason. */
const runProgram = (
    program: string,
    programArguments: readonly string[],
    signal: AbortSignal,
): Promise<ProcessOutput> =>
    new Promise((resolve) => {
        const options = { timeout: COMMAND_TIMEOUT, signal };
        execFile(process.execPath, [program, ...programArguments], options, (error, standardOutput, standardError) => {
            resolve({ standardOutput, standardError: standardError || (error?.message ?? "") });
        });
    });

/** Runs a command and returns its result. Rejects with the error message of the command if it failed. */
export const runCommand = async (fleet: Fleet, { partner, nodeId, commandArguments }: CommandRun): Promise<unknown> => {
    const options = ["--json", ...formatAccessOptions(fleet, partner, nodeId)];
    const output = await runProgram(programs.commandLine, [...options, ...commandArguments], fleet.signal);
    fleet.signal.throwIfAborted();
    return readResult(commandArguments, output.standardOutput, output.standardError);
};
