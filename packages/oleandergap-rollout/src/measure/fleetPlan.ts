/** Describes a simulated fleet and the behaviour of the versions that it runs. */
import type { Milliseconds } from "oleandergap-types";

/** Behaviour of the targets of one version. */
export interface VersionBehaviour {
    /** Share of requests that fail, from 0 to 1. */
    readonly failureShare: number;
    /** Factor on the latency. */
    readonly latencyFactor: number;
    /** Time after the order at which the behaviour begins. Before that, the version behaves like the old one. */
    readonly fromMs?: Milliseconds;
    /** Kind of request that the behaviour is limited to. */
    readonly kind?: string;
    /** Number of requests in flight per slot from which the behaviour shows. */
    readonly fromLoad?: number;
}

/** A period in which all callers send more requests. */
export interface Burst {
    readonly fromMs: Milliseconds;
    readonly toMs: Milliseconds;
    readonly factor: number;
}

/** A simulated roll-out. Times are counted from the order. */
export interface FleetPlan {
    /** Number of targets of each version; each has its own node. */
    readonly targets: number;
    readonly slots: number;
    readonly requestsPerSecond: number;
    readonly durationMs: Milliseconds;
    /** Time at which the targets of the new version start. */
    readonly newTargetsAtMs: Milliseconds;
    readonly coldStartMs: Milliseconds;
    readonly behaviour: VersionBehaviour;
    readonly burst?: Burst;
    /** Number of old targets that are slow by a factor of five all the time. */
    readonly slowOldTargets?: number;
    /** Number of new targets that are slow by a factor of five all the time. */
    readonly slowNewTargets?: number;
    /** Period in which the platform's table does not answer. */
    readonly outage?: { readonly fromMs: Milliseconds; readonly toMs: Milliseconds };
    /** Share of datagrams that are lost. */
    readonly lossShare?: number;
    /** Time at which all nodes are killed and started again. */
    readonly restartAtMs?: Milliseconds;
}

/** A kind of request and its usual latency. */
export interface RequestKind {
    readonly name: string;
    readonly latencyMs: Milliseconds;
    readonly share: number;
}

export const REQUEST_KINDS: readonly [RequestKind, ...RequestKind[]] = [
    { name: "view", latencyMs: 120, share: 0.5 },
    { name: "lodge", latencyMs: 200, share: 0.3 },
    { name: "read", latencyMs: 500, share: 0.2 },
];

/** Behaviour of a version without faults. */
export const GOOD_BEHAVIOUR: VersionBehaviour = { failureShare: 0.004, latencyFactor: 1 };

export const defaultFleetPlan: FleetPlan = {
    targets: 12,
    slots: 6,
    requestsPerSecond: 150,
    durationMs: 15_000,
    newTargetsAtMs: 1500,
    coldStartMs: 3000,
    behaviour: GOOD_BEHAVIOUR,
};
