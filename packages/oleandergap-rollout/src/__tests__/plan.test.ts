import { expect } from "chai";
import fc from "fast-check";
import { defaultRolloutOptions } from "../options.js";
import { computeCanaryShare, computeRampShare, planChange } from "../plan/plan.js";
import { createShareLimiter } from "../plan/shareLimiter.js";
import { splitTargets, type SplitContext, type SplitTarget } from "../plan/targetSplit.js";
import { createOrder, createReport, createRollout, toReports } from "./support.js";

const options = defaultRolloutOptions;
const CAPACITY = { newSlots: 60, oldSlots: 60, oldInFlight: 0, hasOtherTargets: true, isObserved: true };

describe("the limiter of a share", () => {
    it("never sends more than its share to the new version, however requests and targets come", () => {
        fc.assert(fc.property(
            fc.array(fc.record({ share: fc.double({ min: 0, max: 1, noNaN: true }), hasTarget: fc.boolean() })),
            (requests) => {
                const limiter = createShareLimiter();
                const allowed = requests.reduce((sum, { share }) => sum + share, 0);
                const sent = requests.filter(({ share, hasTarget }) => limiter.take(share, hasTarget)).length;
                expect(sent).to.be.at.most(allowed + 1e-6);
            },
        ));
    });

    it("sends its whole share to the new version when that has targets all the time", () => {
        const limiter = createShareLimiter();
        const sent = Array.from({ length: 1000 }, () => limiter.take(0.05, true)).filter(Boolean).length;
        expect(sent).to.be.within(49, 50);
    });
});

describe("the plan of a roll-out", () => {
    it("gives a service with little traffic a larger share, so that it can be judged", () => {
        const order = createOrder();
        expect(computeCanaryShare(order, 500, options)).to.be.lessThan(0.07);
        expect(computeCanaryShare(order, 10, options)).to.be.greaterThan(0.2);
    });

    it("doubles the share until the new version gets all requests", () => {
        const rollout = createRollout({ state: "promoting", since: 1000 });
        const shares = [0, 500, 1000, 1500, 2000, 2500].map((elapsed) =>
            computeRampShare(rollout, 1000 + elapsed, options));
        expect(shares).to.deep.equal([0.12, 0.24, 0.48, 0.96, 1, 1]);
    });

    it("promotes a good version late, because a fault may show late", () => {
        const plan = (now: number): string | undefined => planChange(createRollout(), { kind: "Good" }, CAPACITY, now, options)?.state;
        expect(plan(5000)).to.equal(undefined);
        expect(plan(8000)).to.equal("promoting");
        expect(plan(9500)).to.equal(undefined);
    });

    it("does not promote a version whose targets could not carry the load", () => {
        const change = planChange(createRollout(), { kind: "Good" }, { ...CAPACITY, newSlots: 30 }, 8000, options);
        expect(change).to.equal(undefined);
    });

    it("stops a bad version at any time, also during its promotion", () => {
        for (const state of ["running", "promoting"] as const) {
            const change = planChange(createRollout({ state }), { kind: "Bad", reason: "failures" }, CAPACITY, 1, options);
            expect(change?.state).to.equal("stopping");
        }
    });

    it("stops a version that was not judged by the deadline", () => {
        const change = planChange(createRollout(), { kind: "Undecided" }, CAPACITY, 11_000, options);
        expect(change?.state).to.equal("stopping");
    });

    it("completes a version that was not judged in time when no other one is left to return to", () => {
        const capacity = { ...CAPACITY, oldSlots: 0, hasOtherTargets: false };
        const plan = (changes: Partial<typeof CAPACITY>): string | undefined =>
            planChange(createRollout(), { kind: "Undecided" }, { ...capacity, ...changes }, 11_000, options)?.state;
        expect(plan({})).to.equal("completed");
        expect(plan({ newSlots: 0 })).to.equal("stopping");
    });

    it("does not end for lack of time at a node that has only just received it", () => {
        const capacity = { ...CAPACITY, isObserved: false };
        expect(planChange(createRollout(), { kind: "Undecided" }, capacity, 11_000, options)).to.equal(undefined);
    });

    it("completes once the old targets have finished their requests, at the latest before the deadline", () => {
        const rollout = createRollout({ state: "promoting", since: 8000 });
        const plan = (oldInFlight: number, now: number): string | undefined =>
            planChange(rollout, { kind: "Good" }, { ...CAPACITY, oldInFlight }, now, options)?.state;
        expect(plan(0, 9000)).to.equal(undefined);
        expect(plan(3, 10_900)).to.equal(undefined);
        expect(plan(0, 10_900)).to.equal("completed");
        expect(plan(3, 11_000)).to.equal("completed");
    });

    it("decides nothing after the end", () => {
        for (const state of ["completed", "rolledBack", "stopping"] as const) {
            expect(planChange(createRollout({ state }), { kind: "Good" }, CAPACITY, 11_500, options)).to.equal(undefined);
        }
    });
});

describe("the division of targets", () => {
    const oldTargets: SplitTarget[] = ["old-0", "old-1", "old-2"].map((nodeId) => ({ nodeId, leaving: false, since: 0 }));
    const newTargets: SplitTarget[] = Array.from({ length: 20 }, (_, index) =>
        ({ nodeId: `new-${index}`, leaving: false, since: 100_000 }));
    const targets = [...oldTargets, ...newTargets];
    const reports = toReports([
        ...oldTargets.map(({ nodeId }) => createReport(nodeId)),
        ...newTargets.map(({ nodeId }) => createReport(nodeId, { version: "v2" })),
    ]);
    const createContext = (changes: Partial<SplitContext> = {}): SplitContext => ({
        rollout: createRollout(),
        reports,
        orderedAtWallClock: 90_000,
        sinceWallClock: 90_000,
        share: 0.06,
        options,
        ...changes,
    });

    it("sends the canary requests to few targets, the same at every node", () => {
        const { trial, base } = splitTargets(targets, createContext());
        expect(trial).to.have.length(options.canaryTargets);
        expect(splitTargets([...targets].reverse(), createContext()).trial).to.have.members([...trial]);
        expect(base).to.deep.equal(oldTargets);
    });

    it("holds back a target that started after the order and has not reported its version", () => {
        const { trial, base } = splitTargets(targets, createContext({ reports: new Map() }));
        expect(trial).to.deep.equal([]);
        expect(base).to.deep.equal(oldTargets);
    });

    it("sends no canary requests to targets that are still slow after their start", () => {
        const cold = toReports(newTargets.map(({ nodeId }) =>
            createReport(nodeId, { version: "v2", coldLeftMs: 2000 })));
        expect(splitTargets(targets, createContext({ reports: cold })).trial).to.deep.equal([]);
    });

    it("keeps a stopped version's targets out, also before the outcome is stored", () => {
        for (const state of ["stopping", "rolledBack"] as const) {
            const { trial, base } = splitTargets(targets, createContext({ rollout: createRollout({ state }) }));
            expect(trial).to.deep.equal([]);
            expect(base).to.deep.equal(oldTargets);
        }
    });

    it("keeps the old targets out after the completion, but not those that start later", () => {
        const later: SplitTarget = { nodeId: "later", leaving: false, since: 120_000 };
        const { base } = splitTargets([...targets, later], createContext({
            rollout: createRollout({ state: "completed" }),
            sinceWallClock: 110_000,
        }));
        expect(base).to.deep.equal([...newTargets, later]);
    });

    it("uses the new version where no old target is left", () => {
        expect(splitTargets(newTargets, createContext()).base).to.deep.equal(newTargets);
    });
});
