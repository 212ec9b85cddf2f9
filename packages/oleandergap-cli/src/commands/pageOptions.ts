/** Options of commands with paginated output. */
import type { Command } from "commander";
import type { Sequence } from "oleandergap-types";
import { createNumberParser } from "../settings/parseNumber.js";

const MAX_PAGE_SIZE = 100;
const DEFAULT_PAGE_SIZE = 20;

/** Selects the entries to show: at most `limit` entries of versions below `before`. */
export interface PageOptions {
    readonly limit: number;
    readonly before?: Sequence;
}

/** Adds the options to `command` and returns the command. */
export const addPageOptions = (command: Command): Command => command
    .option("--limit <number>", "maximum number of entries to show", createNumberParser(1, MAX_PAGE_SIZE), DEFAULT_PAGE_SIZE)
    .option("--before <version>", "only entries of versions below this one", createNumberParser(1));

interface PageResponse {
    /** Value of `before` for the next page; absent on the last page. */
    readonly before?: Sequence | undefined;
}

/** Returns a line with the command that shows older entries, or no line when there are none. */
export const formatNextPage = (command: string, { before }: PageResponse): readonly string[] =>
    before === undefined ? [] : [`Older entries: oleandergap ${command} --before ${before}`];
