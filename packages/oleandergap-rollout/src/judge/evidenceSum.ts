/** Sum of the evidence of one test, with the part of each target. */
import type { NodeId } from "oleandergap-types";
import { ALARM_THRESHOLD } from "./sequentialTest.js";

/** Number of targets from which one target alone does not decide. */
const MINIMUM_TARGETS = 3;
/** Evidence without that of the worst target must reach this share of the threshold. */
const OTHERS_SHARE = 0.5;
/** Multiple of the threshold at which the evidence of one target suffices. */
const SINGLE_TARGET_FACTOR = 6;

/** Sum of the evidence of one test. */
export interface EvidenceSum {
    /** Adds the log likelihood ratio of new outcomes at one target. */
    readonly add: (node: NodeId, logLikelihoodRatio: number) => void;
    /** Ends one round of additions: restarts the sum at zero if it is negative. */
    readonly endRound: () => void;
    /** Returns whether the evidence shows that the version is bad. */
    readonly isAlarm: () => boolean;
    /** Returns the sum since the first addition, without restarts. */
    readonly total: () => number;
}

/**
 * Creates an empty sum. If several targets took part, the evidence of a single one does not suffice: its VM may be
 * slow, or it may fail for a reason of its own.
 */
export const createEvidenceSum = (): EvidenceSum => {
    const parts = new Map<NodeId, number>();
    const nodes = new Set<NodeId>();
    let total = 0;
    let sum = 0;

    return {
        add: (node, logLikelihoodRatio) => {
            nodes.add(node);
            parts.set(node, (parts.get(node) ?? 0) + logLikelihoodRatio);
            sum += logLikelihoodRatio;
            total += logLikelihoodRatio;
        },
        endRound: () => {
            if (sum <= 0) {
                sum = 0;
                parts.clear();
            }
        },
        isAlarm: () => {
            const worstPart = Math.max(0, ...parts.values());
            const isSupported = nodes.size < MINIMUM_TARGETS || sum - worstPart >= OTHERS_SHARE * ALARM_THRESHOLD;
            return sum >= ALARM_THRESHOLD && (isSupported || sum >= SINGLE_TARGET_FACTOR * ALARM_THRESHOLD);
        },
        total: () => total,
    };
};
