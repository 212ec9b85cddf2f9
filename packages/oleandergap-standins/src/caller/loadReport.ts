/** Aggregates the results of a load run. */
import type { Milliseconds } from "oleandergap-types";
import type { CallResult } from "./callResult.js";
import { createLatencyRecorder, type LatencySummary } from "./latencyRecorder.js";

/** Maximum number of wrong results that are kept as examples. */
const MAX_EXAMPLES = 5;

/** Summary of a load run. */
export interface LoadReport {
    /** Time during which requests arrived. */
    readonly durationMs: Milliseconds;
    readonly sent: number;
    /**
     * Arrivals that were not sent because too many requests were in flight. A run with such arrivals is not an open
     * loop.
     */
    readonly notSent: number;
    readonly answered: number;
    readonly refused: number;
    readonly failed: number;
    readonly wrong: number;
    /** Latency of the answered requests. */
    readonly answers: LatencySummary;
    /** Latency of the refused requests. */
    readonly refusals: LatencySummary;
    /** Number of refusals by reason, or by status for refusals without a reason. */
    readonly refusedByReason: Readonly<Record<string, number>>;
    readonly failedByDetail: Readonly<Record<string, number>>;
    readonly answeredByTarget: Readonly<Record<string, number>>;
    readonly wrongExamples: readonly string[];
}

/** Collects results during a run. */
export interface ReportBuilder {
    readonly add: (callResult: CallResult) => void;
    readonly addNotSent: () => void;
    readonly build: (durationMs: Milliseconds) => LoadReport;
}

const increment = (counts: Map<string, number>, name: string): void => {
    counts.set(name, (counts.get(name) ?? 0) + 1);
};

const sumCounts = (counts: ReadonlyMap<string, number>): number =>
    [...counts.values()].reduce((total, count) => total + count, 0);

/** Creates a report builder for one run. */
export const createReportBuilder = (): ReportBuilder => {
    const answers = createLatencyRecorder();
    const refusals = createLatencyRecorder();
    const byTarget = new Map<string, number>();
    const byReason = new Map<string, number>();
    const byDetail = new Map<string, number>();
    const wrongExamples: string[] = [];
    let wrong = 0;
    let notSent = 0;

    const add = (result: CallResult): void => {
        switch (result.kind) {
            case "Answered":
                answers.record(result.latencyMs);
                increment(byTarget, result.target);
                return;
            case "Refused":
                refusals.record(result.latencyMs);
                increment(byReason, result.reason ?? `status ${result.status}`);
                return;
            case "Failed":
                increment(byDetail, result.detail);
                return;
            case "Wrong":
                wrong += 1;
                if (wrongExamples.length < MAX_EXAMPLES) {
                    wrongExamples.push(result.detail);
                }
        }
    };

    const build = (durationMs: Milliseconds): LoadReport => {
        const answered = sumCounts(byTarget);
        const refused = sumCounts(byReason);
        const failed = sumCounts(byDetail);
        return {
            durationMs,
            sent: answered + refused + failed + wrong,
            notSent,
            answered,
            refused,
            failed,
            wrong,
            answers: answers.summarise(),
            refusals: refusals.summarise(),
            refusedByReason: Object.fromEntries(byReason),
            failedByDetail: Object.fromEntries(byDetail),
            answeredByTarget: Object.fromEntries(byTarget),
            wrongExamples,
        };
    };

    return {
        add,
        addNotSent: () => {
            notSent += 1;
        },
        build,
    };
};
