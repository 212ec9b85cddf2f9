import { expect } from "chai";
import type { CallResult, RunsReport } from "oleandergap-standins";
import type { Verdict } from "oleandergap-types";
import { createVerdictLedger } from "../requests/verdictLedger.js";

const createAnsweredResult = (runKey: string): CallResult =>
    ({ kind: "Answered", runKey, latencyMs: 1, target: "one", version: undefined });

const createRefusedResult = (runKey: string, verdict: Verdict | undefined): CallResult =>
    ({ kind: "Refused", runKey, latencyMs: 1, status: 503, verdict, reason: "QueueFull", retryAfterMs: 5 });

const createRunsReport = (runs: Readonly<Record<string, number>>): RunsReport => ({
    total: 0,
    keys: Object.entries(runs).map(([key, count]) => ({ key, runs: count, requestIds: [] })),
});

describe("createVerdictLedger", () => {
    it("finds duplicate runs, and runs of requests with the verdict notRun", () => {
        const ledger = createVerdictLedger();
        [createAnsweredResult("twice"), createRefusedResult("lied", "notRun"), createRefusedResult("refused", "notRun")]
            .forEach(ledger.record);

        const audit = ledger.audit(createRunsReport({ twice: 2, lied: 1, stranger: 9 }));

        expect(audit).to.deep.include({
            keys: 3, runsPerKeyMax: 2, keysRunTwice: 1, duplicateRunKeys: ["twice"], keysToldNotRun: 2,
            notRunButRan: ["lied"],
        });
    });

    it("does not report a refusal as a violation after an attempt that may have run", () => {
        const ledger = createVerdictLedger();
        [createRefusedResult("open", undefined), createRefusedResult("open", "notRun")].forEach(ledger.record);

        expect(ledger.audit(createRunsReport({ open: 1 })).notRunButRan).to.deep.equal([]);
    });

    it("finds responses of requests that no target ran", () => {
        const ledger = createVerdictLedger();
        ledger.record(createAnsweredResult("ghost"));

        expect(ledger.audit(createRunsReport({})).answeredWithoutRun).to.equal(1);
    });
});
