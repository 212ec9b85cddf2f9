/**
 * Manages the target on this node's VM: its announcement, its gate and its liveness.
 *
 * A target repeats its announcement as a heartbeat. If heartbeats are missing, the target is removed. Otherwise, other
 * nodes would keep sending requests to a VM without a target, and the connections would fail until those nodes eject
 * it.
 */
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
import { createHeartbeatTimer } from "./heartbeatTimer.js";
import { createLifetimes } from "./lifetimes.js";

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
}

export interface LocalTargetManagerDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    /** Publishes the target to other nodes; undefined if there is none. */
    readonly publish: (target: MemberTarget | undefined) => void;
    /** Returns the limit from a service's row; undefined if the table has no such row. */
    readonly findLimit: (service: ServiceReference) => Limit | undefined;
    readonly createGate: (limit: Limit, slots: number) => Gate;
    /** Time without a heartbeat after which the target is removed. */
    readonly heartbeatTimeoutMs: Milliseconds;
    /**
     * Requests that still wait this long after their target starts to leave, or their node starts to stop, are refused.
     */
    readonly leavingQueueMs: Milliseconds;
    /** Time over which other nodes increase the share of requests for a new target; see `PickerOptions`. */
    readonly slowStartMs: Milliseconds;
}

export interface LocalTargetManager {
    /** Handles an announcement or a heartbeat that repeats it. */
    readonly announce: (announcement: Announcement) => void;
    /**
     * Removes the target. If `instanceId` and `bornAt` (Unix time) are given, only if they match the current lifetime.
     */
    readonly withdraw: (instanceId?: string, bornAt?: Milliseconds) => void;
    /**
     * Removes the target of `gate` because its process has ended. Waiting requests are refused immediately. The next
     * announcement adds the target again.
     */
    readonly removeTarget: (gate: Gate) => void;
    readonly current: () => LocalTarget | undefined;
    /** Applies the current limit from the table to the gate. */
    readonly refreshLimit: () => void;
    /** Starts to drain the target on behalf of an operator. Returns false if it is not a target of `service`. */
    readonly drain: (service: ServiceReference) => boolean;
    /**
     * Stops admitting requests, refuses requests that still wait after `leavingQueueMs`, and resolves when the requests
     * in flight have finished.
     */
    readonly stop: () => Promise<void>;
}

/** Limit for a service without a row in the table: no request is admitted. */
const CLOSED_LIMIT: Limit = { concurrency: 1, queue: 0, timeoutMs: 1, retryRatio: 0 };

const describeTarget = ({ partner, service, port, instanceId }: Announcement): LogContext =>
    ({ service: `${partner}/${service}`, port, instance: instanceId });

const toMemberTarget = ({ announcement, leaving, since }: LocalTarget): MemberTarget => ({
    partner: announcement.partner,
    service: announcement.service,
    slots: announcement.slots,
    leaving,
    since,
});

const isTargetOfService = ({ announcement }: LocalTarget, { partner, service }: ServiceReference): boolean =>
    announcement.partner === partner && announcement.service === service;

const isSameTarget = (left: Announcement, right: Announcement): boolean =>
    left.partner === right.partner &&
    left.service === right.service &&
    left.address === right.address &&
    left.port === right.port &&
    left.instanceId === right.instanceId &&
    left.bornAt === right.bornAt;

/**
 * Returns whether an announcement names a service that is not in any table, while the current target's service is. Such
 * an announcement may come from a sender other than the target. If it replaced the current target, requests for a
 * healthy target would be refused.
 */
const isUnknownServiceReplacement = (
    target: LocalTarget | undefined,
    announcement: Announcement,
    findLimit: LocalTargetManagerDependencies["findLimit"],
): boolean =>
    target !== undefined && findLimit(target.announcement) !== undefined && findLimit(announcement) === undefined;

/**
 * Estimates when the target started. After a restart of the node, its target may have been warm for a long time. If it
 * counted as new, it would receive the reduced share of a cold target during the whole slow start, and other targets
 * would receive its load.
 */
const estimateStartTime = (
    { clock, slowStartMs }: LocalTargetManagerDependencies,
    { coldLeftMs }: Announcement,
): Milliseconds => clock.now() - (coldLeftMs === undefined ? 0 : Math.max(0, slowStartMs - coldLeftMs));

/** Creates a target with a gate that admits nothing until its limit is applied. */
const createLocalTarget = (
    dependencies: LocalTargetManagerDependencies,
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
    };
};

/**
 * Drains the gate. Running requests finish. Waiting requests may start only for a short time: the target may end soon
 * after it has announced that it leaves, and a request that it received just before its end would be lost. At a gate
 * whose node stops, a long queue would use up the whole drain timeout, after which the requests that are still running
 * are aborted.
 */
