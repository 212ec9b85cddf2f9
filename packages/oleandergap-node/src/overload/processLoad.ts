/**
 * Reads how much of its time the event loop of this process was busy, and how much CPU time the process used.
 *
 * A process that is busy all the time serves late whatever it decides. Its CPU time tells whether it lacked CPU time
 * (less than a core although always busy) or used all there is.
 */
import { performance } from "node:perf_hooks";
import type { Milliseconds } from "oleandergap-types";

/** Load of the process since the previous reading. */
export interface ProcessLoad {
    /** Share of the time in which the event loop did not wait for events. */
    readonly busyShare: number;
    readonly cpuMs: Milliseconds;
}

/** Returns the load since its previous call. */
export type ReadProcessLoad = () => ProcessLoad;

const MICROSECONDS_PER_MILLISECOND = 1000;

/** Creates a reader whose first reading covers the time since this call. */
export const createProcessLoadReader = (): ReadProcessLoad => {
    let earlierUtilization = performance.eventLoopUtilization();
    let earlierUsage = process.cpuUsage();
    return () => {
        const utilization = performance.eventLoopUtilization();
        const usage = process.cpuUsage(earlierUsage);
        const { utilization: busyShare } = performance.eventLoopUtilization(utilization, earlierUtilization);
        earlierUtilization = utilization;
        earlierUsage = process.cpuUsage();
        return { busyShare, cpuMs: (usage.user + usage.system) / MICROSECONDS_PER_MILLISECOND };
    };
};
