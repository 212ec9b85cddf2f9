/** Sums the CPU time lines of node logs into one table. */
import { z } from "zod";

const timesSchema = z.record(z.string(), z.number().min(0));

/** Times are logged as JSON text, because the fields of a log line are scalar values. */
const timesTextSchema = z.string().transform((text, context) => {
    try {
        return timesSchema.parse(JSON.parse(text));
    }
    catch (error) {
        context.addIssue({ code: "custom", message: `invalid times by name: ${String(error)}` });
        return z.NEVER;
    }
});

/** CPU time line of one node for one period; times in milliseconds. */
const profileLineSchema = z.object({
    context: z.object({
        periodMs: z.number().positive(),
        processorMs: z.number(),
        wakeUps: z.number(),
        reads: z.number(),
        writes: z.number(),
        parts: timesTextSchema,
        functions: timesTextSchema,
    }),
});
export type ProfileLine = z.output<typeof profileLineSchema>["context"];

/** Parses a log line. Returns undefined for lines without CPU times. Text before the JSON object is ignored. */
export const parseProfileLine = (line: string): ProfileLine | undefined => {
    const start = line.indexOf("{");
    if (start < 0 || !line.includes("\"processorMs\"")) {
        return undefined;
    }
    try {
        const parsed = profileLineSchema.safeParse(JSON.parse(line.slice(start)));
        return parsed.success ? parsed.data.context : undefined;
    }
    catch {
        // The line is truncated.
        return undefined;
    }
};

type TimesByName = Readonly<Record<string, number>>;

const sumTimesByName = (timesOfLines: readonly TimesByName[]): readonly (readonly [name: string, time: number])[] => {
    const sums = new Map<string, number>();
    for (const [name, time] of timesOfLines.flatMap((times) => Object.entries(times))) {
        sums.set(name, (sums.get(name) ?? 0) + time);
    }
    return [...sums.entries()].sort((left, right) => right[1] - left[1]);
};

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

const MILLISECONDS_PER_SECOND = 1000;
const PERCENT = 100;

const formatTableLines = (heading: string, rows: readonly (readonly [string, number])[], seconds: number): string[] => {
    const total = sum(rows.map(([, time]) => time));
    return [
        `| ${heading} | ms/s per node | share |`,
        "| --- | --- | --- |",
        ...rows.map(([name, time]) =>
            `| ${name} | ${(time / seconds).toFixed(2)} | ${(time / total * PERCENT).toFixed(1)}% |`),
    ];
};

/** Number of functions in the table; the others use hardly any CPU time. */
const MAX_FUNCTION_ROWS = 25;

/** Formats the lines as a Markdown table. Rates are per node, averaged over all lines. */
export const formatProfileTable = (lines: readonly ProfileLine[]): string => {
    const seconds = sum(lines.map(({ periodMs }) => periodMs)) / MILLISECONDS_PER_SECOND;
    if (seconds === 0) {
        return "No line reports CPU time; is `diagnostics.processorProfileMs` set?";
    }
    const toRate = (count: number): string => (count / seconds).toFixed(1);
    return [
        `${lines.length} lines, ${seconds.toFixed(0)} s of node time: ` +
        `${toRate(sum(lines.map(({ processorMs }) => processorMs)))} ms/s of CPU time, ` +
        `${toRate(sum(lines.map(({ wakeUps }) => wakeUps)))} wake-ups/s, ` +
        `${toRate(sum(lines.map(({ reads }) => reads)))} reads/s, ${toRate(sum(lines.map(({ writes }) => writes)))} writes/s`,
        "",
        ...formatTableLines("part", sumTimesByName(lines.map(({ parts }) => parts)), seconds),
        "",
        ...formatTableLines(
            "function",
            sumTimesByName(lines.map(({ functions }) => functions)).slice(0, MAX_FUNCTION_ROWS),
            seconds,
        ),
    ].join("\n");
};
