/** `npm run measure -- profile`: adds up what nodes wrote of their processor time. */
import { createInterface } from "node:readline";
import type { Readable } from "node:stream";
import type { Command } from "commander";
import { formatProfileTable, readProfileLine, type ProfileLine } from "./profileTable.js";

const readLines = async (input: Readable): Promise<readonly ProfileLine[]> => {
    const lines: ProfileLine[] = [];
    for await (const line of createInterface({ input })) {
        const read = readProfileLine(line);
        if (read !== undefined) {
            lines.push(read);
        }
    }
    return lines;
};

/** Adds the command, which reads nodes' logs from standard input. */
export const addProfileCommand = (program: Command): void => {
    program
        .command("profile")
        .description("sums up the lines on processor time in nodes' logs on standard input")
        .action(async () => {
            process.stdout.write(`${formatProfileTable(await readLines(process.stdin))}\n`);
        });
};
