/**
 * Manages the target on this node's VM: its announcement, its gate and its liveness.
 *
 * A target repeats its announcement as a heartbeat. If heartbeats are missing, the target is removed. Otherwise, other
 * nodes would keep sending requests to a VM without a target, and the connections would fail until those nodes eject
 * it.
 */
import type { Gate } from "oleandergap-gate";
import type { Announcement, Milliseconds, ServiceReference } from "oleandergap-types";
import { createHeartbeatTimer } from "./heartbeatTimer.js";
import type { Departure } from "../departures/departure.js";
import type { DepartureLog } from "../departures/departureLog.js";
import { createKnownDepartures } from "./knownDepartures.js";
import { createLifetimes, type LifetimeReference } from "./lifetimes.js";
import {
    closeGate,
    describeTarget,
    isSameTarget,
    isTargetOfService,
    type LocalTarget,
} from "./localTarget.js";
import { createTargetHolder, type TargetHolderDependencies } from "./targetHolder.js";

export interface LocalTargetManagerDependencies extends Omit<TargetHolderDependencies, "onDeparture"> {
    /** Time without a heartbeat after which the target is removed. */
    readonly heartbeatTimeoutMs: Milliseconds;
    /** Departures that outlast this process. If absent, they are forgotten at its end. */
    readonly departures?: Pick<DepartureLog, "record">;
}

export interface LocalTargetManager {
    /** Handles an announcement or a heartbeat that repeats it. */
    readonly announce: (announcement: Announcement) => void;
    /**
     * Resolves with whether the latest announcement or withdrawal of a lifetime may be acknowledged: false if it
     * announced a departure that a restart of this node would undo.
     */
    readonly confirm: (lifetime: LifetimeReference) => Promise<boolean>;
    /** Applies departures that were announced before this process started. */
    readonly restoreDepartures: (departures: readonly Departure[]) => void;
    /** Accepts targets from now on. Until then only departures are handled, because earlier ones are not known yet. */
    readonly acceptTargets: () => void;
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
    /**
     * Starts to drain the target on behalf of an operator, until the target is gone. Resolves with false if it is not a
     * target of `service`, else once the order is stored, as far as it can be.
     */
    readonly drain: (service: ServiceReference) => Promise<boolean>;
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

/**
 * Returns whether a later announcement with the same instance id shows if it comes from the same lifetime. Without
 * that, a target that restarts with its id could not come back after it has left.
 */
const isDistinguishable = ({ bornAt, sequence }: Announcement): boolean =>
    bornAt !== undefined || sequence !== undefined;

export const createLocalTargetManager = (dependencies: LocalTargetManagerDependencies): LocalTargetManager => {
    const { clock, logger, departures } = dependencies;
    let isStopping = false;
    /** Without stored departures there is nothing to wait for. */
    let acceptsTargets = departures === undefined;
    /** The latest announcement that waits until targets are accepted. */
    let pendingAnnouncement: Announcement | undefined;
    const lifetimes = createLifetimes();
    const heartbeatTimer = createHeartbeatTimer(clock, dependencies.heartbeatTimeoutMs, () => removeTarget());

    const known = createKnownDepartures(lifetimes, departures);
    const holder = createTargetHolder({ ...dependencies, onDeparture: known.record });

    const removeTarget = (): void => {
        heartbeatTimer.cancel();
        holder.remove();
        known.drainOrder.end();
    };

    const withdraw: LocalTargetManager["withdraw"] = (instanceId, bornAt) => {
        if (instanceId !== undefined && !lifetimes.end(instanceId, bornAt)) {
            logger.info("Ignored the withdrawal of a former target lifetime.", { instance: instanceId, bornAt });
            return;
        }
        known.record({ instanceId, bornAt });
        if (instanceId === undefined || holder.current()?.announcement.instanceId === instanceId) {
            removeTarget();
            holder.forgetRemoved();
        }
    };

    const acceptAnnouncement = (announcement: Announcement): void => {
        const current = holder.current();
        if (isUnknownServiceReplacement(current, announcement, dependencies.findLimit)) {
            logger.warn("Ignored an announcement of an unknown service.", { ...describeTarget(announcement) });
            return;
        }
        const isCurrent = current !== undefined && isSameTarget(current.announcement, announcement);
        const isDeparted = current?.leaving === false && !isCurrent && lifetimes.isLeaving(announcement);
        if (!lifetimes.accept(announcement) || isDeparted) {
            return;
        }
        heartbeatTimer.restart();
        if (isCurrent) {
            holder.update(announcement);
        }
        else {
            known.drainOrder.endUnlessFor(announcement);
            holder.install(announcement);
        }
        // A target whose heartbeats were missing for some time comes back with the same lifetime.
        if (known.includes(announcement)) {
            holder.startLeaving();
        }
    };

    const announce = (announcement: Announcement): void => {
        if (announcement.leaving && isDistinguishable(announcement)) {
            known.record(announcement);
        }
        if (isStopping) {
            return;
        }
        if (acceptsTargets || announcement.leaving) {
            acceptAnnouncement(announcement);
            return;
        }
        pendingAnnouncement = announcement;
    };

    const acceptTargets = (): void => {
        const announcement = pendingAnnouncement;
        acceptsTargets = true;
        pendingAnnouncement = undefined;
        if (announcement !== undefined) {
            announce(announcement);
        }
    };

    const restoreDepartures: LocalTargetManager["restoreDepartures"] = (found) => {
        known.restore(found);
        const current = holder.current()?.announcement;
        if (current !== undefined && known.includes(current)) {
            holder.startLeaving();
        }
    };

    const drain: LocalTargetManager["drain"] = async (service) => {
        const current = holder.current();
        if (current === undefined || !isTargetOfService(current, service)) {
            return false;
        }
        holder.startLeaving();
        await known.drainOrder.give(current.announcement);
        return true;
    };

    const removeTargetOfGate = (gate: Gate): void => {
        if (holder.current()?.gate === gate) {
            removeTarget();
            gate.refuseWaiting();
        }
    };

    return {
        announce,
        confirm: known.confirm,
        restoreDepartures,
        acceptTargets,
        withdraw,
        removeTarget: removeTargetOfGate,
        drain,
        current: holder.current,
        refreshLimit: holder.refreshLimit,
        stop: async () => {
            isStopping = true;
            heartbeatTimer.cancel();
            const gate = holder.current()?.gate;
            if (gate !== undefined) {
                closeGate(dependencies, gate);
                await gate.drain();
            }
        },
    };
};
