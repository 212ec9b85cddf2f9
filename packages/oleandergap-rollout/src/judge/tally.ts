/** Outcomes of the requests that one target ran, counted by the gate in front of it. */
import { nodeIdSchema, type Milliseconds, type NodeId } from "oleandergap-types";
import { z } from "zod";
import { targetVersionSchema } from "../rollout.js";

/** Maximum number of kinds of requests that are counted separately. Further kinds are counted together. */
export const MAX_KINDS = 5;
/** Name under which further kinds are counted. */
export const OTHER_KINDS = "*";
/** Maximum length of the name of a kind, in characters. Longer names are cut off. */
export const MAX_KIND_LENGTH = 48;

const countSchema = z.number().int().nonnegative();

/** Outcomes of the requests of one kind since the gate began to count. */
export const kindTallySchema = z.strictObject({
    /** Name of the route, or {@link OTHER_KINDS}. */
    kind: z.string().max(MAX_KIND_LENGTH),
    /** Number of requests that ended with a success or a failure of the target. */
    requests: countSchema,
    /** Number of these that failed at the target. */
    failures: countSchema,
    /** Number of requests whose latency is part of the sums. */
    timed: countSchema,
    /** Sum of the natural logarithms of the latencies in milliseconds. */
    logSum: z.number(),
    /** Sum of the squares of these logarithms. */
    logSquareSum: z.number().nonnegative(),
});
/** See {@link kindTallySchema}. */
export type KindTally = z.infer<typeof kindTallySchema>;

/** What a node reports about its target while a roll-out of the target's service is known. */
export const targetReportSchema = z.strictObject({
    node: nodeIdSchema,
    /** Start of the reporting process, so that a report from before a restart is not mistaken for a newer one. */
    epoch: countSchema,
    /** Increases with each report of one process. */
    sequence: countSchema,
    version: targetVersionSchema,
    slots: countSchema,
    /** Number of requests that the target is running. */
    inFlight: countSchema,
    /** Remaining time of the target's cold start in milliseconds. */
    coldLeftMs: countSchema,
    tallies: z.array(kindTallySchema).max(MAX_KINDS + 1),
});
/** See {@link targetReportSchema}. */
export type TargetReport = z.infer<typeof targetReportSchema>;

/** A report and the time at which this node received it. */
export interface ReceivedReport {
    readonly report: TargetReport;
    readonly at: Milliseconds;
}

/** The newest report of each node. */
export type TargetReports = ReadonlyMap<NodeId, ReceivedReport>;

/** Returns whether `next` is newer than `current`. */
export const isNewerReport = (
    current: Pick<TargetReport, "epoch" | "sequence"> | undefined,
    next: Pick<TargetReport, "epoch" | "sequence">,
): boolean =>
    current === undefined ||
    next.epoch > current.epoch ||
    (next.epoch === current.epoch && next.sequence > current.sequence);

/** Creates a tally without requests. */
export const createKindTally = (kind: string): KindTally =>
    ({ kind, requests: 0, failures: 0, timed: 0, logSum: 0, logSquareSum: 0 });

/** Inverse of the precision with which sums are reported. More digits would not fit into a datagram. */
const SUM_SCALE = 100;

/** Returns the tally with its sums rounded for a report. */
export const roundTally = (tally: KindTally): KindTally => ({
    ...tally,
    logSum: Math.round(tally.logSum * SUM_SCALE) / SUM_SCALE,
    logSquareSum: Math.round(tally.logSquareSum * SUM_SCALE) / SUM_SCALE,
});

/** Returns the sum of two tallies under the kind of the first one. */
export const addTallies = (left: KindTally, right: KindTally): KindTally => ({
    kind: left.kind,
    requests: left.requests + right.requests,
    failures: left.failures + right.failures,
    timed: left.timed + right.timed,
    logSum: left.logSum + right.logSum,
    logSquareSum: left.logSquareSum + right.logSquareSum,
});

/** Returns what was counted between two states of one tally. After a restart of the gate, that is the whole new one. */
export const subtractTallies = (later: KindTally, earlier: KindTally | undefined): KindTally =>
    earlier === undefined || later.requests < earlier.requests || later.timed < earlier.timed ?
        later :
        {
            kind: later.kind,
            requests: later.requests - earlier.requests,
            failures: Math.max(0, later.failures - earlier.failures),
            timed: later.timed - earlier.timed,
            logSum: later.logSum - earlier.logSum,
            logSquareSum: Math.max(0, later.logSquareSum - earlier.logSquareSum),
        };
