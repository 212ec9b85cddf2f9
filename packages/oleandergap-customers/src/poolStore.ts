/** The token pools of the customers that nodes have asked this node for. */
import { formatCustomerReference, type Clock, type CustomerQuota, type CustomerReference, type Milliseconds } from "oleandergap-types";
import type { QuotaOptions } from "./options.js";
import type { BucketSize, PartHistory } from "./partHistory.js";
import { createPoolBucket, type PoolBucket } from "./poolBucket.js";
import { computeTokenBudget } from "./quotaBound.js";
import type { Statements } from "./statedDemand.js";
import type { ZoneSize } from "./zoneSize.js";

/** A customer is forgotten after this time; its bucket is then computed from the history of the parts. */
const FORGET_MS: Milliseconds = 60_000;

/** Pool of one customer. */
export interface Pool {
    readonly bucket: PoolBucket;
    /** Requests per second that arrive at each node of the zone. */
    readonly demands: Statements;
    /** Fractions that the owners of other zones asked for. */
    readonly borrowers: Statements;
    usedAt: Milliseconds;
}

/** A customer, with its quota as another node states it, for tables that do not contain the customer yet. */
export interface StatedQuota extends CustomerReference {
    readonly rate: number;
    readonly burst: number;
}

export interface PoolStoreDependencies {
    readonly clock: Pick<Clock, "monotonic">;
    readonly options: QuotaOptions;
    readonly zoneSize: ZoneSize;
    readonly countZones: () => number;
    /** Returns the quota in this node's table; undefined if the table has none for the customer. */
    readonly findQuota: (customer: CustomerReference) => CustomerQuota | undefined;
    readonly history: PartHistory;
}

export interface PoolStore {
    /** Returns the pool of a customer, created if necessary. */
    readonly open: (reference: CustomerReference) => Pool;
    readonly find: (reference: CustomerReference) => Pool | undefined;
    /** Returns rate and capacity of the pool of a customer, for the whole quota. */
    readonly computeSize: (quota: StatedQuota) => BucketSize;
    /** Deletes customers that nobody has asked for recently. */
    readonly forgetIdle: () => void;
    readonly count: () => number;
}

export const createPoolStore = (
    { clock, options, zoneSize, countZones, findQuota, history }: PoolStoreDependencies,
): PoolStore => {
    const pools = new Map<string, Pool>();
    return {
        open: (reference) => {
            const text = formatCustomerReference(reference);
            const pool = pools.get(text) ??
                { bucket: createPoolBucket(history), demands: new Map(), borrowers: new Map(), usedAt: 0 };
            pools.set(text, pool);
            pool.usedAt = clock.monotonic();
            return pool;
        },
        find: (reference) => pools.get(formatCustomerReference(reference)),
        computeSize: (stated) => {
            const quota = findQuota(stated) ?? { ratePerSecond: stated.rate, burst: stated.burst };
            const fleetSize = { zones: countZones(), nodesPerZone: zoneSize.count() };
            const { poolCapacity } = computeTokenBudget(quota, options, fleetSize);
            return { ratePerSecond: quota.ratePerSecond, capacity: poolCapacity };
        },
        forgetIdle: () => {
            const now = clock.monotonic();
            for (const [key, { usedAt }] of pools) {
                if (now - usedAt > FORGET_MS) {
                    pools.delete(key);
                }
            }
        },
        count: () => pools.size,
    };
};
