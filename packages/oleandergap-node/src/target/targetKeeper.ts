/**
 * The target on this node's VM: what it announced, its gate, and whether it is still there.
 *
 * A target repeats its announcement as a heartbeat. When it stays away, it is taken for gone: otherwise other nodes
 * would go on sending requests to a VM without a target, and one would see failed connections until they give it up.
 */
import type { Gate } from "oleandergap-gate";
import type { LogContext, Logger } from "oleandergap-logger";
import type {
    Announcement,
    Clock,
    Limit,
    MemberTarget,
    Milliseconds,
    ServiceReference,
} from "oleandergap-types";
import { createExpiry } from "./expiry.js";
import { createLifetimes } from "./lifetimes.js";

/** The target together with the gate in front of it. */
export interface LocalTarget {
    readonly announcement: Announcement;
    readonly gate: Gate;
    /** Wall-clock time of the first announcement. */
    readonly since: Milliseconds;
    readonly leaving: boolean;
    /** The gate of the target before it, if that one went without a word. */
    readonly succeeds: Gate | undefined;
}

export interface TargetKeeperDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    /** Tells the other nodes. */
    readonly publish: (target: MemberTarget | undefined) => void;
    /** The limit of a service's row, or undefined when the table has no such row. */
    readonly limitOf: (service: ServiceReference) => Limit | undefined;
    readonly createGate: (limit: Limit, slots: number) => Gate;
    /** A target that stays away for so long is gone. */
    readonly heartbeatTimeoutMs: Milliseconds;
    /** Requests that still wait this long after their target began to leave, or their node to stop, are refused. */
    readonly leavingQueueMs: Milliseconds;
    /** Time over which other nodes raise the share of a new target; see `PickerOptions`. */
    readonly slowStartMs: Milliseconds;
}

export interface TargetKeeper {
    /** Takes an announcement or its repetition. */
    readonly announce: (announcement: Announcement) => void;
    /** The target is gone; with `instanceId` and `bornAt` (Unix time), only if it is that lifetime of it. */
    readonly withdraw: (instanceId?: string, bornAt?: Milliseconds) => void;
    /** The process behind `gate` has ended: what waits is refused at once. Its next announcement brings it back. */
    readonly lose: (gate: Gate) => void;
    readonly current: () => LocalTarget | undefined;
    /** Takes changed limits of the table into force. */
    readonly refreshLimit: () => void;
    /** Lets the target leave on behalf of an operator; false when it is not the target of `service`. */
    readonly drain: (service: ServiceReference) => boolean;
    /** Stops to admit requests, refuses before long what waits, and resolves when those in flight are through. */
    readonly stop: () => Promise<void>;
}

/** Limits of a service without a row: no request is let through. */
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

const serves = ({ announcement }: LocalTarget, { partner, service }: ServiceReference): boolean =>
    announcement.partner === partner && announcement.service === service;

const isSameTarget = (left: Announcement, right: Announcement): boolean =>
    left.partner === right.partner &&
    left.service === right.service &&
    left.address === right.address &&
    left.port === right.port &&
    left.instanceId === right.instanceId &&
    left.bornAt === right.bornAt;

/**
 * An announcement of a service that no table names may come from a writer of another kind. If it took the place of a
 * target that serves, one would see that target's share refused although it is well.
 */
const isForeign = (
    target: LocalTarget | undefined,
    announcement: Announcement,
    limitOf: TargetKeeperDependencies["limitOf"],
): boolean =>
    target !== undefined && limitOf(target.announcement) !== undefined && limitOf(announcement) === undefined;

/**
 * A node that restarts meets a target that has long been warm. Taken for new, it would get the small share of a cold
 * one for the whole slow start, and the others its load.
 */
const estimateStart = (
    { clock, slowStartMs }: TargetKeeperDependencies,
    { coldLeftMs }: Announcement,
): Milliseconds => clock.now() - (coldLeftMs === undefined ? 0 : Math.max(0, slowStartMs - coldLeftMs));

/**
 * What runs finishes. What waits has a short time to start: a target may be gone soon after it said so, and a request
 * that it received in its last moments would be lost. At a gate whose node stops, a long queue would take all the time
 * for draining, at the end of which what still runs is given up.
 */
