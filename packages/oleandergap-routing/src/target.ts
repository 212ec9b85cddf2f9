/** What routing needs to know of targets, and what it learns from attempts. */
import type {
    GateLoad,
    Milliseconds,
    NodeId,
    RefusalReason,
    ServiceReference,
    ServiceRow,
    ZoneName,
} from "oleandergap-types";

/** A target as the directory lists it. */
export interface RoutableTarget {
    readonly nodeId: NodeId;
    readonly zone: ZoneName;
    readonly slots: number;
    readonly leaving: boolean;
    /** Wall-clock time of the first announcement. */
    readonly since: Milliseconds;
}

/** What is known of a request when its target is chosen. */
export interface PickRequest<Target extends RoutableTarget> {
    readonly service: ServiceReference;
    readonly row: ServiceRow;
    /** The same records as long as nothing changed, at best in the same array; others make the picker rebuild. */
    readonly targets: readonly Target[];
    /** Nodes that this request has tried. */
    readonly exclude: readonly NodeId[];
    /** A zone to leave out while another one can serve, after a refusal for want of capacity there. */
    readonly avoidZone?: ZoneName | undefined;
    /** Whether the request may be sent again if its answer is lost; such requests go first to targets on probation. */
    readonly canResend: boolean;
    /** Requests of one kind take about the same time; all are alike when it is not given. */
    readonly kind?: string | undefined;
}

/** How an attempt ended, as far as it tells something of the target. */
export type AttemptOutcome =
    | { readonly kind: "Answered"; readonly latencyMs: Milliseconds }
    | { readonly kind: "Refused"; readonly reason: RefusalReason }
    | { readonly kind: "ConnectFailed" }
    /** The answer did not come or broke off; a timeout says little if the usual service takes longer. */
    | { readonly kind: "AnswerLost"; readonly waitedMs: Milliseconds; readonly isTimeout: boolean }
    /**
     * The caller hung up, or the request was at fault. A caller that hung up after `waitedMs` shows that the answer
     * would have taken longer; it counts like a timeout.
     */
    | { readonly kind: "Abandoned"; readonly waitedMs?: Milliseconds };

/** What an attempt tells of its target besides its outcome. */
export interface AttemptProgress {
    /** The request finds out whether an ejected target is well again; it had better not wait long for a sign. */
    readonly isProbe: boolean;
    /** From now on the target's gate gives signs of life at regular distances until it answers. */
    readonly expectSigns: () => void;
    /** A sign of life came. */
    readonly heard: () => void;
    /**
     * No sign came within the limit: other requests avoid the target until it gives one. True if the target was known
     * to be silent already, so that another try at the same target is pointless.
     */
    readonly silent: () => boolean;
    /** The answer's body ended, or broke off through no fault of the caller, after the outcome was reported. */
    readonly bodyEnded: (isWhole: boolean) => void;
}

/** A chosen target. Each pick must be reported once. */
export interface TargetPick<Target extends RoutableTarget> {
    readonly target: Target;
    readonly progress: AttemptProgress;
    /** Takes in the outcome and, if the gate answered, its load; further calls do nothing. */
    readonly report: (outcome: AttemptOutcome, load?: GateLoad) => void;
}

/** Chooses targets, and learns from how the attempts end. */
export interface TargetPicker<Target extends RoutableTarget> {
    /** Chooses the next target, undefined when the table and `exclude` leave none. */
    readonly pick: (request: PickRequest<Target>) => TargetPick<Target> | undefined;
    /**
     * Whether a target that the request has not tried is believed to have a free slot. Only known where targets are
     * placed by load; with weights the share of each zone decides, whatever room there is.
     */
    readonly hasRoom: (request: PickRequest<Target>) => boolean;
    /** When a caller had better come back after no target could be reached. */
    readonly retryAfter: (service: ServiceReference) => Milliseconds;
    /** What the picker thinks of a service's zones, for metrics. */
    readonly zones: (service: ServiceReference) => readonly ZoneSummary[];
}

/** One zone of a service, as the picker sees it. */
export interface ZoneSummary {
    readonly zone: ZoneName;
    readonly targets: number;
    readonly ejected: number;
    /** Share of the zone's requests that goes elsewhere for want of capacity, from 0 to 1. */
    readonly spill: number;
    readonly isReachable: boolean;
}
