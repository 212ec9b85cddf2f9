/** Plays a roll-out in virtual time, from its order until after its deadline. */
import type { Milliseconds, TableService } from "oleandergap-types";
import { createManualClock, createSeededRandom } from "oleandergap-utils";
import type { CreateJudge } from "../judge/judge.js";
import type { RolloutOptions } from "../options.js";
import { isFinal, type Rollout, type RolloutState } from "../rollout.js";
import type { FleetPlan } from "./fleetPlan.js";
import { createSimulatedFleet, NEW_VERSION, SERVICE, type SimulatedFleet } from "./simulatedFleet.js";
import { createSimulatedTraffic, type TrafficCounts } from "./simulatedTraffic.js";

/** Parameters of a simulation besides its plan. */
export interface SimulationOptions {
    readonly seed: number;
    readonly createJudge?: CreateJudge;
    readonly options?: RolloutOptions;
    /** Creates the platform's table; `isAvailable` returns whether it answers at present. */
    readonly createTable: (isAvailable: () => boolean) => TableService;
}

/** What happened in a simulated roll-out. Times are counted from the order. */
export interface SimulationResult extends Readonly<TrafficCounts> {
    /** State of the roll-out at the end at all nodes; undefined if they differ. */
    readonly state: RolloutState | undefined;
    readonly reason: string;
    /** Time at which the first node had a final state. */
    readonly endedAtMs: Milliseconds | undefined;
    /** Time from the 50th bad response until the last request that reached the new version. */
    readonly sentAfterBadMs: Milliseconds;
    /** Number of requests at old targets when the roll-out was completed, which ends these targets. */
    readonly inFlightAtCompletion: number;
}

const TICK_MS: Milliseconds = 20;
/** Time before the order in which the nodes find each other. */
const WARM_UP_MS: Milliseconds = 4000;
/** Time after the deadline for which the simulation goes on. */
const AFTER_DEADLINE_MS: Milliseconds = 3000;
/** Number of nodes that read the order from the platform. */
const READERS = 3;

/** An event of the plan that happens once. */
interface PlannedEvent {
    readonly atMs: Milliseconds;
    readonly run: () => void;
}

const listRollouts = ({ nodes }: SimulatedFleet): readonly Rollout[] =>
    nodes.flatMap(({ rollouts }) => rollouts.list().map(({ rollout }) => rollout));

const listEvents = (plan: FleetPlan, fleet: SimulatedFleet): PlannedEvent[] => {
    const order = { service: SERVICE, id: "order-1", version: NEW_VERSION, durationMs: plan.durationMs };
    return [
        { atMs: 0, run: () => fleet.nodes.slice(0, READERS).forEach(({ rollouts }) => rollouts.submit(order)) },
        { atMs: plan.newTargetsAtMs, run: () => fleet.startNodes(true) },
        ...plan.restartAtMs === undefined ? [] : [{ atMs: plan.restartAtMs, run: fleet.restartAll }],
    ];
};

const isDuring = (elapsed: Milliseconds, period: FleetPlan["outage"]): boolean =>
    period !== undefined && elapsed >= period.fromMs && elapsed < period.toMs;

/** Plays one roll-out. */
export const simulateRollout = async (plan: FleetPlan, simulation: SimulationOptions): Promise<SimulationResult> => {
    const random = createSeededRandom(simulation.seed);
    const clock = createManualClock();
    const orderedAt = clock.monotonic() + WARM_UP_MS;
    const getElapsed = (): Milliseconds => clock.monotonic() - orderedAt;
    const tableService = simulation.createTable(() => !isDuring(getElapsed(), plan.outage));
    const { createJudge, options } = simulation;
    const fleet = createSimulatedFleet({ plan, clock, random, tableService, options, createJudge });
    const traffic = createSimulatedTraffic({ plan, clock, random, fleet, getElapsed });
    let endedAtMs: Milliseconds | undefined;
    let inFlightAtCompletion = 0;

    const checkEnd = (): void => {
        const ended = listRollouts(fleet).find(({ state }) => isFinal(state));
        if (endedAtMs !== undefined || ended === undefined) {
            return;
        }
        endedAtMs = getElapsed();
        if (ended.state === "completed") {
            inFlightAtCompletion = traffic.countAtOldTargets();
            fleet.stopOldTargets();
        }
    };

    fleet.startNodes(false);
    const events = listEvents(plan, fleet);
    while (getElapsed() < plan.durationMs + AFTER_DEADLINE_MS) {
        await clock.advance(TICK_MS);
        events.filter(({ atMs }) => atMs <= getElapsed()).forEach((event) => {
            events.splice(events.indexOf(event), 1);
            event.run();
        });
        traffic.advance(TICK_MS);
        checkEnd();
    }
    const rollouts = listRollouts(fleet);
    fleet.stop();
    const isAgreed = rollouts.length === fleet.nodes.length && new Set(rollouts.map(({ state }) => state)).size === 1;
    return {
        ...traffic.counts,
        state: isAgreed ? rollouts[0]?.state : undefined,
        reason: rollouts[0]?.reason ?? "",
        endedAtMs,
        sentAfterBadMs: traffic.getSentAfterBad(),
        inFlightAtCompletion,
    };
};
