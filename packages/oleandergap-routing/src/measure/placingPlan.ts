/** Parameters of a discrete-event run of one service with uneven targets and uneven demand, and its figures. */
import type { Milliseconds } from "oleandergap-types";

/** A kind of request. */
export interface PlacedKind {
    readonly name: string;
    /** Mean time of a run at a target of speed 1 and pace 1. */
    readonly workMs: Milliseconds;
    readonly objectiveMs: Milliseconds;
    readonly deadlineMs: Milliseconds;
    /** Share of the requests. */
    readonly share: number;
}

/** How the pace of the targets' VMs changes. */
export interface PacePlan {
    /** Share of the targets that are slow at any time. */
    readonly slowShare: number;
    readonly slowPace: number;
    /** Time after which each target draws its pace again. */
    readonly periodMs: Milliseconds;
    /** Reported paces are multiplied by a random factor between `1 - noise` and `1 + noise`. */
    readonly noise: number;
}

/** A target that runs nothing for a while. */
export interface PausePlan {
    /** Index of the target. */
    readonly target: number;
    readonly startsAt: Milliseconds;
    readonly endsAt: Milliseconds;
}

/** How the demand of the zones changes. */
export interface DemandPlan {
    /** Largest deviation of a zone's demand from its mean, as a share of the mean. The zones peak in turn. */
    readonly swing: number;
    readonly swingPeriodMs: Milliseconds;
    /** Factor on all demand during a burst. */
    readonly burst: number;
    readonly burstMs: Milliseconds;
    readonly burstPeriodMs: Milliseconds;
}

/** A load and the targets that serve it. */
export interface PlacingPlan {
    readonly seed: number;
    readonly durationMs: Milliseconds;
    /** Only requests that arrive after this time are counted. */
    readonly warmUpMs: Milliseconds;
    /** Mean demand as a share of the capacity of all targets. */
    readonly load: number;
    readonly zones: number;
    readonly targetsPerZone: number;
    /** Nodes at which requests arrive; the first `targetsPerZone` of a zone have a target on their VM. */
    readonly gatewaysPerZone: number;
    readonly slots: number;
    /** Speeds of the targets in turn: work takes its time divided by the speed. */
    readonly speeds: readonly number[];
    readonly pace: PacePlan;
    readonly demand: DemandPlan;
    readonly kinds: readonly PlacedKind[];
    /** Share of responses whose report is lost. */
    readonly reportLoss: number;
    /** Undefined if no target pauses. */
    readonly pause: PausePlan | undefined;
    readonly networkMs: Milliseconds;
    readonly queue: number;
}

/**
 * Way of choosing targets. `earliest` uses the exact state of all targets, which no real node has. `loads` is this
 * project without reports of the pace, `reports` with them.
 */
export type PlacingPolicy = "roundRobin" | "leastInFlight" | "loads" | "reports" | "earliest";

/** Results of a run. Fields that end in `Share` are shares of all requests, from 0 to 1. */
export interface PlacingFigures {
    readonly requests: number;
    /** Answered within the objective. */
    readonly timelyShare: number;
    /** Answered after the objective. */
    readonly lateShare: number;
    readonly refusedShare: number;
    readonly lostShare: number;
    readonly medianMs: Milliseconds;
    readonly p99Ms: Milliseconds;
    /** Attempts to another VM than the entry's, per request. */
    readonly hopShare: number;
    /** Attempts to another zone, per request. */
    readonly acrossZonesShare: number;
    /** Runs by target. */
    readonly runs: readonly number[];
    /** Requests running and waiting per slot, by zone, once per 100 ms. */
    readonly zoneLoads: readonly (readonly number[])[];
}
