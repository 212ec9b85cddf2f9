/**
 * Limits the changes of each partner at this node. Each partner has a separate budget, so that many changes of one
 * partner do not affect the other partner.
 */
import type { Clock, Milliseconds, PartnerName } from "oleandergap-types";
import { createBulkTokenBucket, type BulkTokenBucket } from "oleandergap-utils";
import type { ChangeOptions } from "./options.js";

/** Change budgets of all partners at one node. */
export interface ChangeBudget {
    /**
     * Takes one change of `bytes` from the budget of the partner. Returns 0 on success, otherwise the number of
     * milliseconds until the change may be sent again.
     */
    readonly take: (partner: PartnerName, bytes: number) => Milliseconds;
}

interface PartnerBudget {
    readonly changes: BulkTokenBucket;
    readonly bytes: BulkTokenBucket;
}

/** Creates full budgets. A change that is larger than the burst of bytes requires the entire burst. */
export const createChangeBudget = (clock: Clock, options: ChangeOptions): ChangeBudget => {
    const budgets = new Map<PartnerName, PartnerBudget>();
    const getBudget = (partner: PartnerName): PartnerBudget => {
        const existing = budgets.get(partner);
        if (existing !== undefined) {
            return existing;
        }
        const created = {
            changes: createBulkTokenBucket({
                clock,
                ratePerSecond: () => options.changesPerSecond,
                burst: options.changesBurst,
            }),
            bytes: createBulkTokenBucket({
                clock,
                ratePerSecond: () => options.bytesPerSecond,
                burst: options.bytesBurst,
            }),
        };
        budgets.set(partner, created);
        return created;
    };
    return {
        take: (partner, bytes) => {
            const budget = getBudget(partner);
            const countedBytes = Math.min(bytes, options.bytesBurst);
            const waitMs = Math.max(budget.changes.timeUntil(1), budget.bytes.timeUntil(countedBytes));
            if (waitMs === 0) {
                budget.changes.take(1);
                budget.bytes.take(countedBytes);
            }
            return Math.ceil(waitMs);
        },
    };
};