const closeGate = ({ clock, leavingQueueMs }: LocalTargetManagerDependencies, gate: Gate): void => {
    void gate.drain();
    clock.after(leavingQueueMs, gate.refuseWaiting);
};

/** Drains the gate of a target that has stated its departure, and returns the leaving target. */
const closeLeavingTarget = (dependencies: LocalTargetManagerDependencies, local: LocalTarget): LocalTarget => {
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

const applyLimit = ({ findLimit }: LocalTargetManagerDependencies, { announcement, gate }: LocalTarget): void => {
    const limit = findLimit(announcement);
    // The gate never admits more requests than the target accepts connections, so an admitted request never waits for a
    // connection.
    const slots = Math.min(announcement.slots, announcement.connections);
    gate.setLimit(limit ?? CLOSED_LIMIT, limit === undefined ? 0 : slots);
};

export const createLocalTargetManager = (dependencies: LocalTargetManagerDependencies): LocalTargetManager => {
    const { clock, logger } = dependencies;
    let target: LocalTarget | undefined;
    let isStopping = false;
    /** Gate of the last target, if that target disappeared without leaving. */
    let disappearedGate: Gate | undefined;
    const lifetimes = createLifetimes();
    const heartbeatTimer = createHeartbeatTimer(clock, dependencies.heartbeatTimeoutMs, () => removeTarget());

    const publish = (): void => {
        dependencies.publish(target && toMemberTarget(target));
    };

    const startLeaving = (local: LocalTarget): void => {
        if (!local.leaving) {
            target = closeLeavingTarget(dependencies, local);
            publish();
        }
    };

    const removeTarget = (): void => {
        heartbeatTimer.cancel();
        if (target !== undefined) {
            logger.info("The target was removed.", { ...describeTarget(target.announcement) });
            closeGate(dependencies, target.gate);
            disappearedGate = target.leaving ? undefined : target.gate;
            target = undefined;
            publish();
        }
    };

    const withdraw: LocalTargetManager["withdraw"] = (instanceId, bornAt) => {
        if (instanceId !== undefined && !lifetimes.end(instanceId, bornAt)) {
            logger.info("Ignored the withdrawal of a former target lifetime.", { instance: instanceId, bornAt });
            return;
        }
        if (instanceId === undefined || target?.announcement.instanceId === instanceId) {
            removeTarget();
            disappearedGate = undefined;
        }
    };

    const installTarget = (announcement: Announcement): void => {
        target = createLocalTarget(dependencies, announcement, disappearedGate, (gate) => {
            lifetimes.markLeaving(announcement);
            if (target?.gate === gate) {
                startLeaving(target);
            }
        });
        applyLimit(dependencies, target);
        publish();
        logger.info("A target was announced.", { ...describeTarget(announcement) });
    };

    const updateTarget = (local: LocalTarget, announcement: Announcement): void => {
        const isChanged = local.announcement.slots !== announcement.slots ||
            local.announcement.connections !== announcement.connections;
        target = { ...local, announcement };
        if (isChanged) {
            applyLimit(dependencies, target);
            publish();
        }
        if (announcement.leaving) {
            startLeaving(target);
        }
    };

    const announce = (announcement: Announcement): void => {
        if (isStopping) {
            return;
        }
        if (isUnknownServiceReplacement(target, announcement, dependencies.findLimit)) {
            logger.warn("Ignored an announcement of an unknown service.", { ...describeTarget(announcement) });
            return;
        }
        if (!lifetimes.accept(announcement)) {
            return;
        }
        heartbeatTimer.restart();
        if (target !== undefined && isSameTarget(target.announcement, announcement)) {
            updateTarget(target, announcement);
            return;
        }
        if (target !== undefined) {
            removeTarget();
            heartbeatTimer.restart();
        }
        installTarget(announcement);
        // A target whose heartbeats were missing for some time comes back with the same lifetime.
        if (target !== undefined && (announcement.leaving || lifetimes.isLeaving(announcement))) {
            startLeaving(target);
        }
    };

    const drain = (service: ServiceReference): boolean => {
        if (target === undefined || !isTargetOfService(target, service)) {
            return false;
        }
        startLeaving(target);
        return true;
    };

    const removeTargetOfGate = (gate: Gate): void => {
        if (target?.gate === gate) {
            removeTarget();
            gate.refuseWaiting();
        }
    };

    return {
        announce,
        withdraw,
        removeTarget: removeTargetOfGate,
        drain,
        current: () => target,
        refreshLimit: () => {
            if (target !== undefined) {
                applyLimit(dependencies, target);
            }
        },
        stop: async () => {
            isStopping = true;
            heartbeatTimer.cancel();
            if (target !== undefined) {
                const { gate } = target;
                closeGate(dependencies, gate);
                await gate.drain();
            }
        },
    };
};
