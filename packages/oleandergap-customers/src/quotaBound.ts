/**
 * Divides the tokens that may exist at one moment among pools and nodes, so that no window sees more requests than the
 * quota allows.
 */
import { MILLISECONDS_PER_SECOND, type CustomerQuota, type Milliseconds } from "oleandergap-types";
import type { QuotaOptions } from "./options.js";

/** Time after the request for a token at which the token is lost. Longer than a round trip with one repetition. */
export const TOKEN_LIFETIME_MS: Milliseconds = 300;
/** Fraction of the slack that is used; the rest covers clocks that run at different speeds. */
const USED_SLACK = 0.9;
/** Tokens that the pool of each zone holds besides its share of the burst. Fractions of a token are of no use. */
const SPARE_PER_ZONE = 3;

/** The nodes that divide a quota. */
export interface FleetSize {
    readonly zones: number;
    readonly nodesPerZone: number;
}

/** Tokens of one customer over all nodes together. */
export interface TokenBudget {
    /** Largest number of tokens in all pools together. */
    readonly poolCapacity: number;
    /** Number of tokens that each node may keep until it uses them. */
    readonly keptPerNode: number;
}

/** Returns how far the requests of a window may exceed those of the quota. */
const computeSlack = (
    { ratePerSecond, burst }: CustomerQuota,
    { windowMs, overageFraction, overageRequests }: QuotaOptions,
): number =>
    overageFraction * (ratePerSecond * windowMs / MILLISECONDS_PER_SECOND + burst) + overageRequests;

/**
 * Tokens exist in pools, on the way with a lifetime of {@link TOKEN_LIFETIME_MS}, and kept at nodes. Their sum may not
 * exceed the burst and the slack.
 */
export const computeTokenBudget = (
    quota: CustomerQuota,
    options: QuotaOptions,
    { zones, nodesPerZone }: FleetSize,
): TokenBudget => {
    const nodeCount = Math.max(1, zones * nodesPerZone);
    const onTheWay = quota.ratePerSecond * TOKEN_LIFETIME_MS / MILLISECONDS_PER_SECOND;
    const spare = USED_SLACK * computeSlack(quota, options) - onTheWay;
    // Pools hold the whole burst, so that it can be used at a single node.
    const keptPerNode = Math.max(0, Math.floor((spare - SPARE_PER_ZONE * zones) / nodeCount));
    return { poolCapacity: Math.max(0, quota.burst + spare - keptPerNode * nodeCount), keptPerNode };
};
