/** Options of the commands that change the table. */
import type { Command } from "commander";
import { parseSeconds } from "../settings/parseNumber.js";

/** The options as parsed by commander. */
export interface ChangeOptions {
    readonly expect?: readonly string[];
    readonly changeId?: string;
    readonly wait?: boolean;
    /** Maximum time to wait, in seconds. */
    readonly timeout: number;
}

/** Default maximum time to wait until a version is in force on every node, in seconds. */
export const DEFAULT_WAIT_SECONDS = 30;

/** Collects the values of an option that may be given several times. */
export const collectValues = (value: string, previousValues: readonly string[] = []): readonly string[] =>
    [...previousValues, value];

/** Adds the options to `command` and returns the command. */
export const addChangeOptions = (command: Command): Command => command
    .option("--expect <cell=old>", "value that a cell must have now; CELL= for an empty cell (repeatable)", collectValues)
    .option("--change-id <id>", "id of the change to repeat after an unknown outcome")
    .option("--wait", "wait until the change is in force on every node")
    .option("--timeout <seconds>", "maximum time to wait with --wait", parseSeconds, DEFAULT_WAIT_SECONDS);
