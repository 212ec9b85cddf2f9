/** Records of the work that customers ask of a target, as sums that decay, by customer and priority. */
import { formatCustomerReference, type CustomerReference, type Milliseconds } from "oleandergap-types";

/** Time constant of the demand. At any moment a target runs only a few requests, too few to compare customers by. */
export const DEMAND_DECAY_MS: Milliseconds = 1500;
/** Time constant of the usual work: many times the length of a burst, so that a burst does not become usual. */
export const USUAL_DECAY_MS: Milliseconds = 60_000;
/** Maximum number of pairs of customer and priority with a record. The one without requests for longest is removed. */
const MAXIMUM_RECORDS = 10_000;

/** A request of a customer. */
export interface CustomerRequest extends CustomerReference {
    readonly priority: number;
    /** Forecast time for which the request occupies a slot. */
    readonly work: Milliseconds;
}

/** Decaying sums, in milliseconds of work unless stated otherwise. */
export interface WorkSums {
    /** Arrived requests; those that were refused count in part. */
    demand: Milliseconds;
    /** Number of arrived requests. */
    requests: number;
    /** Requests of a customer over its share that were treated as if it were not. */
    kept: Milliseconds;
    /**
     * The demand with the slower decay `USUAL_DECAY_MS`; requests beyond the share count in part only. The work of
     * started requests would not do: a customer that is cut for long would seem to ask for more and more beyond what is
     * usual.
     */
    usual: Milliseconds;
    updatedAt: Milliseconds;
}

/** Customers of a priority. */
export interface PriorityGroup {
    /** Sums of all customers. */
    readonly total: WorkSums;
    /** Sums of the customers within their share. */
    readonly within: WorkSums;
    /** Number of customers with a record. */
    customers: number;
}

/** What a gate records of one customer among the requests of one priority. */
export interface CustomerRecord {
    readonly request: Pick<CustomerRequest, "partner" | "customer" | "priority">;
    readonly group: PriorityGroup;
    readonly sums: WorkSums;
    /** Whether the demand had grown more than that of the others at the last request. */
    hasGrown: boolean;
    /** Part of its requests that counts as usual. */
    learnedPart: number;
}

/** The records of one gate. */
export interface CustomerRecords {
    /** Returns the record of a request's customer and priority with its sums up to date, created if necessary. */
    readonly getOrCreate: (request: CustomerRequest, now: Milliseconds) => CustomerRecord;
    /** Returns all records with their sums up to date. */
    readonly list: (now: Milliseconds) => readonly CustomerRecord[];
    /** Returns the number of records. */
    readonly size: () => number;
}

const createSums = (now: Milliseconds): WorkSums => ({ demand: 0, requests: 0, kept: 0, usual: 0, updatedAt: now });

/** Applies the decay until now. */
const decay = (sums: WorkSums, now: Milliseconds): void => {
    const elapsed = Math.max(0, now - sums.updatedAt);
    const demandFactor = Math.exp(-elapsed / DEMAND_DECAY_MS);
    sums.demand *= demandFactor;
    sums.requests *= demandFactor;
    sums.kept *= demandFactor;
    sums.usual *= Math.exp(-elapsed / USUAL_DECAY_MS);
    sums.updatedAt = now;
};

/** Applies the decay to all sums that contain the requests of a customer. */
const update = ({ group, sums }: CustomerRecord, now: Milliseconds): void => {
    decay(sums, now);
    decay(group.total, now);
    decay(group.within, now);
};

/** Sets whether the demand has grown, and moves the sums of the customer into or out of those within their share. */
export const setHasGrown = (record: CustomerRecord, hasGrown: boolean): void => {
    if (record.hasGrown === hasGrown) {
        return;
    }
    const { within } = record.group;
    const sign = hasGrown ? -1 : 1;
    within.demand += sign * record.sums.demand;
    within.usual += sign * record.sums.usual;
    record.hasGrown = hasGrown;
};

/** Creates records without customers. */
export const createCustomerRecords = (): CustomerRecords => {
    /** Least recently active first. */
    const records = new Map<string, CustomerRecord>();
    const groups = new Map<number, PriorityGroup>();

    const removeOldest = (now: Milliseconds): void => {
        const [oldest] = records;
        if (oldest === undefined) {
            return;
        }
        const [key, record] = oldest;
        const { request, group, sums } = record;
        records.delete(key);
        update(record, now);
        setHasGrown(record, true);
        group.total.demand -= sums.demand;
        group.total.requests -= sums.requests;
        group.total.usual -= sums.usual;
        group.customers -= 1;
        if (group.customers === 0) {
            groups.delete(request.priority);
        }
    };

    const createRecord = (
        { partner, customer, priority }: CustomerRequest,
        now: Milliseconds,
    ): CustomerRecord => {
        if (records.size >= MAXIMUM_RECORDS) {
            removeOldest(now);
        }
        const group = groups.get(priority) ??
            { total: createSums(now), within: createSums(now), customers: 0 };
        groups.set(priority, group);
        group.customers += 1;
        const request = { partner, customer, priority };
        return { request, group, sums: createSums(now), hasGrown: false, learnedPart: 1 };
    };

    const getOrCreate = (request: CustomerRequest, now: Milliseconds): CustomerRecord => {
        const key = `${request.priority} ${formatCustomerReference(request)}`;
        const record = records.get(key) ?? createRecord(request, now);
        records.delete(key);
        records.set(key, record);
        update(record, now);
        return record;
    };

    return {
        getOrCreate,
        list: (now) => {
            const all = [...records.values()];
            all.forEach((record) => update(record, now));
            return all;
        },
        size: () => records.size,
    };
};
