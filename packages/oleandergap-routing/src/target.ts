/** Describes targets, the requests for which a target is picked, and the reports about the attempts. */
import type {
    GateLoad,
    Milliseconds,
    NodeId,
    RefusalReason,
    ServiceReference,
    ServiceRow,
    ZoneName,
} from "oleandergap-types";

/** A target as listed in the target directory. */
export interface RoutableTarget {
    readonly nodeId: NodeId;
    readonly zone: ZoneName;
    readonly slots: number;
    readonly leaving: boolean;
    /** Wall-clock time of the target's first announcement. */
    readonly since: Milliseconds;
}

/** Properties of a request that are available when its target is picked. */
export interface PickRequest<Target extends RoutableTarget> {
    readonly service: ServiceReference;
    readonly row: ServiceRow;
    /**
     * The service's targets. The records must stay the same objects while nothing changes, preferably in the same
     * array; new objects make the picker rebuild its state.
     */
    readonly targets: readonly Target[];
    /**
     * Name of the group of targets if they are not the usual ones of the service. The picker keeps separate state for
     * each group.
     */
    readonly group?: string | undefined;
    /** Nodes that this request has already been sent to. */
    readonly exclude: readonly NodeId[];
    /**
     * Zone that is skipped while another zone can serve the request, because it refused the request for lack of
     * capacity.
     */
    readonly avoidZone?: ZoneName | undefined;
    /**
     * Whether the request may be sent again if its response is lost. Such requests are preferred as probes of ejected
     * targets.
     */
    readonly canResend: boolean;
    /**
     * Kind of the request. Requests of one kind take about the same time; without a kind, all requests are treated
     * alike.
     */
    readonly kind?: string | undefined;
    /** Latency objective, on the monotonic clock; undefined if there is none. */
    readonly objective?: Milliseconds | undefined;
}

/** Result of an attempt, as far as it indicates the state of the target. */
export type AttemptOutcome =
    | { readonly kind: "Answered"; readonly latencyMs: Milliseconds }
    | { readonly kind: "Refused"; readonly reason: RefusalReason }
    | { readonly kind: "ConnectFailed" }
    /**
     * The response did not arrive or was interrupted. A timeout is not counted as a failure of the target if responses
     * of the service usually take longer than that.
     */
    | { readonly kind: "AnswerLost"; readonly waitedMs: Milliseconds; readonly isTimeout: boolean }
    /**
     * The caller disconnected, or the request was invalid. If the caller disconnected after `waitedMs`, the response
     * would have taken longer than that, so the attempt is treated like a timeout.
     */
    | { readonly kind: "Abandoned"; readonly waitedMs?: Milliseconds };

/** Receives the events of an attempt, besides its outcome, that indicate the state of its target. */
export interface AttemptProgress {
    /** Whether the request probes an ejected target. A probe should wait only briefly for a request heartbeat. */
    readonly isProbe: boolean;
    /** Records that the target's gate sends request heartbeats at regular intervals until it responds. */
    readonly expectHeartbeats: () => void;
    /** Records a request heartbeat: an interim response by which the gate shows that the request is still running. */
    readonly recordHeartbeat: () => void;
    /**
     * Records that no request heartbeat arrived within the timeout. Other requests avoid the target until its next
     * request heartbeat or response. Returns true if the target was already marked as unresponsive or is being probed,
     * so that another attempt at the same target is pointless.
     */
    readonly silent: () => boolean;
    /**
     * Records that the response body ended completely (`isComplete`) or was interrupted through no fault of the caller.
     * It is called after the outcome was reported.
     */
    readonly recordBodyEnd: (isComplete: boolean) => void;
}

/** A picked target. The outcome of each pick must be reported once. */
export interface TargetPick<Target extends RoutableTarget> {
    readonly target: Target;
    readonly progress: AttemptProgress;
    /** Records the outcome and, if the gate responded, its load. Further calls have no effect. */
    readonly report: (outcome: AttemptOutcome, load?: GateLoad) => void;
}

/** The load of a target as one node last received it, to be shared with other nodes of its zone. */
export interface SharedLoad {
    readonly nodeId: NodeId;
    /** Number of requests that the target runs and that wait for it. */
    readonly requests: number;
    readonly capacity: number;
    readonly pace: number;
    /** Time since the target's gate reported this load. */
    readonly ageMs: Milliseconds;
}

/** Exchanges reports of the loads of targets with other nodes of the zone. */
export interface LoadExchange {
    /**
     * Returns the latest reports of targets in the local zone, the newest first. Empty unless the targets of the
     * service report their pace.
     */
    readonly shareLoads: (service: ServiceReference) => readonly SharedLoad[];
    /** Records reports that another node has shared, as far as they are newer than this node's. */
    readonly recordSharedLoads: (service: ServiceReference, loads: readonly SharedLoad[]) => void;
}

/** Picks targets and updates their state with the outcomes of the attempts. */
export interface TargetPicker<Target extends RoutableTarget> extends LoadExchange {
    /** Picks the next target. Returns undefined when the table and `exclude` leave none. */
    readonly pick: (request: PickRequest<Target>) => TargetPick<Target> | undefined;
    /**
     * Returns whether a target that the request has not been sent to is expected to have a free slot. Always false
     * unless targets are placed by load: with weights, each zone receives its share whether it has free slots or not.
     */
    readonly hasFreeSlot: (request: PickRequest<Target>) => boolean;
    /** Returns the retry delay to suggest to a caller when no target could be reached. */
    readonly retryAfter: (service: ServiceReference) => Milliseconds;
    /** Returns what the picker estimates of all targets that report their pace, for metrics. */
    readonly targets: () => readonly TargetSummary[];
    /** Returns the picker's view of a service's zones, for metrics. */
    readonly zones: (service: ServiceReference) => readonly ZoneSummary[];
}

/** What the picker estimates of a target that reports its pace. */
export interface TargetSummary {
    /** Service as `partner/service`, followed by the group of targets if they are not the usual ones. */
    readonly service: string;
    readonly nodeId: NodeId;
    /** 1 if the target is ejected, otherwise 0. */
    readonly ejected: number;
    /** Age of the latest report. */
    readonly ageMs: Milliseconds;
    /** Number of requests that run or wait at the target. */
    readonly requests: number;
    readonly capacity: number;
    readonly pace: number;
    /** Usual time of requests at the target as a multiple of the typical time. */
    readonly relativeTime: number;
    /** Expected time of a run that starts now. */
    readonly runMs: Milliseconds;
    /** Expected time until a request that is sent now is complete. */
    readonly completionMs: Milliseconds;
}

/** State of one zone of a service, as seen by the picker. */
export interface ZoneSummary {
    readonly zone: ZoneName;
    readonly targets: number;
    readonly ejected: number;
    /** Share of the zone's requests that is sent to other zones for lack of capacity, from 0 to 1. */
    readonly spill: number;
    readonly isReachable: boolean;
}
