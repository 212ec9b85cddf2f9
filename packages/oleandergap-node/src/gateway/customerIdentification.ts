/**
 * Determines the customer of a caller's request, or refuses the request. Only the entry node does this, once, with the
 * version that the request uses.
 */
import type { IncomingMessage } from "node:http";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import {
    MAX_PRIORITY,
    type Customer,
    type PartnerTable,
    type RequestFailure,
    type Route,
    type ServiceReference,
} from "oleandergap-types";
import type { CallerDialect } from "../http/dialect.js";
import type { FindKeyHolder } from "./customerKeys.js";

/** A request whose table and route are known. */
export interface RoutedArrival {
    readonly request: IncomingMessage;
    /** Service of the caller if the caller is this node's local target. */
    readonly callingService: ServiceReference | undefined;
    readonly table: PartnerTable;
    /** Undefined if the Host header contains the service itself. */
    readonly route: Route | undefined;
}

/** Returns the customer of a request; undefined if the request belongs to no customer. */
export type IdentifyCustomer = (arrival: RoutedArrival) => Either<RequestFailure, Customer | undefined>;

export interface CustomerIdentificationDependencies {
    readonly readCustomerKey: CallerDialect["readCustomerKey"];
    readonly findKeyHolder: FindKeyHolder;
    /** Returns whether a caller without a key may be the local target, whose calls carry no key. */
    readonly mayBeLocalTarget: (callingService: ServiceReference | undefined) => boolean;
}

/** A new key is in force within seconds. */
const unknownKey: RequestFailure = { kind: "Refused", verdict: "notRun", reason: "UnknownKey", retryAfterMs: 1000 };

const nobody: Either<RequestFailure, undefined> = either.right(undefined);

export const createCustomerIdentification = (
    { readCustomerKey, findKeyHolder, mayBeLocalTarget }: CustomerIdentificationDependencies,
): IdentifyCustomer => ({ request, callingService, table, route }) => {
    if (table.customers === undefined) {
        return nobody;
    }
    const key = readCustomerKey?.(request);
    if (key === undefined) {
        return route?.isPublic === true || mayBeLocalTarget(callingService) ? nobody : either.left(unknownKey);
    }
    const customer = findKeyHolder(table.customers, key);
    return customer === undefined ? either.left(unknownKey) : either.right(customer);
};

/**
 * Combines the priorities of a customer and of a route into one number, in which the customer's precedes the route's.
 * Requests that belong to no customer keep the priority of their route.
 */
export const combinePriorities = (customer: Customer | undefined, routePriority: number): number =>
    (customer?.priority ?? 0) * (MAX_PRIORITY + 1) + routePriority;
