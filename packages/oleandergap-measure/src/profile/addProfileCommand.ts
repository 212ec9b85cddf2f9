/** The command `npm run measure -- profile`, which sums the CPU time that nodes logged. */
import { createInterface } from "node:readline";
import type { Readable } from "node:stream";
import type { Command } from "commander";
import { formatProfileTable, parseProfileLine, type ProfileLine } from "./profileTable.js";

const readProfileLines = async (input: Readable): Promise<readonly ProfileLine[]> => {
    const lines: ProfileLine[] = [];
    for await (const line of createInterface({ input })) {
        const profileLine = parseProfileLine(line);
        if (profileLine !== undefined) {
            lines.push(profileLine);
        }
    }
    return lines;
};

/** Adds the command, which reads node logs from standard input. */
export const addProfileCommand = (program: Command): void => {
    program
        .command("profile")
        .description("sums the CPU time lines of node logs read from standard input")
        .action(async () => {
            process.stdout.write(`${formatProfileTable(await readProfileLines(process.stdin))}\n`);
        });
};