const closeGate = ({ clock, leavingQueueMs }: TargetKeeperDependencies, gate: Gate): void => {
    void gate.drain();
    clock.after(leavingQueueMs, gate.refuseWaiting);
};

const applyLimit = ({ limitOf }: TargetKeeperDependencies, { announcement, gate }: LocalTarget): void => {
    const limit = limitOf(announcement);
    // The gate admits no more than the target has connections, so that an admitted request never waits for one.
    const slots = Math.min(announcement.slots, announcement.connections);
    gate.setLimit(limit ?? CLOSED_LIMIT, limit === undefined ? 0 : slots);
};

export const createTargetKeeper = (dependencies: TargetKeeperDependencies): TargetKeeper => {
    const { clock, logger } = dependencies;
    let target: LocalTarget | undefined;
    let stopping = false;
    /** The gate of the last target, if it has gone without a word. */
    let silentlyGone: Gate | undefined;
    const lifetimes = createLifetimes();
    const expiry = createExpiry(clock, dependencies.heartbeatTimeoutMs, () => removeTarget());

    const publish = (): void => {
        dependencies.publish(target && toMemberTarget(target));
    };

    const startLeaving = (local: LocalTarget): void => {
        target = { ...local, leaving: true };
        publish();
        logger.info("The target leaves.", { ...describeTarget(local.announcement) });
        closeGate(dependencies, local.gate);
    };

    const removeTarget = (): void => {
        expiry.cancel();
        if (target !== undefined) {
            logger.info("The target is gone.", { ...describeTarget(target.announcement) });
            closeGate(dependencies, target.gate);
            silentlyGone = target.leaving ? undefined : target.gate;
            target = undefined;
            publish();
        }
    };

    const withdraw: TargetKeeper["withdraw"] = (instanceId, bornAt) => {
        if (instanceId !== undefined && !lifetimes.end(instanceId, bornAt)) {
            logger.info("A goodbye of a former lifetime is late.", { instance: instanceId, bornAt });
            return;
        }
        if (instanceId === undefined || target?.announcement.instanceId === instanceId) {
            removeTarget();
            silentlyGone = undefined;
        }
    };

    const install = (announcement: Announcement): void => {
        const gate = dependencies.createGate(CLOSED_LIMIT, 0);
        const since = estimateStart(dependencies, announcement);
        target = { announcement, gate, since, leaving: false, succeeds: silentlyGone };
        applyLimit(dependencies, target);
        publish();
        logger.info("A target announced itself.", { ...describeTarget(announcement) });
    };

    const update = (local: LocalTarget, announcement: Announcement): void => {
        const isChanged = local.announcement.slots !== announcement.slots ||
            local.announcement.connections !== announcement.connections;
        target = { ...local, announcement };
        if (isChanged) {
            applyLimit(dependencies, target);
            publish();
        }
        if (announcement.leaving && !local.leaving) {
            startLeaving(target);
        }
    };

    const announce = (announcement: Announcement): void => {
        if (stopping) {
            return;
        }
        if (isForeign(target, announcement, dependencies.limitOf)) {
            logger.warn("An announcement names an unknown service.", { ...describeTarget(announcement) });
            return;
        }
        if (!lifetimes.accept(announcement)) {
            return;
        }
        expiry.arm();
        if (target !== undefined && isSameTarget(target.announcement, announcement)) {
            update(target, announcement);
            return;
        }
        if (target !== undefined) {
            removeTarget();
            expiry.arm();
        }
        install(announcement);
        if (announcement.leaving && target !== undefined) {
            startLeaving(target);
        }
    };

    const drain = (service: ServiceReference): boolean => {
        if (target === undefined || !serves(target, service)) {
            return false;
        }
        if (!target.leaving) {
            startLeaving(target);
        }
        return true;
    };

    const lose = (gate: Gate): void => {
        if (target?.gate === gate) {
            removeTarget();
            gate.refuseWaiting();
        }
    };

    return {
        announce,
        withdraw,
        lose,
        drain,
        current: () => target,
        refreshLimit: () => {
            if (target !== undefined) {
                applyLimit(dependencies, target);
            }
        },
        stop: async () => {
            stopping = true;
            expiry.cancel();
            if (target !== undefined) {
                const { gate } = target;
                closeGate(dependencies, gate);
                await gate.drain();
            }
        },
    };
};
