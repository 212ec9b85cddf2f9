// Runs experiments and writes docs/MEASUREMENTS.md with the figures from these runs.
// Usage: node admin/writeMeasurements.js [experiment[:nodes] ...]   (default: all; requires a finished build)
// A failed experiment is reported as failed; the page never shows figures of an earlier run in its place.
import { spawnSync } from "node:child_process";
import { appendFileSync, mkdirSync, readFileSync, writeFileSync, existsSync } from "node:fs";
import { availableParallelism, loadavg, totalmem } from "node:os";
import { join } from "node:path";

const root = join(import.meta.dirname, "..");
const program = join(root, "packages/oleandergap-measure/lib/main.js");
const resultsFile = join(root, ".measure/results.jsonl");
const pageFile = join(root, "docs/MEASUREMENTS.md");
const timeoutMs = 400_000;

const defaultRuns = [
    "convergence:22", "convergence:60", "convergence:120",
    "restart-storm:22", "platform-outage:22", "zone-cut:22",
    "overload", "slow-target", "silent-connections", "at-most-once", "rolling-restart", "overhead",
];

const runExperiment = (run) => {
    const [name, nodes] = run.split(":");
    const nodeArguments = nodes === undefined ? [] : ["--nodes", nodes];
    const startedAt = new Date().toISOString().slice(0, 16);
    const load = loadavg()[0].toFixed(1);
    const child = spawnSync(process.execPath, [program, name, ...nodeArguments], {
        encoding: "utf8", timeout: timeoutMs, stdio: ["ignore", "pipe", "inherit"],
    });
    const lastLine = child.stdout.trim().split("\n").at(-1) ?? "";
    const result = child.status === 0 ? JSON.parse(lastLine) : undefined;
    return { run, startedAt, load, result };
};

const formatFigures = ({ ours, naive }) => {
    const names = [...new Set([...Object.keys(ours), ...Object.keys(naive)])];
    const show = (value) => value === undefined || value === null ? "" : value.toLocaleString("en-GB");
    return [
        "| figure | ours | naive |",
        "| --- | ---: | ---: |",
        ...names.map((name) => `| ${name} | ${show(ours[name])} | ${show(naive[name])} |`),
    ].join("\n");
};

const formatRun = ({ run, startedAt, load, result }) => [
    `## ${run.replace(":", ", ")}${run.includes(":") ? " nodes" : ""}`,
    "",
    `Run ${startedAt}Z, load average ${load} at the start.`,
    "",
    result === undefined ? "**Failed: the run returned no figures.**" : formatFigures(result),
    "",
].join("\n");

const readResults = () => {
    if (!existsSync(resultsFile)) {
        return [];
    }
    const lines = readFileSync(resultsFile, "utf8").trim().split("\n").map((line) => JSON.parse(line));
    return [...new Map(lines.map((line) => [line.run, line])).values()];
};

const writePage = (results) => {
    const ordered = [...results].sort((left, right) => defaultRuns.indexOf(left.run) - defaultRuns.indexOf(right.run));
    const machine = `${availableParallelism()} cores, ${Math.round(totalmem() / 2 ** 30)} GiB, Node.js ${process.version}`;
    writeFileSync(pageFile, [
        "# Measurements",
        "",
        "Written by `node admin/writeMeasurements.js`; each table shows the last run of an experiment. Real daemons, stand-ins",
        `and callers share one machine (${machine}), so latencies include their effects on each other. Each run includes the`,
        "naive version; the module of each experiment in `packages/oleandergap-measure/src` describes it at the top.",
        "",
        ...ordered.map(formatRun),
    ].join("\n"));
};

mkdirSync(join(root, ".measure"), { recursive: true });
const wanted = process.argv.length > 2 ? process.argv.slice(2) : defaultRuns;
for (const run of wanted) {
    process.stderr.write(`Running ${run}.\n`);
    appendFileSync(resultsFile, `${JSON.stringify(runExperiment(run))}\n`);
    writePage(readResults());
}
