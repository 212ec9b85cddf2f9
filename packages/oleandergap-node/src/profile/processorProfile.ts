/**
 * Periodically logs a line with the CPU time of each part of the node.
 *
 * The profile is off by default; nothing is loaded or sampled in that case. `npm run measure -- profile` adds up the
 * lines of all nodes.
 */
import { readFileSync } from "node:fs";
import type { Logger } from "oleandergap-logger";
import { MILLISECONDS_PER_SECOND, type Clock, type Milliseconds } from "oleandergap-types";
import { listCostlyFunctions, sumProfile, type SampledProfile } from "./sampledProfile.js";
import type { Sampler } from "./sampler.js";

/** Message of the log lines, by which readers find them. */
export const PROFILE_MESSAGE = "Processor time by part.";

/** Number of functions in one line. */
const MAX_LISTED_FUNCTIONS = 12;

/** Resource usage of the process since its start. */
export interface ProcessUsage {
    /** CPU time. */
    readonly processorMs: Milliseconds;
    /** Number of voluntary context switches, that is, how often the process waited for an event. */
    readonly wakeUps: number;
    /** Number of read and write system calls; zero if the operating system does not report them. */
    readonly reads: number;
    readonly writes: number;
}

export interface ProcessorProfileOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly sampler: Sampler;
    readonly readUsage: () => ProcessUsage;
    /** Interval between two lines. */
    readonly periodMs: Milliseconds;
}

const ZERO_USAGE: ProcessUsage = { processorMs: 0, wakeUps: 0, reads: 0, writes: 0 };

/** File in which Linux reports the read and write system calls of this process. */
const COUNTS_FILE = "/proc/self/io";

const readCount = (text: string, name: string): number => Number(new RegExp(`^${name}: (\\d+)$`, "m").exec(text)?.[1] ?? 0);

const readCountsFile = (): string => {
    try {
        return readFileSync(COUNTS_FILE, "utf8");
    }
    catch {
        // Not every operating system has this file or allows reading it. The counts are zero in that case.
        return "";
    }
};

/** Reads the resource usage of this process. */
export const readProcessUsage = (): ProcessUsage => {
    const { userCPUTime, systemCPUTime, voluntaryContextSwitches } = process.resourceUsage();
    const counts = readCountsFile();
    return {
        processorMs: (userCPUTime + systemCPUTime) / MILLISECONDS_PER_SECOND,
        wakeUps: voluntaryContextSwitches,
        reads: readCount(counts, "syscr"),
        writes: readCount(counts, "syscw"),
    };
};

/** Times are rounded to tenths of a millisecond, since samples are hardly more precise. */
const ROUNDING_FACTOR = 10;

/** Formats times as JSON text, because the fields of a log line are plain values. */
const formatTimes = (times: Iterable<readonly [string, Milliseconds]>): string => JSON.stringify(
    Object.fromEntries([...times].map(([name, time]) => [name, Math.round(time * ROUNDING_FACTOR) / ROUNDING_FACTOR])),
);

/** Starts the sampler and writes a line per period until `signal` aborts. */
export const startProcessorProfile = (options: ProcessorProfileOptions, signal: AbortSignal): void => {
    const { clock, logger, sampler, readUsage, periodMs } = options;
    // The usage in the first line includes the start of the process, which no sample covers.
    let previousUsage: ProcessUsage = ZERO_USAGE;
    let startedAt = 0;

    const writeLine = (profile: SampledProfile): void => {
        const now = clock.monotonic();
        const usage = readUsage();
        logger.info(PROFILE_MESSAGE, {
            periodMs: Math.round(now - startedAt),
            processorMs: Math.round(usage.processorMs - previousUsage.processorMs),
            wakeUps: usage.wakeUps - previousUsage.wakeUps,
            reads: usage.reads - previousUsage.reads,
            writes: usage.writes - previousUsage.writes,
            parts: formatTimes(sumProfile(profile)),
            functions: formatTimes(listCostlyFunctions(profile, MAX_LISTED_FUNCTIONS)),
        });
    };

    const schedule = (): void => {
        sampler.start();
        startedAt = clock.monotonic();
        clock.after(periodMs, () => {
            const profile = sampler.stop();
            if (profile !== undefined) {
                writeLine(profile);
                // The CPU time of writing the line is excluded from the next period.
                previousUsage = readUsage();
            }
            if (!signal.aborted) {
                schedule();
            }
        });
    };

    schedule();
};
