/** Runs a service with uneven targets and uneven demand, and summarises the results from the callers' point of view. */
import type { Milliseconds } from "oleandergap-types";
import { createSeededRandom, type Random } from "oleandergap-utils";
import { createPacedTarget } from "./pacedTarget.js";
import {
    createEntries,
    createPlacedService,
    createPlacedTargets,
    pickEntry,
    type PlacedResult,
    type PlacedTarget,
} from "./placedService.js";
import type { PlacedKind, PlacingFigures, PlacingPlan, PlacingPolicy } from "./placingPlan.js";
import { quantile } from "./runLoad.js";
import { createVirtualClock, type VirtualClock } from "./virtualClock.js";

/** Spread of the work of requests of one kind, as the standard deviation of its logarithm. */
const WORK_SPREAD = 0.4;
/** Interval between two samples of the zones' loads. */
const SAMPLE_PERIOD_MS: Milliseconds = 100;

/** Targets of unequal speed in four zones, on VMs that share their hosts, with demand that moves between the zones. */
export const basePlacingPlan: PlacingPlan = {
    seed: 1,
    durationMs: 30_000,
    warmUpMs: 8000,
    load: 0.75,
    zones: 4,
    targetsPerZone: 13,
    gatewaysPerZone: 22,
    slots: 13,
    speeds: [0.7, 0.7, 1.7],
    pace: { slowShare: 0.15, slowPace: 2.5, periodMs: 600, noise: 0.1 },
    demand: { swing: 0.55, swingPeriodMs: 17_000, burst: 1, burstMs: 3000, burstPeriodMs: 10_000 },
    kinds: [
        { name: "lookup", workMs: 320, objectiveMs: 1040, deadlineMs: 4012, share: 0.73 },
        { name: "register", workMs: 413, objectiveMs: 1252, deadlineMs: 5018, share: 0.27 },
    ],
    reportLoss: 0,
    pause: undefined,
    networkMs: 1,
    queue: 26,
};

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Returns the requests per millisecond that all targets together can serve. */
const computeCapacity = ({ zones, targetsPerZone, slots, speeds, pace, kinds }: PlacingPlan): number => {
    const meanWorkMs = kinds.reduce((sum, { workMs, share }) => sum + workMs * share, 0);
    const pacedSpeed = mean(speeds) * (1 - pace.slowShare + pace.slowShare / pace.slowPace);
    return zones * targetsPerZone * slots * pacedSpeed / meanWorkMs;
};

/** Returns the demand of a zone at a time, in requests per millisecond. */
const computeDemand = (plan: PlacingPlan, zone: number, now: Milliseconds): number => {
    const { swing, swingPeriodMs, burst, burstMs, burstPeriodMs } = plan.demand;
    const phase = 2 * Math.PI * (now / swingPeriodMs - zone / plan.zones);
    const factor = (1 + swing * Math.sin(phase)) * (now % burstPeriodMs < burstMs ? burst : 1);
    return computeCapacity(plan) * plan.load / plan.zones * factor;
};

const sampleNormal = (random: Random): number =>
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

const sampleWork = (random: Random, meanMs: Milliseconds): Milliseconds =>
    meanMs * Math.exp(WORK_SPREAD * sampleNormal(random) - WORK_SPREAD ** 2 / 2);

const drawKind = (random: Random, kinds: readonly PlacedKind[]): PlacedKind | undefined => {
    let left = random();
    return kinds.find(({ share }) => (left -= share) < 0) ?? kinds[0];
};

/** Calls `onArrival` with the zone of each arrival. Arrivals do not depend on the responses. */
const startArrivals = (
    clock: VirtualClock,
    random: Random,
    plan: PlacingPlan,
    onArrival: (zone: number) => void,
): void => {
    const { swing, burst } = plan.demand;
    for (let zone = 0; zone < plan.zones; zone++) {
        const highest = computeCapacity(plan) * plan.load / plan.zones * (1 + swing) * Math.max(1, burst);
        const scheduleArrival = (): void => {
            clock.after(-Math.log(1 - random()) / highest, () => {
                const now = clock.monotonic();
                if (now >= plan.durationMs) {
                    return;
                }
                if (random() * highest < computeDemand(plan, zone, now)) {
                    onArrival(zone);
                }
                scheduleArrival();
            });
        };
        scheduleArrival();
    }
};

