/** What a simulation of services that call each other plays, and its results. */
import type { Milliseconds } from "oleandergap-types";

/** Requests of one kind. */
export interface ChainKind {
    readonly name: string;
    readonly service: string;
    readonly priority: number;
    /** Rate of the callers; 0 for a kind that only targets call. */
    readonly requestsPerSecond: number;
    /** Mean time of a run at a target without slowness. */
    readonly workMs: Milliseconds;
    readonly objectiveMs: Milliseconds;
    readonly timeoutMs: Milliseconds;
    /** Time after which a caller stops waiting, counted from its first attempt. */
    readonly deadlineMs: Milliseconds;
    readonly isIdempotent: boolean;
    /** Call that a share of the runs makes halfway. A run whose call is not served fails. */
    readonly call?: { readonly kind: ChainKind; readonly share: number };
}

/** Targets of a service from some time on, one for each factor on their work. The first is beside `firstNode`. */
export interface ChainTargets {
    readonly service: string;
    readonly fromMs: Milliseconds;
    readonly firstNode: number;
    readonly slowness: readonly number[];
}

export interface ChainPlan {
    readonly seed: number;
    readonly kinds: readonly ChainKind[];
    readonly targets: readonly ChainTargets[];
    readonly slots: number;
    readonly nodes: number;
    /** Processor time that a node needs for each message of a request. */
    readonly messageMs: Milliseconds;
    /** Requests and calls that begin from here to the end are counted. */
    readonly countedFromMs: Milliseconds;
    readonly endMs: Milliseconds;
}

/** What became of the requests of one kind, or of its calls. */
export interface ChainCounts {
    requested: number;
    inTime: number;
    late: number;
}

/** Counts by kind. Calls count in the kind of the call. */
export type ChainResults = ReadonlyMap<string, ChainCounts>;
