/** Adds the nodes' lines on their processor time up into one table. */
import { z } from "zod";

const timesSchema = z.record(z.string(), z.number().min(0));

/** Times travel as text, since a line's fields are plain values. */
const timesTextSchema = z.string().transform((text, context) => {
    try {
        return timesSchema.parse(JSON.parse(text));
    }
    catch (error) {
        context.addIssue({ code: "custom", message: `no times by name: ${String(error)}` });
        return z.NEVER;
    }
});

/** One node's line on one period; times in milliseconds. */
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

/** Reads a line of a log; undefined for lines on other matters. Text before the line's own object is passed over. */
export const readProfileLine = (line: string): ProfileLine | undefined => {
    const start = line.indexOf("{");
    if (start < 0 || !line.includes("\"processorMs\"")) {
        return undefined;
    }
    try {
        const parsed = profileLineSchema.safeParse(JSON.parse(line.slice(start)));
        return parsed.success ? parsed.data.context : undefined;
    }
    catch {
        // A line that was cut off.
        return undefined;
    }
};

type Times = Readonly<Record<string, number>>;

const addTimes = (all: readonly Times[]): readonly (readonly [name: string, time: number])[] => {
    const sums = new Map<string, number>();
    for (const [name, time] of all.flatMap((times) => Object.entries(times))) {
        sums.set(name, (sums.get(name) ?? 0) + time);
    }
    return [...sums.entries()].sort((left, right) => right[1] - left[1]);
};

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

const MILLISECONDS_PER_SECOND = 1000;
const PERCENT = 100;

const formatRows = (heading: string, rows: readonly (readonly [string, number])[], seconds: number): string[] => {
    const total = sum(rows.map(([, time]) => time));
    return [
        `| ${heading} | ms/s a node | share |`,
        "| --- | --- | --- |",
        ...rows.map(([name, time]) =>
            `| ${name} | ${(time / seconds).toFixed(2)} | ${(time / total * PERCENT).toFixed(1)}% |`),
    ];
};

/** Functions shown; the rest of a line's are of no weight. */
const SHOWN_FUNCTIONS = 25;

/** A table in Markdown. Rates are for one node, in the mean of all lines. */
export const formatProfileTable = (lines: readonly ProfileLine[]): string => {
    const seconds = sum(lines.map(({ periodMs }) => periodMs)) / MILLISECONDS_PER_SECOND;
    if (seconds === 0) {
        return "No line tells of processor time; is `diagnostics.processorProfileMs` set?";
    }
    const rate = (count: number): string => (count / seconds).toFixed(1);
    return [
        `${lines.length} lines, ${seconds.toFixed(0)} s of nodes: ` +
        `${rate(sum(lines.map(({ processorMs }) => processorMs)))} ms/s of processor time, ` +
        `${rate(sum(lines.map(({ wakeUps }) => wakeUps)))} wake-ups/s, ` +
        `${rate(sum(lines.map(({ reads }) => reads)))} reads/s, ${rate(sum(lines.map(({ writes }) => writes)))} writes/s`,
        "",
        ...formatRows("part", addTimes(lines.map(({ parts }) => parts)), seconds),
        "",
        ...formatRows("function", addTimes(lines.map(({ functions }) => functions)).slice(0, SHOWN_FUNCTIONS), seconds),
    ].join("\n");
};
