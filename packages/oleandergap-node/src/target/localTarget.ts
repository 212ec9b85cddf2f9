/** The target on this node's VM with the gate in front of it, and the steps of its life. */
import type { Gate } from "oleandergap-gate";
import type { LogContext, Logger } from "oleandergap-logger";
import type {
    Announcement,
    Clock,
    LifetimeFeedback,
    Limit,
    MemberTarget,
    Milliseconds,
    ServiceReference,
} from "oleandergap-types";
import { createFeedbackRecorder, type FeedbackRecorder } from "./feedbackRecorder.js";
import { createReportRecorder, type ReportRecorder } from "./reportRecorder.js";

/** The target together with the gate in front of it. */
export interface LocalTarget {
    readonly announcement: Announcement;
    readonly gate: Gate;
    /** Wall-clock time of the first announcement. */
    readonly since: Milliseconds;
    readonly leaving: boolean;
    /** Gate of the previous target, if that target disappeared without leaving; undefined otherwise. */
    readonly predecessorGate: Gate | undefined;
    /** What the target states about itself in its responses. */
    readonly feedback: FeedbackRecorder;
    /** The load that the target reports in its responses. */
    readonly reports: ReportRecorder;
}

/** Dependencies of a local target. */
export interface LocalTargetDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    /** Returns the limit from a service's row; undefined if the table has no such row. */
    readonly findLimit: (service: ServiceReference) => Limit | undefined;
    readonly createGate: (limit: Limit, slots: number) => Gate;
    /**
     * Requests that still wait this long after their target starts to leave, or their node starts to stop, are refused.
     */
    readonly leavingQueueMs: Milliseconds;
    /** Time over which other nodes increase the share of requests for a new target; see `PickerOptions`. */
    readonly slowStartMs: Milliseconds;
}

/** Limit for a service without a row in the table: no request is admitted. */
const CLOSED_LIMIT: Limit = { concurrency: 1, queue: 0, timeoutMs: 1, retryRatio: 0 };

/** Describes a target in log lines. */
export const describeTarget = ({ partner, service, port, instanceId }: Announcement): LogContext =>
    ({ service: `${partner}/${service}`, port, instance: instanceId });

/** Returns what other nodes need to know of a target. */
export const toMemberTarget = ({ announcement, leaving, since }: LocalTarget): MemberTarget => ({
    partner: announcement.partner,
    service: announcement.service,
    slots: announcement.slots,
    leaving,
    since,
});

/** Returns whether a target serves a service. */
export const isTargetOfService = ({ announcement }: LocalTarget, { partner, service }: ServiceReference): boolean =>
    announcement.partner === partner && announcement.service === service;

/** Returns whether two announcements come from the same lifetime of a target at the same address. */
export const isSameTarget = (left: Announcement, right: Announcement): boolean =>
    left.partner === right.partner &&
    left.service === right.service &&
    left.address === right.address &&
    left.port === right.port &&
    left.instanceId === right.instanceId &&
    left.bornAt === right.bornAt;

/**
 * Estimates when the target started. After a restart of the node, its target may have been warm for a long time. If it
 * counted as new, it would receive the reduced share of a cold target during the whole slow start, and other targets
 * would receive its load.
 */
const estimateStartTime = (
    { clock, slowStartMs }: LocalTargetDependencies,
    { coldLeftMs }: Announcement,
): Milliseconds => clock.now() - (coldLeftMs === undefined ? 0 : Math.max(0, slowStartMs - coldLeftMs));

/** Creates a target with a gate that admits nothing until its limit is applied. */
export const createLocalTarget = (
    dependencies: LocalTargetDependencies,
    announcement: Announcement,
    predecessorGate: Gate | undefined,
    onLeaving: (gate: Gate) => void,
): LocalTarget => {
    const { clock, logger } = dependencies;
    const gate = dependencies.createGate(CLOSED_LIMIT, 0);
    return {
        announcement,
        gate,
        since: estimateStartTime(dependencies, announcement),
        leaving: false,
        predecessorGate,
        feedback: createFeedbackRecorder({
            clock, logger, target: describeTarget(announcement), gate, onLeaving: () => onLeaving(gate),
        }),
        reports: createReportRecorder({ clock, logger, target: describeTarget(announcement), gate }),
    };
};

/**
 * Drains the gate. Running requests finish. Waiting requests may start only for a short time: the target may end soon
 * after it has announced that it leaves, and a request that it received just before its end would be lost. At a gate
 * whose node stops, a long queue would use up the whole drain timeout, after which the requests that are still running
 * are aborted.
 */
export const closeGate = ({ clock, leavingQueueMs }: LocalTargetDependencies, gate: Gate): void => {
    void gate.drain(leavingQueueMs);
    clock.after(leavingQueueMs, gate.refuseWaiting);
};

/** Drains the gate of a target that has stated its departure, and returns the leaving target. */
export const closeLeavingTarget = (dependencies: LocalTargetDependencies, local: LocalTarget): LocalTarget => {
    dependencies.logger.info("The target is leaving.", { ...describeTarget(local.announcement) });
    closeGate(dependencies, local.gate);
    return { ...local, leaving: true };
};

/** Returns what a target has stated about itself, for other nodes; undefined if there is nothing to report. */
export const describeFeedback = (local: LocalTarget | undefined): LifetimeFeedback | undefined => {
    const feedback = local?.feedback.current();
    const { instanceId, bornAt } = local?.announcement ?? {};
    return feedback === undefined || instanceId === undefined ? undefined : { instanceId, bornAt, feedback };
};

/** Applies the limit from the table and the announced slots to the gate. */
export const applyLimit = ({ findLimit }: LocalTargetDependencies, { announcement, gate }: LocalTarget): void => {
    const limit = findLimit(announcement);
    // The gate never admits more requests than the target accepts connections, so an admitted request never waits for a
    // connection.
    const slots = Math.min(announcement.slots, announcement.connections);
    gate.setLimit(limit ?? CLOSED_LIMIT, limit === undefined ? 0 : slots);
};
