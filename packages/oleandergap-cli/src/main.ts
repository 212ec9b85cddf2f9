#!/usr/bin/env node
/** Entry point of the `oleandergap` command. */
import { randomUUID } from "node:crypto";
import { text as readText } from "node:stream/consumers";
import { createSystemClock } from "oleandergap-utils";
import type { Environment } from "./environment.js";
import { runCommandLine } from "./program.js";

const interruptController = new AbortController();
process.once("SIGINT", () => {
    interruptController.abort();
});
process.once("SIGTERM", () => {
    interruptController.abort();
});
// A reader such as `head` may close the pipe early. This is not an error.
process.stdout.on("error", () => undefined);

const environment: Environment = {
    variables: process.env,
    writeOut: (text) => {
        process.stdout.write(text);
    },
    writeError: (text) => {
        process.stderr.write(text);
    },
    readInput: () => readText(process.stdin),
    clock: createSystemClock(),
    createChangeId: randomUUID,
    signal: interruptController.signal,
};

process.exitCode = await runCommandLine(process.argv.slice(2), environment);