const sampleZoneLoads = (plan: PlacingPlan, targets: readonly PlacedTarget[]): readonly number[] =>
    Array.from({ length: plan.zones }, (_, zone) => mean(targets
        .filter((target) => target.zone === `zone-${zone}`)
        .map(({ gate, slots }) => (gate.load().inFlight + gate.load().queued) / slots)));

/** Runs until all requests have ended. The results exclude requests that arrived during the warm-up. */
export const runPlacing = async (policy: PlacingPolicy, plan: PlacingPlan): Promise<PlacingFigures> => {
    const clock = createVirtualClock();
    const random = createSeededRandom(plan.seed);
    const arrivalRandom = createSeededRandom(plan.seed + 1);
    const models = Array.from({ length: plan.zones * plan.targetsPerZone }, (_, index) =>
        createPacedTarget(clock, createSeededRandom(plan.seed * 1000 + index), plan, index));
    const targets = createPlacedTargets(clock, plan, models);
    const entries = createEntries(plan);
    const send = createPlacedService({ clock, random, plan, policy, targets, entries });
    const latencies: number[] = [];
    const results: Record<PlacedResult, number> = { Answered: 0, Refused: 0, Lost: 0 };
    const runs = targets.map(() => 0);
    const zoneLoads: (readonly number[])[] = [];
    let timely = 0;
    let hops = 0;
    let acrossZones = 0;

    const handle = async (zone: number): Promise<void> => {
        const arrivedAt = clock.monotonic();
        const kind = drawKind(arrivalRandom, plan.kinds);
        const entry = pickEntry(arrivalRandom, entries, zone);
        if (kind === undefined || entry === undefined) {
            return;
        }
        const workMs = sampleWork(arrivalRandom, kind.workMs);
        const isMeasured = arrivedAt >= plan.warmUpMs;
        const deadline = arrivedAt + kind.deadlineMs;
        const objective = arrivedAt + kind.objectiveMs;
        const result = await send({ kind, workMs, deadline, objective, entry }, (target) => {
            if (isMeasured) {
                const index = targets.indexOf(target);
                runs[index] = (runs[index] ?? 0) + 1;
                hops += target.nodeId === entry.nodeId ? 0 : 1;
                acrossZones += target.zone === entry.zone ? 0 : 1;
            }
        });
        if (isMeasured) {
            results[result] += 1;
            if (result === "Answered") {
                latencies.push(clock.monotonic() - arrivedAt);
                timely += clock.monotonic() <= objective ? 1 : 0;
            }
        }
    };

    startArrivals(clock, arrivalRandom, plan, (zone) => void handle(zone));
    const sampleRegularly = (): void => {
        clock.after(SAMPLE_PERIOD_MS, () => {
            zoneLoads.push(sampleZoneLoads(plan, targets));
            if (clock.monotonic() < plan.durationMs) {
                sampleRegularly();
            }
        });
    };
    sampleRegularly();
    await clock.runUntil(plan.durationMs + 6000);
    latencies.sort((left, right) => left - right);
    const requests = results.Answered + results.Refused + results.Lost;
    return {
        requests,
        timelyShare: timely / requests,
        lateShare: (results.Answered - timely) / requests,
        refusedShare: results.Refused / requests,
        lostShare: results.Lost / requests,
        medianMs: quantile(latencies, 0.5),
        p99Ms: quantile(latencies, 0.99),
        hopShare: hops / requests,
        acrossZonesShare: acrossZones / requests,
        runs,
        zoneLoads,
    };
};
