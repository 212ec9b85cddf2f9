/** Compares the verdicts that callers received with the runs of the targets. */
import type { Caller, CallResult, RunsReport } from "oleandergap-standins";
import type { Verdict } from "oleandergap-types";
import type { Figures } from "../experiment.js";

/** Records the verdict that callers received for each run key. */
export interface VerdictLedger {
    readonly record: (result: CallResult) => void;
    /** Compares the verdicts with `runs`. Must be called when no recorded request can run any more. */
    readonly audit: (runs: RunsReport) => RunAudit;
}

/** Result of an audit. Only recorded keys are counted. */
export interface RunAudit {
    readonly keys: number;
    readonly runsPerKeyMax: number;
    /** Number of keys with more than one run. */
    readonly keysRunTwice: number;
    /** Number of keys with no verdict but `notRun`. If it is 0, the audit cannot show whether `notRun` is reliable. */
    readonly keysToldNotRun: number;
    /** Keys with no verdict but `notRun` that a target ran. */
    readonly notRunButRan: readonly string[];
    /** Number of keys with a complete response that no target ran. */
    readonly answeredWithoutRun: number;
    /** Keys with more than one run. */
    readonly duplicateRunKeys: readonly string[];
}

/** Rank of each verdict. A later verdict never replaces an earlier one of a higher rank. */
const VERDICT_RANK: Readonly<Record<Verdict, number>> = { notRun: 0, mayHaveRun: 1, ran: 2 };

/** Returns the verdict of a result. A refusal without a verdict guarantees nothing, so it counts as `mayHaveRun`. */
export const readVerdict = (result: CallResult): Verdict => {
    switch (result.kind) {
        case "Answered":
        case "Wrong":
            return "ran";
        case "Refused":
            return result.verdict ?? "mayHaveRun";
        case "Failed":
            return result.verdict;
    }
};

/** Creates an empty ledger. */
export const createVerdictLedger = (): VerdictLedger => {
    const verdicts = new Map<string, Verdict>();
    const answeredKeys = new Set<string>();
    return {
        record: (result) => {
            const verdict = readVerdict(result);
            const previousVerdict = verdicts.get(result.runKey);
            if (previousVerdict === undefined || VERDICT_RANK[verdict] > VERDICT_RANK[previousVerdict]) {
                verdicts.set(result.runKey, verdict);
            }
            if (result.kind === "Answered") {
                answeredKeys.add(result.runKey);
            }
        },
        audit: ({ keys }) => {
            const runsByKey = new Map(keys.map(({ key, runs }) => [key, runs]));
            const countRuns = (key: string): number => runsByKey.get(key) ?? 0;
            const recordedKeys = [...verdicts.keys()];
            const reportedNotRun = recordedKeys.filter((key) => verdicts.get(key) === "notRun");
            const duplicateRunKeys = recordedKeys.filter((key) => countRuns(key) > 1);
            return {
                keys: recordedKeys.length,
                runsPerKeyMax: recordedKeys.reduce((highest, key) => Math.max(highest, countRuns(key)), 0),
                keysRunTwice: duplicateRunKeys.length,
                keysToldNotRun: reportedNotRun.length,
                notRunButRan: reportedNotRun.filter((key) => countRuns(key) > 0),
                answeredWithoutRun: [...answeredKeys].filter((key) => countRuns(key) === 0).length,
                duplicateRunKeys,
            };
        },
    };
};

/** Wraps `caller` and records the results of POST requests, which must not run twice. */
export const createAuditedCaller = (caller: Caller, ledger: VerdictLedger): Caller => ({
    call: async (gateway, request) => {
        const result = await caller.call(gateway, request);
        if (request.method === "POST") {
            ledger.record(result);
        }
        return result;
    },
    close: caller.close,
});

/** Returns the audit as figures, with counts instead of lists of keys. */
export const describeAudit = (audit: RunAudit): Figures => ({
    keys: audit.keys,
    runsPerKeyMax: audit.runsPerKeyMax,
    keysRunTwice: audit.keysRunTwice,
    keysToldNotRun: audit.keysToldNotRun,
    answeredNotRunButRan: audit.notRunButRan.length,
    answeredWithoutRun: audit.answeredWithoutRun,
});

const MAX_EXAMPLES = 5;

/** Describes violations with examples of keys, which can be searched for in the logs. */
export const describeViolations = ({ duplicateRunKeys, notRunButRan }: RunAudit): string =>
    `Run twice: ${duplicateRunKeys.slice(0, MAX_EXAMPLES).join(", ") || "none"}; ` +
    `reported as not run, but run: ${notRunButRan.slice(0, MAX_EXAMPLES).join(", ") || "none"}.`;
