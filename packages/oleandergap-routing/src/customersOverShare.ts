/**
 * Customers whose requests gates lately refused because the customer is over its share of a target.
 *
 * Their requests are throttled by themselves. If they were counted with the others, the refusals that one customer
 * causes would make this node refuse the requests of all customers.
 */
import type { Clock, Milliseconds } from "oleandergap-types";

/** Time constant of the refusals. Longer than the pauses between two refusals of one customer at one node. */
const DECAY_MS: Milliseconds = 2000;
/** Refusals in that time from which a customer is throttled by itself. A single one may be chance. */
const MINIMUM_REFUSALS = 1.5;
/** Maximum number of customers with a count. The one without refusals for longest is removed. */
const MAXIMUM_CUSTOMERS = 512;

/** Customers are identified by any name that is unique at this node. */
export interface CustomersOverShare {
    readonly recordRefusal: (customer: string) => void;
    readonly isOverShare: (customer: string) => boolean;
}

interface Refusals {
    count: number;
    updatedAt: Milliseconds;
}

/** Creates an empty record. */
export const createCustomersOverShare = (clock: Clock): CustomersOverShare => {
    const refusalsByCustomer = new Map<string, Refusals>();

    const computeCount = ({ count, updatedAt }: Refusals): number =>
        count * Math.exp((updatedAt - clock.monotonic()) / DECAY_MS);

    return {
        recordRefusal: (customer) => {
            const refusals = refusalsByCustomer.get(customer);
            const count = 1 + (refusals === undefined ? 0 : computeCount(refusals));
            refusalsByCustomer.delete(customer);
            refusalsByCustomer.set(customer, { count, updatedAt: clock.monotonic() });
            const [oldest] = refusalsByCustomer.keys();
            if (refusalsByCustomer.size > MAXIMUM_CUSTOMERS && oldest !== undefined) {
                refusalsByCustomer.delete(oldest);
            }
        },
        isOverShare: (customer) => {
            const refusals = refusalsByCustomer.get(customer);
            return refusals !== undefined && computeCount(refusals) >= MINIMUM_REFUSALS;
        },
    };
};
