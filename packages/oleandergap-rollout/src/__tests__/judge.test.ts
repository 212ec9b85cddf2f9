import { expect } from "chai";
import { createEvidenceSum } from "../judge/evidenceSum.js";
import { createSequentialJudge, type RolloutVerdict } from "../judge/judge.js";
import { ALARM_THRESHOLD, compareFailures, compareLatencies } from "../judge/sequentialTest.js";
import type { TargetReport } from "../judge/tally.js";
import { createReport, createTally, toReports } from "./support.js";

const OLD_NODES = ["old-0", "old-1", "old-2", "old-3"];
const NEW_NODES = ["new-0", "new-1", "new-2", "new-3"];

/** Outcomes of one round at one target. */
interface RoundOutcomes {
    readonly requests: number;
    readonly failures: number;
    readonly latencyMs: number;
}

/** Judges rounds of 200 ms, in each of which every target reports the same outcomes. */
const judgeRounds = (
    rounds: number,
    getOutcomes: (node: string, round: number) => RoundOutcomes,
): RolloutVerdict => {
    const judge = createSequentialJudge("v2");
    const reports = new Map<string, TargetReport>();
    let verdict: RolloutVerdict = { kind: "Undecided" };
    for (let round = 1; round <= rounds; round++) {
        for (const node of [...OLD_NODES, ...NEW_NODES]) {
            const { requests, failures, latencyMs } = getOutcomes(node, round);
            const delta = createTally(requests, failures, latencyMs);
            const total = reports.get(node)?.tallies[0] ?? createTally(0);
            reports.set(node, createReport(node, {
                version: node.startsWith("new") ? "v2" : "v1",
                sequence: round,
                tallies: [{
                    kind: "view",
                    requests: total.requests + delta.requests,
                    failures: total.failures + delta.failures,
                    timed: total.timed + delta.timed,
                    logSum: total.logSum + delta.logSum,
                    logSquareSum: total.logSquareSum + delta.logSquareSum,
                }],
            }));
        }
        verdict = judge.observe(toReports([...reports.values()]), round * 200);
        if (verdict.kind === "Bad") {
            return verdict;
        }
    }
    return verdict;
};

describe("the sequential tests", () => {
    it("count a failure against a version, and a success for it", () => {
        const control = createTally(1000, 5);
        expect(compareFailures(createTally(1, 1), control)).to.be.greaterThan(1);
        expect(compareFailures(createTally(1, 0), control)).to.be.lessThan(0);
    });

    it("count a threefold latency against a version, and an equal one for it", () => {
        const control = createTally(100, 0, 100);
        expect(compareLatencies(createTally(10, 0, 300), control)).to.be.greaterThan(1);
        expect(compareLatencies(createTally(10, 0, 110), control)).to.be.lessThan(-1);
    });

    it("do not compare latencies while those of the old version are unknown", () => {
        expect(compareLatencies(createTally(10, 0, 900), createTally(3, 0, 100))).to.equal(0);
    });
});

describe("the sum of evidence", () => {
    it("does not blame a version for one slow target among several", () => {
        const sum = createEvidenceSum();
        sum.add("new-0", 2 * ALARM_THRESHOLD);
        sum.add("new-1", -0.1);
        sum.add("new-2", -0.1);
        expect(sum.isAlarm()).to.equal(false);
    });

    it("blames a version when several targets contribute", () => {
        const sum = createEvidenceSum();
        for (const node of NEW_NODES) {
            sum.add(node, ALARM_THRESHOLD / 2);
        }
        expect(sum.isAlarm()).to.equal(true);
    });

    it("forgets evidence for a version, so that a late fault is found as fast as an early one", () => {
        const sum = createEvidenceSum();
        sum.add("new-0", -100);
        sum.endRound();
        for (const node of NEW_NODES) {
            sum.add(node, ALARM_THRESHOLD / 2);
        }
        expect(sum.isAlarm()).to.equal(true);
    });
});

describe("the judge of a version", () => {
    const good: RoundOutcomes = { requests: 5, failures: 0, latencyMs: 100 };

    it("finds a version without faults good", () => {
        expect(judgeRounds(20, () => good).kind).to.equal("Good");
    });

    it("is undecided before the new version has run enough requests", () => {
        const verdict = judgeRounds(20, (node) => node.startsWith("new") ? { ...good, requests: 0 } : good);
        expect(verdict.kind).to.equal("Undecided");
    });

    it("finds a version that fails one request in five bad", () => {
        const verdict = judgeRounds(20, (node) => node.startsWith("new") ? { ...good, failures: 1 } : good);
        expect(verdict.kind).to.equal("Bad");
    });

    it("finds a version that is three times slower bad", () => {
        const verdict = judgeRounds(20, (node) => node.startsWith("new") ? { ...good, latencyMs: 300 } : good);
        expect(verdict.kind).to.equal("Bad");
    });

    it("finds a version that fails only after a long time bad", () => {
        const verdict = judgeRounds(100, (node, round) =>
            node.startsWith("new") && round > 90 ? { ...good, failures: 2 } : good);
        expect(verdict.kind).to.equal("Bad");
    });

    it("does not blame a version for failures that both versions have at the same time", () => {
        const verdict = judgeRounds(100, (_node, round) =>
            round > 50 && round < 70 ? { ...good, failures: 2, latencyMs: 500 } : good);
        expect(verdict.kind).not.to.equal("Bad");
    });

    it("counts the outcomes of a restarted gate from its new start", () => {
        const judge = createSequentialJudge("v2");
        const before = createReport("new-0", { version: "v2", tallies: [createTally(50)] });
        judge.observe(toReports([before]), 0);
        judge.observe(toReports([{ ...before, epoch: 2, tallies: [createTally(10)] }]), 200);
        expect(judge.counts().trial).to.equal(60);
    });
});
