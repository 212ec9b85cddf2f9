/**
 * Writes every few seconds a line that says which parts of the node took its processor time.
 *
 * Off unless the settings ask for it; nothing is loaded or sampled then. The lines of all nodes are added up by
 * `npm run measure -- profile`.
 */
import { readFileSync } from "node:fs";
import type { Logger } from "oleandergap-logger";
import { MILLISECONDS_PER_SECOND, type Clock, type Milliseconds } from "oleandergap-types";
import { listCostlyFunctions, sumProfile, type SampledProfile } from "./sampledProfile.js";
import type { Sampler } from "./sampler.js";

/** Message of the lines; readers find them by it. */
export const PROFILE_MESSAGE = "Processor time by part.";

/** Functions named in one line. */
const NAMED_FUNCTIONS = 12;

/** What the process has used since its start. */
export interface ProcessUsage {
    readonly processorMs: Milliseconds;
    /** How often it waited for an event. */
    readonly wakeUps: number;
    /** Calls of the system that read or wrote; zero where the system does not tell. */
    readonly reads: number;
    readonly writes: number;
}

export interface ProcessorProfileOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly sampler: Sampler;
    readonly readUsage: () => ProcessUsage;
    /** Distance of two lines. */
    readonly periodMs: Milliseconds;
}

const UNUSED: ProcessUsage = { processorMs: 0, wakeUps: 0, reads: 0, writes: 0 };

/** Where the system keeps the counts of this process's reads and writes. */
const COUNTS_FILE = "/proc/self/io";

const readCount = (text: string, name: string): number => Number(new RegExp(`^${name}: (\\d+)$`, "m").exec(text)?.[1] ?? 0);

const readCounts = (): string => {
    try {
        return readFileSync(COUNTS_FILE, "utf8");
    }
    catch {
        // Not every system has the file or lets it be read; the line then tells zero.
        return "";
    }
};

/** Reads what this process has used. */
export const readProcessUsage = (): ProcessUsage => {
    const { userCPUTime, systemCPUTime, voluntaryContextSwitches } = process.resourceUsage();
    const counts = readCounts();
    return {
        processorMs: (userCPUTime + systemCPUTime) / MILLISECONDS_PER_SECOND,
        wakeUps: voluntaryContextSwitches,
        reads: readCount(counts, "syscr"),
        writes: readCount(counts, "syscw"),
    };
};

/** Times are told in tenths of a millisecond; samples are hardly finer. */
const TOLD_PARTS = 10;

/** As text, since the fields of a line are plain values. */
const formatTimes = (times: Iterable<readonly [string, Milliseconds]>): string => JSON.stringify(
    Object.fromEntries([...times].map(([name, time]) => [name, Math.round(time * TOLD_PARTS) / TOLD_PARTS])),
);

/** Writes lines until `signal` aborts. */
export const startProcessorProfile = (options: ProcessorProfileOptions, signal: AbortSignal): void => {
    const { clock, logger, sampler, readUsage, periodMs } = options;
    // The first line tells of the start of the process as well, which no sample shows.
    let before: ProcessUsage = UNUSED;
    let startedAt = 0;

    const writeLine = (profile: SampledProfile): void => {
        const now = clock.monotonic();
        const usage = readUsage();
        logger.info(PROFILE_MESSAGE, {
            periodMs: Math.round(now - startedAt),
            processorMs: Math.round(usage.processorMs - before.processorMs),
            wakeUps: usage.wakeUps - before.wakeUps,
            reads: usage.reads - before.reads,
            writes: usage.writes - before.writes,
            parts: formatTimes(sumProfile(profile)),
            functions: formatTimes(listCostlyFunctions(profile, NAMED_FUNCTIONS)),
        });
    };

    const schedule = (): void => {
        sampler.start();
        startedAt = clock.monotonic();
        clock.after(periodMs, () => {
            const profile = sampler.stop();
            if (profile !== undefined) {
                writeLine(profile);
                // What the line itself took is not the node's own work.
                before = readUsage();
            }
            if (!signal.aborted) {
                schedule();
            }
        });
    };

    schedule();
};
