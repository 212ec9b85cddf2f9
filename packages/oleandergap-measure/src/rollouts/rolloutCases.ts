/** The roll-outs that are simulated: versions without faults under disturbances, and bad versions of each sort. */
import { defaultFleetPlan, GOOD_BEHAVIOUR, type FleetPlan } from "oleandergap-rollout";

/** A sort of roll-out and how it should end. */
export interface RolloutCase {
    readonly name: string;
    readonly plan: FleetPlan;
    readonly isGood: boolean;
}

const LARGE: Partial<FleetPlan> = { targets: 30, requestsPerSecond: 500, durationMs: 12_000 };
const SMALL: Partial<FleetPlan> = { targets: 4, requestsPerSecond: 40 };
const BURST = { fromMs: 4000, toMs: 9000, factor: 2 };
const FAILING = { failureShare: 0.3, latencyFactor: 1 };
const SLOW = { ...GOOD_BEHAVIOUR, latencyFactor: 3 };

const good = (name: string, changes: Partial<FleetPlan> = {}): RolloutCase =>
    ({ name, plan: { ...defaultFleetPlan, ...changes }, isGood: true });

const bad = (name: string, changes: Partial<FleetPlan>): RolloutCase =>
    ({ name, plan: { ...defaultFleetPlan, ...changes }, isGood: false });

export const rolloutCases: readonly RolloutCase[] = [
    good("good"),
    good("good, large fleet", LARGE),
    good("good, little traffic", SMALL),
    good("good, burst", { burst: BURST }),
    good("good, one old target slow", { slowOldTargets: 1 }),
    good("good, one new target slow", { slowNewTargets: 1 }),
    good("good, platform away", { outage: { fromMs: 3000, toMs: 8000 } }),
    good("good, datagrams lost", { lossShare: 0.2 }),
    good("good, all nodes restart", { restartAtMs: 6000, durationMs: 20_000 }),
    bad("fails 10%", { behaviour: { ...FAILING, failureShare: 0.1 } }),
    bad("fails 10%, large fleet", { ...LARGE, behaviour: { ...FAILING, failureShare: 0.1 } }),
    bad("fails 30%", { behaviour: FAILING }),
    bad("fails 30%, little traffic", { ...SMALL, behaviour: FAILING }),
    bad("fails 30% in a burst", { behaviour: FAILING, burst: BURST }),
    bad("fails 30% late", { behaviour: { ...FAILING, fromMs: 8000 } }),
    bad("fails 30% on one route", { behaviour: { ...FAILING, kind: "read" } }),
    bad("fails 30% under load", { behaviour: { ...FAILING, fromLoad: 0.3 } }),
    bad("fails 30%, all nodes restart", { behaviour: FAILING, restartAtMs: 9000, durationMs: 20_000 }),
    bad("3 times slower", { behaviour: SLOW }),
    bad("3 times slower, large fleet", { ...LARGE, behaviour: SLOW }),
    bad("4 times slower late", { behaviour: { ...SLOW, latencyFactor: 4, fromMs: 8000 } }),
    bad("4 times slower on one route", { behaviour: { ...SLOW, latencyFactor: 4, kind: "read" } }),
];
