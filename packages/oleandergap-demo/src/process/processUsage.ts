/** Reads memory usage and CPU time of a process from /proc. */
import { readFile } from "node:fs/promises";
import type { Milliseconds } from "oleandergap-types";

/** Resource usage at one point in time. The difference of two `cpuMs` values is the CPU time used in between. */
export interface ProcessUsage {
    readonly name: string;
    readonly pid: number;
    readonly residentBytes: number;
    /** CPU time since the start of the process. */
    readonly cpuMs: Milliseconds;
}

/** Linux reports the CPU time of processes in hundredths of a second. */
const MS_PER_TICK = 10;
const PAGE_BYTES = 4096;
/** Indexes of user and system time among the fields after the program name. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;
const RESIDENT_FIELD = 1;

/** Returns the current usage, or undefined if the process has exited. */
export const readProcessUsage = async (name: string, pid: number): Promise<ProcessUsage | undefined> => {
    try {
        const [stat, statm] = await Promise.all([
            readFile(`/proc/${pid}/stat`, "utf8"),
            readFile(`/proc/${pid}/statm`, "utf8"),
        ]);
        // The program name is in parentheses and may contain spaces.
        const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
        const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD]);
        const pages = Number(statm.split(" ")[RESIDENT_FIELD]);
        return { name, pid, residentBytes: pages * PAGE_BYTES, cpuMs: ticks * MS_PER_TICK };
    }
    catch {
        return undefined;
    }
};
