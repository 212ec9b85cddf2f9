/** Creates the reports of this node about its own target. */
import type { Clock, Milliseconds, NodeId, ServiceReference } from "oleandergap-types";
import { rankByRendezvous } from "oleandergap-utils";
import type { RolloutRecord } from "./exchange/rolloutStore.js";
import { createOutcomeCounter, type OutcomeCounter, type RunOutcome } from "./judge/outcomeCounter.js";
import type { TargetReport, TargetReports } from "./judge/tally.js";
import { isFinal, isSameService, type Rollout, type RolloutState, type TargetVersion } from "./rollout.js";

/** The local target as far as roll-outs need it. */
export interface LocalTargetState {
    readonly service: ServiceReference;
    readonly version: TargetVersion;
    readonly slots: number;
    readonly inFlight: number;
    /** Remaining time of the target's cold start. */
    readonly coldLeftMs: Milliseconds;
}

/** Dependencies of a reporter. */
export interface TargetReporterDependencies {
    readonly nodeId: NodeId;
    readonly clock: Clock;
    readonly findLocalTarget: () => LocalTargetState | undefined;
}

/** Creates reports for the roll-out of the local target's service. */
export interface TargetReporter {
    readonly recordRun: (rollout: Rollout, outcome: RunOutcome) => void;
    /** Returns a report if one is due; undefined if the local target does not take part. */
    readonly createReport: (record: Pick<RolloutRecord, "rollout" | "reports">) => TargetReport | undefined;
}

/** Number of targets of the old version that report as often as those of the new version. */
const CONTROL_GROUP_SIZE = 6;
/**
 * Interval of the reports of all other targets. In a large fleet, frequent reports of all targets would delay those
 * that decide.
 */
const REFERENCE_INTERVAL_MS: Milliseconds = 1500;
/** Interval of the reports of all targets during a promotion, which ends when the old ones have finished. */
const PROMOTION_INTERVAL_MS: Milliseconds = 600;
/** Interval of the reports of targets that are compared. */
const COMPARED_INTERVAL_MS: Milliseconds = 300;

/** What was counted for one roll-out at one version of the local target. */
interface Count {
    readonly rolloutId: string;
    readonly version: TargetVersion;
    readonly epoch: number;
    readonly counter: OutcomeCounter;
    sequence: number;
    reportedAt: Milliseconds;
    /** Whether an outcome was counted since the last report. */
    hasNews: boolean;
}

/** Returns whether a node with the old version is one of the few whose outcomes the new version is compared with. */
const isInControlGroup = (nodeId: NodeId, { order }: Rollout, reports: TargetReports): boolean => {
    const oldNodes = [...reports.values()]
        .filter(({ report }) => report.version !== order.version && report.slots > 0)
        .map(({ report }) => report.node);
    return rankByRendezvous(order.id, oldNodes, (node) => node).slice(0, CONTROL_GROUP_SIZE).includes(nodeId);
};

const getInterval = (state: RolloutState, hasComparedNews: boolean): Milliseconds => {
    if (hasComparedNews && !isFinal(state)) {
        return COMPARED_INTERVAL_MS;
    }
    return state === "promoting" ? PROMOTION_INTERVAL_MS : REFERENCE_INTERVAL_MS;
};

/** Creates a reporter without counts. */
export const createTargetReporter = (
    { nodeId, clock, findLocalTarget }: TargetReporterDependencies,
): TargetReporter => {
    let count: Count | undefined;
    let lastEpoch = Math.floor(clock.now());

    /** Returns the count of a roll-out; a new one after a change of the target's version. */
    const getCount = (rolloutId: string, version: TargetVersion): Count => {
        if (count?.rolloutId !== rolloutId || count.version !== version) {
            lastEpoch += 1;
            count = {
                rolloutId,
                version,
                epoch: lastEpoch,
                counter: createOutcomeCounter(),
                sequence: 0,
                reportedAt: Number.NEGATIVE_INFINITY,
                hasNews: false,
            };
        }
        return count;
    };

    const findTarget = ({ order }: Rollout): LocalTargetState | undefined => {
        const target = findLocalTarget();
        return target !== undefined && isSameService(target.service, order.service) ? target : undefined;
    };

    return {
        recordRun: (rollout, outcome) => {
            const target = findTarget(rollout);
            if (target !== undefined) {
                const current = getCount(rollout.order.id, target.version);
                current.counter.add(outcome);
                current.hasNews = true;
            }
        },
        createReport: ({ rollout, reports }) => {
            const target = findTarget(rollout);
            if (target === undefined) {
                return undefined;
            }
            const now = clock.monotonic();
            const current = getCount(rollout.order.id, target.version);
            const isCompared = target.version === rollout.order.version || isInControlGroup(nodeId, rollout, reports);
            if (now - current.reportedAt < getInterval(rollout.state, isCompared && current.hasNews)) {
                return undefined;
            }
            current.sequence += 1;
            current.reportedAt = now;
            current.hasNews = false;
            return {
                node: nodeId,
                epoch: current.epoch,
                sequence: current.sequence,
                version: target.version,
                slots: target.slots,
                inFlight: target.inFlight,
                coldLeftMs: Math.max(0, Math.round(target.coldLeftMs)),
                tallies: current.counter.tallies(),
            };
        },
    };
};
