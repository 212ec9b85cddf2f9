/**
 * Judges a version by the outcomes of its requests, against the other versions of the same service over the same
 * seconds. Every node judges for itself from the reports that it has received.
 */
import type { Milliseconds, NodeId } from "oleandergap-types";
import type { TargetVersion } from "../rollout.js";
import { createControl, type Control } from "./control.js";
import { createEvidenceSum, type EvidenceSum } from "./evidenceSum.js";
import { PROMOTION_THRESHOLD, compareFailures, compareLatencies } from "./sequentialTest.js";
import { subtractTallies, type KindTally, type TargetReports } from "./tally.js";

/** What the outcomes show about a version. */
export type RolloutVerdict =
    | { readonly kind: "Undecided" }
    | { readonly kind: "Good" }
    | { readonly kind: "Bad"; readonly reason: string };

/** Number of requests of the new and of the other versions of a service. */
export interface RequestCounts {
    readonly trial: number;
    readonly control: number;
}

/** Judges one roll-out. */
export interface RolloutJudge {
    /** Adds what is new in the reports and returns the verdict. `Bad` is permanent. */
    readonly observe: (reports: TargetReports, now: Milliseconds) => RolloutVerdict;
    readonly counts: () => RequestCounts;
}

/** Creates the judge of a version. */
export type CreateJudge = (version: TargetVersion) => RolloutJudge;

/**
 * Number of requests of a kind that the new version must have run before it is promoted, or half of its part of the
 * trial if that is less.
 */
const MINIMUM_TRIAL_REQUESTS = 8;
/** Name under which all kinds are compared together. */
const ALL_KINDS = "all requests";

/** Tests of one kind of request. */
interface KindTests {
    readonly control: Control;
    controlRequests: number;
    trialRequests: number;
    readonly failures: EvidenceSum;
    readonly latency: EvidenceSum;
}

/** Tally of one kind of request at one node. */
interface TallyDelta {
    readonly node: NodeId;
    readonly tally: KindTally;
}

/** Creates a judge that uses sequential tests for each kind of request and for all kinds together. */
export const createSequentialJudge: CreateJudge = (version) => {
    const previousTallies = new Map<string, KindTally>();
    const tests = new Map<string, KindTests>();
    let lastObservation: Milliseconds | undefined;
    let counts: RequestCounts = { trial: 0, control: 0 };
    let bad: RolloutVerdict | undefined;

    const getTests = (kind: string): KindTests => {
        let kindTests = tests.get(kind);
        if (kindTests === undefined) {
            kindTests = {
                control: createControl(kind),
                controlRequests: 0,
                trialRequests: 0,
                failures: createEvidenceSum(),
                latency: createEvidenceSum(),
            };
            tests.set(kind, kindTests);
        }
        return kindTests;
    };

    const fadeControls = (now: Milliseconds): void => {
        const elapsedMs = now - (lastObservation ?? now);
        lastObservation = now;
        tests.forEach(({ control }) => control.fade(elapsedMs));
    };

    const addControl = (kind: string, tally: KindTally): void => {
        const kindTests = getTests(kind);
        kindTests.controlRequests += tally.requests;
        kindTests.control.add(tally);
    };

    const addTrial = (kind: string, { node, tally }: TallyDelta): void => {
        const kindTests = getTests(kind);
        const { control, failures, latency } = kindTests;
        kindTests.trialRequests += tally.requests;
        const controls = control.tallies();
        failures.add(node, Math.min(...controls.map((reference) => compareFailures(tally, reference))));
        latency.add(node, Math.min(...controls.map((reference) => compareLatencies(tally, reference))));
    };

    /** Adds the new outcomes of all targets; those of the other versions first, because they are the reference. */
    const addOutcomes = (reports: TargetReports): void => {
        const trials: TallyDelta[] = [];
        let { trial, control } = counts;
        for (const [node, { report }] of reports) {
            for (const tally of report.tallies) {
                const key = `${node} ${report.epoch} ${tally.kind}`;
                const delta = subtractTallies(tally, previousTallies.get(key));
                previousTallies.set(key, tally);
                if (report.version === version) {
                    trials.push({ node, tally: delta });
                    trial += delta.requests;
                    continue;
                }
                control += delta.requests;
                addControl(tally.kind, delta);
                // Latencies of different kinds are not comparable, so only the failures are compared together.
                addControl(ALL_KINDS, { ...delta, timed: 0, logSum: 0, logSquareSum: 0 });
            }
        }
        counts = { trial, control };
        for (const delta of trials) {
            addTrial(delta.tally.kind, delta);
            addTrial(ALL_KINDS, delta);
        }
        tests.forEach(({ failures, latency }) => {
            failures.endRound();
            latency.endRound();
        });
    };

    const findAlarm = (): RolloutVerdict | undefined => {
        for (const [kind, { failures, latency }] of tests) {
            if (failures.isAlarm()) {
                return { kind: "Bad", reason: `failures of ${kind}` };
            }
            if (latency.isAlarm()) {
                return { kind: "Bad", reason: `latency of ${kind}` };
            }
        }
        return undefined;
    };

    /** Returns whether the new version has had its part of a kind of request; a fault may be limited to one kind. */
    const isTried = ({ controlRequests, trialRequests }: KindTests, all: KindTests): boolean => {
        const share = controlRequests / Math.max(1, all.controlRequests);
        const expectedRequests = share * all.trialRequests;
        return trialRequests >= Math.min(MINIMUM_TRIAL_REQUESTS, expectedRequests / 2);
    };

    const isGood = (): boolean => {
        const all = tests.get(ALL_KINDS);
        const kinds = [...tests.values()];
        return all !== undefined &&
            all.failures.total() <= PROMOTION_THRESHOLD &&
            kinds.every((kindTests) => isTried(kindTests, all)) &&
            kinds.every(({ failures, latency }) =>
                failures.total() < -PROMOTION_THRESHOLD && latency.total() < -PROMOTION_THRESHOLD);
    };

    return {
        observe: (reports, now) => {
            fadeControls(now);
            addOutcomes(reports);
            bad ??= findAlarm();
            return bad ?? { kind: isGood() ? "Good" : "Undecided" };
        },
        counts: () => counts,
    };
};
