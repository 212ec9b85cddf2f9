/**
 * Fair shares of a target's customers: finds the customers that ask for more than their share of its time.
 *
 * The share of a customer is what it usually asks for, or an equal part if that is more, so that large and small
 * customers are cut alike when all of them ask for more. A customer is over its share if its demand grew more than that
 * of the others. Demand is work, not requests: the forecast service times. Requests of different priorities are
 * compared separately.
 */
import type { Milliseconds } from "oleandergap-types";
import type { CustomerDemand } from "./admission.js";
import {
    createCustomerRecords,
    DEMAND_DECAY_MS,
    setHasGrown,
    USUAL_DECAY_MS,
    type CustomerRecord,
    type CustomerRequest,
    type WorkSums,
} from "./customerRecords.js";

/** Growth relative to the other customers above which a customer is over its share; below, it may be chance. */
const GROWTH_TOLERANCE = 1.4;
/** Requests that a customer may send beyond its share: the next request of a small customer comes at any time. */
const TOLERATED_REQUESTS = 2;
/**
 * Least part of the requests beyond the share that counts as usual. Counted whole, a flood would become usual within
 * seconds at a gate that is as old; not counted at all, a customer that grew for good would never be within its share.
 */
const MINIMUM_LEARNED_PART = 0.25;
/** Part of its usual work that a customer over its share keeps, so that it never gets nothing. */
const KEPT_PART = 0.5;
/** Part of its work for which a refused request counts as demand, since most refused requests come back once. */
const REFUSED_PART = 0.5;
/** Part of the usual work of the other customers that those within their share need to be the measure of growth. */
const MINIMUM_MEASURE_PART = 0.1;

/** Decides which customers are over their share. Times are monotonic. */
export interface CustomerShares {
    /** Records a request that arrives. Returns whether its customer is over its share. */
    readonly recordArrival: (request: CustomerRequest, now: Milliseconds) => boolean;
    /** Records that a request that arrived at `arrivedAt` was refused. */
    readonly recordRefusal: (request: CustomerRequest, arrivedAt: Milliseconds, now: Milliseconds) => void;
    /** Returns the records with the largest demand, at most `limit`. */
    readonly listLargest: (limit: number, now: Milliseconds) => readonly CustomerDemand[];
    /** Returns the number of pairs of customer and priority with a record. */
    readonly size: () => number;
}

/** Returns the usual work within the time that the demand covers. */
const computeUsualDemand = ({ usual }: Pick<WorkSums, "usual">): Milliseconds =>
    usual * DEMAND_DECAY_MS / USUAL_DECAY_MS;

/** Returns the sums that contain the requests of a customer. */
const listSumsWith = ({ group, sums, hasGrown }: CustomerRecord): readonly WorkSums[] =>
    hasGrown ? [sums, group.total] : [sums, group.total, group.within];

/** Returns the demand of the other customers relative to their usual demand. */
const computeGrowthOfOthers = ({ group, sums, hasGrown }: CustomerRecord): number => {
    const computeGrowth = ({ demand, usual }: WorkSums, own: Pick<WorkSums, "demand" | "usual">): number => {
        const usualOfOthers = computeUsualDemand({ usual: usual - own.usual });
        return usualOfOthers > 0 ? Math.max(0, demand - own.demand) / usualOfOthers : 0;
    };
    const { total, within } = group;
    const ownPartOfWithin = hasGrown ? { demand: 0, usual: 0 } : sums;
    const growthOfAll = computeGrowth(total, sums);
    // Several customers may flood at once; the rest is then the measure, as long as it is a good part.
    const isWithinMeaningful =
        within.usual - ownPartOfWithin.usual >= MINIMUM_MEASURE_PART * (total.usual - sums.usual);
    return isWithinMeaningful ? Math.min(growthOfAll, computeGrowth(within, ownPartOfWithin)) : growthOfAll;
};

/** Returns the demand of a customer up to which it is within its share. All sums are up to date. */
const computeAllowedDemand = (record: CustomerRecord, work: Milliseconds): Milliseconds => {
    const { group: { total, customers }, sums } = record;
    if (customers < 2) {
        return Number.POSITIVE_INFINITY;
    }
    const share = computeUsualDemand({ usual: Math.max(sums.usual, total.usual / customers) });
    const meanWork = total.demand / Math.max(1, total.requests);
    const tolerated = TOLERATED_REQUESTS * Math.max(work, meanWork);
    return GROWTH_TOLERANCE * computeGrowthOfOthers(record) * share + tolerated;
};

const describeRecord = ({ request, sums, hasGrown }: CustomerRecord): CustomerDemand => ({
    ...request,
    demandSlots: sums.demand / DEMAND_DECAY_MS,
    usualSlots: sums.usual / USUAL_DECAY_MS,
    isOverShare: hasGrown,
});

/** Creates shares without customers. */
export const createCustomerShares = (): CustomerShares => {
    const records = createCustomerRecords();

    /** Returns whether a customer over its share still has a part of its usual work left, and uses it. */
    const takeKeptPart = ({ sums }: CustomerRecord, work: Milliseconds): boolean => {
        if (sums.kept >= KEPT_PART * computeUsualDemand(sums)) {
            return false;
        }
        sums.kept += work;
        return true;
    };

    return {
        recordArrival: (request, now) => {
            const record = records.getOrCreate(request, now);
            const allowedDemand = computeAllowedDemand(record, request.work);
            setHasGrown(record, record.sums.demand > allowedDemand);
            record.learnedPart = record.hasGrown ?
                Math.max(MINIMUM_LEARNED_PART, allowedDemand / record.sums.demand) :
                1;
            const isOver = record.hasGrown && !takeKeptPart(record, request.work);
            for (const sums of listSumsWith(record)) {
                sums.demand += request.work;
                sums.usual += record.learnedPart * request.work;
                sums.requests += 1;
            }
            return isOver;
        },
        recordRefusal: (request, arrivedAt, now) => {
            const record = records.getOrCreate(request, now);
            const { sums } = record;
            const returned = (1 - REFUSED_PART) * request.work;
            const returnedDemand = Math.min(sums.demand, returned * Math.exp((arrivedAt - now) / DEMAND_DECAY_MS));
            const returnedUsual = Math.min(
                sums.usual,
                record.learnedPart * returned * Math.exp((arrivedAt - now) / USUAL_DECAY_MS),
            );
            for (const changed of listSumsWith(record)) {
                changed.demand -= returnedDemand;
                changed.usual -= returnedUsual;
            }
        },
        listLargest: (limit, now) => records.list(now)
            .map(describeRecord)
            .sort((left, right) => right.demandSlots - left.demandSlots)
            .slice(0, limit),
        size: records.size,
    };
};
