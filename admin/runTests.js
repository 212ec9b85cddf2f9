// Runs the tests. Tests that are listed in KNOWN-RED.txt are skipped and printed; they fail because of real faults that
// are not fixed yet. Usage: node admin/runTests.js [arguments of mocha]   (requires a finished build)
// Fields of a line in the list: title of the test | cause | open issue | command | seed | observed failure
import { spawnSync } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import { join } from "node:path";

const MOST_LINES = 8;
const FIELDS = 6;
const listFile = join(import.meta.dirname, "../KNOWN-RED.txt");

const lines = existsSync(listFile) ?
    readFileSync(listFile, "utf8").split("\n").filter((line) => line.trim() !== "") :
    [];
const malformed = lines.filter((line) => line.split(" | ").length !== FIELDS);
if (lines.length > MOST_LINES || malformed.length > 0) {
    process.stderr.write(`KNOWN-RED.txt may contain at most ${MOST_LINES} lines, each with ${FIELDS} fields separated by " | ".\n`);
    process.exit(1);
}

const escapePattern = (text) => text.replaceAll(/[.*+?^${}()|[\]\\/]/g, "\\$&");
const titles = lines.map((line) => line.split(" | ")[0].trim());
const exclusion = titles.length === 0 ?
    [] :
    ["--grep", `^(${titles.map(escapePattern).join("|")})$`, "--invert"];

for (const line of lines) {
    process.stdout.write(`Known failure, skipped: ${line}\n`);
}
const mocha = join(import.meta.dirname, "../node_modules/mocha/bin/mocha.js");
const { status } = spawnSync(process.execPath, [mocha, ...exclusion, ...process.argv.slice(2)], { stdio: "inherit" });
process.exitCode = status ?? 1;
