/** The requests of a simulated roll-out: their targets, their latency and their outcomes. */
import type { Milliseconds, NodeId } from "oleandergap-types";
import type { ManualClock, Random } from "oleandergap-utils";
import type { SplitTarget } from "../plan/targetSplit.js";
import { GOOD_BEHAVIOUR, REQUEST_KINDS, type FleetPlan, type RequestKind } from "./fleetPlan.js";
import { NEW_VERSION, OLD_VERSION, SERVICE, type SimulatedFleet, type SimulatedNode } from "./simulatedFleet.js";

interface RunningRequest {
    readonly node: SimulatedNode;
    readonly kind: RequestKind;
    readonly endsAt: Milliseconds;
    readonly latencyMs: Milliseconds;
    readonly isFailure: boolean;
    readonly isBad: boolean;
    readonly isCold: boolean;
}

/** Counts from the order until the deadline. */
export interface TrafficCounts {
    requests: number;
    /** Number of requests that reached the new version. */
    newRequests: number;
    badResponses: number;
    /** Number of requests that found no target. */
    unserved: number;
}

/** Dependencies of the traffic. */
export interface SimulatedTrafficDependencies {
    readonly plan: FleetPlan;
    readonly clock: ManualClock;
    readonly random: Random;
    readonly fleet: SimulatedFleet;
    /** Returns the time since the order. */
    readonly getElapsed: () => Milliseconds;
}

/** Requests of simulated callers. */
export interface SimulatedTraffic {
    readonly counts: Readonly<TrafficCounts>;
    /** Sends the requests of a period that ends now, and ends those that are due. */
    readonly advance: (period: Milliseconds) => void;
    /** Returns the number of requests that run at old targets. */
    readonly countAtOldTargets: () => number;
    /** Returns the time from the 50th bad response until the last request that reached the new version. */
    readonly getSentAfterBad: () => Milliseconds;
}

const COLD_FACTOR = 2;
/** Standard deviation of the logarithms of the latencies. */
const LATENCY_SPREAD = 0.6;
/** Number of bad responses from which a bad version must be stopped. */
const BAD_RESPONSES_TO_STOP = 50;
const MILLISECONDS_PER_SECOND = 1000;

const drawNormal = (random: Random): number =>
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

const mayServe = ({ rollouts, isNew }: SimulatedNode): boolean =>
    rollouts.mayServe(SERVICE, isNew ? NEW_VERSION : OLD_VERSION);

/** Creates the traffic of a fleet. */
export const createSimulatedTraffic = (
    { plan, clock, random, fleet, getElapsed }: SimulatedTrafficDependencies,
): SimulatedTraffic => {
    const counts: TrafficCounts = { requests: 0, newRequests: 0, badResponses: 0, unserved: 0 };
    let running: readonly RunningRequest[] = [];
    let fiftiethBadAt: Milliseconds | undefined;
    let lastNewRequestAt = 0;
    let requestCredit = 0;

    const pickTarget = (candidates: readonly SplitTarget[]): SimulatedNode | undefined =>
        fleet.findNode(candidates[Math.floor(random() * candidates.length)]?.nodeId ?? "");

    /** Returns the less loaded of two random targets. */
    const chooseTarget = (candidates: readonly SplitTarget[], exclude?: NodeId): SimulatedNode | undefined =>
        [pickTarget(candidates), pickTarget(candidates)]
            .filter((node) => node !== undefined)
            .filter(({ id }) => id !== exclude)
            .sort((left, right) => left.inFlight - right.inFlight)
            .at(0);

    const drawKind = (): RequestKind => {
        let rest = random();
        return REQUEST_KINDS.find(({ share }) => (rest -= share) < 0) ?? REQUEST_KINDS[0];
    };

    const isFaulty = (node: SimulatedNode, kind: RequestKind): boolean => {
        const { fromMs = 0, kind: faultyKind = kind.name, fromLoad = 0 } = plan.behaviour;
        const load = node.inFlight / plan.slots;
        return node.isNew && getElapsed() >= fromMs && faultyKind === kind.name && load >= fromLoad;
    };

    const countRequest = ({ isNew }: SimulatedNode): void => {
        if (getElapsed() < 0 || getElapsed() > plan.durationMs) {
            return;
        }
        counts.requests += 1;
        if (isNew) {
            counts.newRequests += 1;
            lastNewRequestAt = clock.monotonic();
        }
    };

    const startRequest = (node: SimulatedNode, kind: RequestKind): RunningRequest => {
        const isShown = isFaulty(node, kind);
        const { failureShare, latencyFactor } = isShown ? plan.behaviour : GOOD_BEHAVIOUR;
        const isCold = clock.now() < node.target.since + plan.coldStartMs;
        const queueFactor = Math.max(1, node.inFlight / plan.slots);
        const latencyMs = kind.latencyMs * Math.exp(LATENCY_SPREAD * drawNormal(random)) * node.slowness *
            queueFactor * latencyFactor * (isCold ? COLD_FACTOR : 1);
        const isFailure = random() < failureShare;
        node.inFlight += 1;
        return {
            node,
            kind,
            endsAt: clock.monotonic() + latencyMs,
            latencyMs,
            isFailure,
            isBad: isShown && (isFailure || latencyFactor > GOOD_BEHAVIOUR.latencyFactor),
            isCold,
        };
    };

    const sendRequest = (): void => {
        const gateway = fleet.nodes[Math.floor(random() * fleet.nodes.length)];
        const split = gateway?.rollouts.split(SERVICE, fleet.listTargets());
        const base = split?.base ?? fleet.listTargets();
        const first = chooseTarget(split === undefined || split.trial.length === 0 ? base : split.trial);
        const node = first !== undefined && mayServe(first) ? first : chooseTarget(base, first?.id);
        if (node === undefined || !mayServe(node)) {
            counts.unserved += 1;
            return;
        }
        running = [...running, startRequest(node, drawKind())];
        countRequest(node);
    };

    const endRequest = ({ node, kind, latencyMs, isFailure, isBad, isCold }: RunningRequest): void => {
        node.inFlight -= 1;
        if (isBad) {
            counts.badResponses += 1;
            fiftiethBadAt ??= counts.badResponses >= BAD_RESPONSES_TO_STOP ? clock.monotonic() : undefined;
        }
        node.rollouts.recordRun(SERVICE, {
            kind: kind.name,
            isFailure,
            latencyMs: isCold || isFailure ? undefined : latencyMs,
        });
    };

    const endDueRequests = (): void => {
        const now = clock.monotonic();
        const due = running.filter(({ endsAt }) => endsAt <= now);
        running = running.filter(({ endsAt }) => endsAt > now);
        due.forEach(endRequest);
    };

    const getBurstFactor = (): number => {
        const { burst } = plan;
        return burst !== undefined && getElapsed() >= burst.fromMs && getElapsed() < burst.toMs ? burst.factor : 1;
    };

    return {
        counts,
        advance: (period) => {
            endDueRequests();
            requestCredit += plan.requestsPerSecond * getBurstFactor() * period / MILLISECONDS_PER_SECOND;
            for (; requestCredit >= 1; requestCredit--) {
                sendRequest();
            }
        },
        countAtOldTargets: () => running.filter(({ node }) => !node.isNew).length,
        getSentAfterBad: () => fiftiethBadAt === undefined ? 0 : Math.max(0, lastNewRequestAt - fiftiethBadAt),
    };
};
