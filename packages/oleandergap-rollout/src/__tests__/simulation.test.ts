import { expect } from "chai";
import { defaultFleetPlan, type FleetPlan } from "../measure/fleetPlan.js";
import { simulateRollout, type SimulationResult } from "../measure/simulateRollout.js";
import { createSimulationTable } from "./support.js";

const SEEDS = [1, 2, 3];
/** Share of the requests that a bad version may get, and the number of requests that it may get beyond. */
const CANARY_SHARE = 0.1;
const CANARY_SLACK = 50;
/** Time after the 50th bad response within which a bad version must be stopped. */
const STOP_MS = 5000;
const FAILING = { failureShare: 0.3, latencyFactor: 1 };

const play = async (changes: Partial<FleetPlan>): Promise<readonly SimulationResult[]> => {
    const results: SimulationResult[] = [];
    for (const seed of SEEDS) {
        const plan = { ...defaultFleetPlan, ...changes };
        results.push(await simulateRollout(plan, { seed, createTable: createSimulationTable }));
    }
    return results;
};

const expectRolledBack = (results: readonly SimulationResult[]): void => {
    for (const { state, newRequests, requests, sentAfterBadMs } of results) {
        expect(state).to.equal("rolledBack");
        expect(newRequests).to.be.at.most(CANARY_SHARE * requests + CANARY_SLACK);
        expect(sentAfterBadMs).to.be.at.most(STOP_MS);
    }
};

const expectCompleted = (results: readonly SimulationResult[]): void => {
    for (const { state, endedAtMs, unserved } of results) {
        expect(state).to.equal("completed");
        expect(endedAtMs).to.be.at.most(defaultFleetPlan.durationMs);
        expect(unserved).to.equal(0);
    }
};

describe("a simulated roll-out", function () {
    this.timeout(60_000);

    it("of a good version is completed in time and loses no request", async () => {
        expectCompleted(await play({}));
    });

    it("of a good version is completed when the platform is away for some seconds", async () => {
        expectCompleted(await play({ outage: { fromMs: 3000, toMs: 8000 } }));
    });

    it("of a good version is completed when a fifth of the datagrams is lost", async () => {
        expectCompleted(await play({ lossShare: 0.2 }));
    });

    it("of a good version is completed in a burst", async () => {
        expectCompleted(await play({ burst: { fromMs: 4000, toMs: 9000, factor: 2 } }));
    });

    it("of a version that fails is rolled back", async () => {
        expectRolledBack(await play({ behaviour: FAILING }));
    });

    it("of a version that is slow is rolled back", async () => {
        expectRolledBack(await play({ behaviour: { failureShare: 0.004, latencyFactor: 3 } }));
    });

    it("of a version that fails late is rolled back", async () => {
        expectRolledBack(await play({ behaviour: { ...FAILING, fromMs: 8000 } }));
    });

    it("of a version that fails on one kind of request is rolled back", async () => {
        expectRolledBack(await play({ behaviour: { ...FAILING, kind: "read" } }));
    });

    it("of a bad version stays rolled back when all nodes restart", async () => {
        expectRolledBack(await play({ behaviour: FAILING, durationMs: 20_000, restartAtMs: 9000 }));
    });

    it("of a bad version is stopped while the platform is away, and rolled back when it returns", async () => {
        expectRolledBack(await play({ behaviour: FAILING, outage: { fromMs: 3000, toMs: 14_500 } }));
    });
});
