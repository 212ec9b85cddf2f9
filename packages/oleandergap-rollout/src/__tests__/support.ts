/** Shared helpers of the tests of roll-outs. */
import { createMemoryTableService, noFault } from "oleandergap-platform";
import type { Milliseconds, TableService } from "oleandergap-types";
import type { KindTally, ReceivedReport, TargetReport } from "../judge/tally.js";
import type { Rollout, RolloutOrder } from "../rollout.js";

export const SERVICE = { partner: "halloway", service: "wills-desk" };

export const createOrder = (changes: Partial<RolloutOrder> = {}): RolloutOrder =>
    ({ service: SERVICE, id: "order-1", version: "v2", durationMs: 12_000, ...changes });

export const createRollout = (changes: Partial<Rollout> = {}): Rollout =>
    ({ order: createOrder(), orderedAt: 0, state: "running", since: 0, reason: "ordered", ...changes });

/** Creates a tally of requests that all took the same time. */
export const createTally = (
    requests: number,
    failures = 0,
    latencyMs: Milliseconds = 100,
    kind = "view",
): KindTally => {
    const log = Math.log(latencyMs);
    const timed = requests - failures;
    return { kind, requests, failures, timed, logSum: timed * log, logSquareSum: timed * (log ** 2 + 0.4) };
};

export const createReport = (node: string, changes: Partial<TargetReport> = {}): TargetReport => ({
    node,
    epoch: 1,
    sequence: 1,
    version: "v1",
    slots: 6,
    inFlight: 0,
    coldLeftMs: 0,
    tallies: [],
    ...changes,
});

export const toReports = (reports: readonly TargetReport[]): ReadonlyMap<string, ReceivedReport> =>
    new Map(reports.map((report) => [report.node, { report, at: 0 }]));

/** Creates the platform's table of a simulation. */
export const createSimulationTable = (isAvailable: () => boolean): TableService => createMemoryTableService({
    decideFault: () => isAvailable() ? noFault : { kind: "Outage" },
    waitBefore: async () => undefined,
    waitAfter: async () => undefined,
});
