/** Measures what the targets of a service can carry during a roll-out, from their reports and from their list. */
import type { Milliseconds } from "oleandergap-types";
import type { RolloutRecord } from "../exchange/rolloutStore.js";
import type { RolloutCapacity } from "./plan.js";
import type { SplitTarget } from "./targetSplit.js";

/**
 * Time within which a node receives a report of every target. Targets report at least every 1.5 s, and a report reaches
 * all nodes within a few rounds of gossip.
 */
const REPORT_WAIT_MS: Milliseconds = 3000;

/** Returns the capacity at a node that has followed the roll-out for a time. */
export const measureCapacity = (
    { rollout, reports }: Pick<RolloutRecord, "rollout" | "reports">,
    targets: readonly SplitTarget[],
    followedMs: Milliseconds,
): RolloutCapacity => {
    const isNew = (version: string | undefined): boolean => version === rollout.order.version;
    const capacity = { newSlots: 0, oldSlots: 0, oldInFlight: 0 };
    for (const { report } of reports.values()) {
        if (isNew(report.version)) {
            capacity.newSlots += report.slots;
        }
        else {
            capacity.oldSlots += report.slots;
            capacity.oldInFlight += report.inFlight;
        }
    }
    const hasUnreportedTarget = targets.some(({ nodeId, leaving }) =>
        !leaving && !isNew(reports.get(nodeId)?.report.version));
    return {
        ...capacity,
        hasOtherTargets: capacity.oldSlots > 0 || hasUnreportedTarget,
        isObserved: followedMs >= REPORT_WAIT_MS,
    };
};
