/** Holds the target on this node's VM with the gate in front of it, and publishes its changes. */
import type { Gate } from "oleandergap-gate";
import type { Announcement, MemberTarget } from "oleandergap-types";
import {
    applyLimit,
    closeGate,
    closeLeavingTarget,
    createLocalTarget,
    describeTarget,
    toMemberTarget,
    type LocalTarget,
    type LocalTargetDependencies,
} from "./localTarget.js";

export interface TargetHolderDependencies extends LocalTargetDependencies {
    /** Publishes the target to other nodes; undefined if there is none. */
    readonly publish: (target: MemberTarget | undefined) => void;
    /** Called when a response of a target states that the target will stop soon. */
    readonly onDeparture: (announcement: Announcement) => void;
}

/** The target and its gate. */
export interface TargetHolder {
    readonly current: () => LocalTarget | undefined;
    /** Replaces the target. */
    readonly install: (announcement: Announcement) => void;
    /** Applies an announcement of the current target. */
    readonly update: (announcement: Announcement) => void;
    /** Drains the gate of the target, unless it is already leaving. */
    readonly startLeaving: () => void;
    readonly remove: () => void;
    /** Applies the current limit from the table to the gate. */
    readonly refreshLimit: () => void;
    /** States that the target that was removed last has left, so that its gate has nothing to tell a successor. */
    readonly forgetRemoved: () => void;
}

/** Creates a holder without a target. */
export const createTargetHolder = (dependencies: TargetHolderDependencies): TargetHolder => {
    const { logger } = dependencies;
    let target: LocalTarget | undefined;
    /** Gate of the last target, if that target disappeared without leaving. */
    let disappearedGate: Gate | undefined;

    const publish = (): void => {
        dependencies.publish(target && toMemberTarget(target));
    };

    const startLeaving = (): void => {
        if (target !== undefined && !target.leaving) {
            target = closeLeavingTarget(dependencies, target);
            publish();
        }
    };

    const remove = (): void => {
        if (target !== undefined) {
            logger.info("The target was removed.", { ...describeTarget(target.announcement) });
            closeGate(dependencies, target.gate);
            disappearedGate = target.leaving ? undefined : target.gate;
            target = undefined;
            publish();
        }
    };

    const install = (announcement: Announcement): void => {
        remove();
        target = createLocalTarget(dependencies, announcement, disappearedGate, (gate) => {
            dependencies.onDeparture(announcement);
            if (target?.gate === gate) {
                startLeaving();
            }
        });
        applyLimit(dependencies, target);
        publish();
        logger.info("A target was announced.", { ...describeTarget(announcement) });
    };

    const update = (announcement: Announcement): void => {
        if (target === undefined) {
            return;
        }
        const { slots, connections } = target.announcement;
        target = { ...target, announcement };
        if (slots !== announcement.slots || connections !== announcement.connections) {
            applyLimit(dependencies, target);
            publish();
        }
    };

    return {
        current: () => target,
        install,
        update,
        startLeaving,
        remove,
        refreshLimit: () => {
            if (target !== undefined) {
                applyLimit(dependencies, target);
            }
        },
        forgetRemoved: () => {
            disappearedGate = undefined;
        },
    };
};
