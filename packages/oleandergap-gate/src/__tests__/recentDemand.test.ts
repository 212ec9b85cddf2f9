import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import type { RefusalReason } from "oleandergap-types";
import { createManualClock } from "oleandergap-utils";
import { createRecentDemand, type RecentDemand } from "../recentDemand.js";
import type { Decision } from "../refusals.js";

const WORK_MS = 50;
const served: Decision = either.right({ queuedMs: 0, release: () => undefined });

const refuse = (reason: RefusalReason): Decision =>
    either.left({ kind: "Refused", verdict: "notRun", reason, retryAfterMs: 1 });

/** Records requests of a priority, of which nodes sent a share. */
const record = (
    demand: RecentDemand,
    priority: number,
    { count, decision, sentShare = 1 }: {
        readonly count: number;
        readonly decision: Decision;
        readonly sentShare?: number;
    },
): void => {
    for (let recorded = 0; recorded < count; recorded++) {
        demand.recordDecision({ priority, sentShare }, WORK_MS, decision);
    }
};

describe("createRecentDemand", () => {
    it("counts what was asked for, not what arrived", () => {
        const demand = createRecentDemand(createManualClock());
        record(demand, 1, { count: 20, decision: served, sentShare: 0.25 });
        expect(demand.servedShare(1)).to.be.closeTo(0.25, 1e-9);
        expect(demand.askedSlots(1)).to.be.closeTo((80 * WORK_MS) / 700, 1e-9);
        expect(demand.servedShare(0)).to.equal(undefined);
    });

    it("asks nodes to send all requests while it refuses hardly any", () => {
        const demand = createRecentDemand(createManualClock());
        record(demand, 1, { count: 97, decision: served, sentShare: 0.5 });
        record(demand, 1, { count: 3, decision: refuse("QueueFull"), sentShare: 0.5 });
        expect(demand.admissionShare(1)).to.equal(1);
        expect(demand.admissionShare(0)).to.equal(1);
    });

    it("asks nodes to send little more than it serves", () => {
        const demand = createRecentDemand(createManualClock());
        record(demand, 1, { count: 40, decision: served });
        record(demand, 1, { count: 60, decision: refuse("DeadlineTooShort") });
        expect(demand.admissionShare(1)).to.be.closeTo(0.44, 1e-9);
        record(demand, 2, { count: 100, decision: refuse("DeadlineTooShort") });
        expect(demand.admissionShare(2)).to.equal(0.05);
    });

    it("ignores refusals that say nothing about the capacity of the target", () => {
        const demand = createRecentDemand(createManualClock());
        record(demand, 1, { count: 10, decision: served });
        record(demand, 1, { count: 90, decision: refuse("Cancelled") });
        record(demand, 1, { count: 90, decision: refuse("Draining") });
        expect(demand.servedShare(1)).to.equal(1);
        expect(demand.admissionShare(1)).to.equal(1);
    });

    it("forgets requests that were decided long ago", async () => {
        const clock = createManualClock();
        const demand = createRecentDemand(clock);
        record(demand, 1, { count: 100, decision: refuse("QueueFull") });
        await clock.advance(20_000);
        expect(demand.servedShare(1)).to.equal(undefined);
        expect(demand.admissionShare(1)).to.equal(1);
    });
});
