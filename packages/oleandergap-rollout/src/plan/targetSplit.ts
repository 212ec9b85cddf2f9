/** Divides the targets of a service into those of the new version and the others. */
import type { Milliseconds, NodeId } from "oleandergap-types";
import { rankByRendezvous } from "oleandergap-utils";
import type { TargetReports } from "../judge/tally.js";
import type { RolloutOptions } from "../options.js";
import type { Rollout } from "../rollout.js";

/** A target in the list of a gateway. */
export interface SplitTarget {
    readonly nodeId: NodeId;
    readonly leaving: boolean;
    /** Wall-clock time of the first announcement of the target. */
    readonly since: Milliseconds;
}

/** Targets of a service during a roll-out. */
export interface TargetSplit<Target extends SplitTarget> {
    /** Targets of the new version that receive requests. */
    readonly trial: readonly Target[];
    /** Targets that receive all other requests. */
    readonly base: readonly Target[];
}

/** What the division of the targets depends on. */
export interface SplitContext {
    readonly rollout: Rollout;
    readonly reports: TargetReports;
    /** Wall-clock time of the order, as estimated by this node. */
    readonly orderedAtWallClock: Milliseconds;
    /** Wall-clock time at which the present state of the roll-out began, as estimated by this node. */
    readonly sinceWallClock: Milliseconds;
    /** Share of the requests that the new version receives. */
    readonly share: number;
    readonly options: RolloutOptions;
}

/** A target of the new version, an earlier one, or one that has not reported its version yet. */
type TargetOrigin = "new" | "old" | "unknown";

/** Nodes estimate wall-clock times that differ by up to this time. */
const WALL_CLOCK_TOLERANCE_MS: Milliseconds = 500;

const findOrigin = (target: SplitTarget, { rollout, reports, orderedAtWallClock }: SplitContext): TargetOrigin => {
    const report = reports.get(target.nodeId)?.report;
    if (report !== undefined) {
        return report.version === rollout.order.version ? "new" : "old";
    }
    // A target of the new version is started for the order; it is held back until its version is known.
    return target.since + WALL_CLOCK_TOLERANCE_MS < orderedAtWallClock ? "old" : "unknown";
};

const isWarm = (target: SplitTarget, { reports }: SplitContext): boolean =>
    reports.get(target.nodeId)?.report.coldLeftMs === 0;

/**
 * Returns the targets that receive the canary requests. All nodes choose the same few, so that these carry about the
 * load that each target will carry later: a fault that shows under load only does not show at targets that are idle.
 */
const chooseCanaryTargets = <Target extends SplitTarget>(
    targets: readonly Target[],
    { rollout, share, options }: SplitContext,
): readonly Target[] => {
    const count = Math.max(options.canaryTargets, Math.ceil(share * targets.length));
    return rankByRendezvous(rollout.order.id, targets, ({ nodeId }) => nodeId).slice(0, count);
};

/** Returns the targets that serve after a roll-out was completed: the old ones have ended or end at once. */
const listCompletedTargets = <Target extends SplitTarget>(
    targets: readonly Target[],
    context: SplitContext,
): readonly Target[] => {
    const remaining = targets.filter((target) =>
        findOrigin(target, context) !== "old" || target.since > context.sinceWallClock + WALL_CLOCK_TOLERANCE_MS);
    // The version that was moved to may have ended too; then what is left serves.
    return remaining.length > 0 ? remaining : targets;
};

/** Returns the targets that serve after the new version was stopped. */
const listStoppedTargets = <Target extends SplitTarget>(
    targets: readonly Target[],
    context: SplitContext,
): readonly Target[] => targets.filter((target) => {
    const origin = findOrigin(target, context);
    const isLaterTarget = target.since > context.sinceWallClock + WALL_CLOCK_TOLERANCE_MS;
    return origin === "old" || (origin === "unknown" && isLaterTarget);
});

const splitForTrial = <Target extends SplitTarget>(
    targets: readonly Target[],
    context: SplitContext,
): TargetSplit<Target> => {
    const oldTargets = targets.filter((target) => findOrigin(target, context) === "old");
    const warmTargets = targets.filter((target) =>
        findOrigin(target, context) === "new" && !target.leaving && isWarm(target, context));
    // A service that has no old target is better served by the new version than not at all.
    const isServedByOldTargets = oldTargets.some(({ leaving }) => !leaving);
    return {
        trial: chooseCanaryTargets(warmTargets, context),
        base: isServedByOldTargets ? oldTargets : targets,
    };
};

/** Divides the targets by the state of the roll-out. */
export const splitTargets = <Target extends SplitTarget>(
    targets: readonly Target[],
    context: SplitContext,
): TargetSplit<Target> => {
    switch (context.rollout.state) {
        case "completed":
            return { trial: [], base: listCompletedTargets(targets, context) };
        case "stopping":
        case "rolledBack":
            return { trial: [], base: listStoppedTargets(targets, context) };
        case "running":
        case "promoting":
            return splitForTrial(targets, context);
    }
};
