/**
 * Manages the target on this node's VM: its announcement, its gate and its liveness.
 *
 * A target repeats its announcement as a heartbeat. If heartbeats are missing, the target is removed. Otherwise, other
 * nodes would keep sending requests to a VM without a target, and the connections would fail until those nodes eject
 * it.
 */
import type { Gate } from "oleandergap-gate";
import type { Announcement, MemberTarget, Milliseconds, ServiceReference } from "oleandergap-types";
import { createHeartbeatTimer } from "./heartbeatTimer.js";
import { createLifetimes } from "./lifetimes.js";
import {
    applyLimit,
    closeGate,
    closeLeavingTarget,
    createLocalTarget,
    describeTarget,
    isSameTarget,
    isTargetOfService,
    toMemberTarget,
    type LocalTarget,
    type LocalTargetDependencies,
} from "./localTarget.js";

export interface LocalTargetManagerDependencies extends LocalTargetDependencies {
    /** Publishes the target to other nodes; undefined if there is none. */
    readonly publish: (target: MemberTarget | undefined) => void;
    /** Time without a heartbeat after which the target is removed. */
    readonly heartbeatTimeoutMs: Milliseconds;
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
