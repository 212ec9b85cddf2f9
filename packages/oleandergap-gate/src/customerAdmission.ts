/** Ranks the requests of customers by their shares, and others by their priorities. */
import * as either from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds } from "oleandergap-types";
import { DEFAULT_KIND, type AdmissionRequest, type Gate } from "./admission.js";
import type { CustomerRequest } from "./customerRecords.js";
import { createCustomerShares } from "./customerShares.js";
import type { Forecast } from "./forecast.js";
import { createPriorityFloor } from "./priorityFloor.js";
import { createRecentDemand, type DemandedRequest } from "./recentDemand.js";
import type { RankedRequest } from "./rankedQueue.js";
import type { Decision, Refusals } from "./refusals.js";

/** Dependencies for ranking requests by customer. */
export interface CustomerAdmissionDependencies {
    readonly clock: Clock;
    readonly forecast: Pick<Forecast, "holdingTime">;
    /** Returns the number of slots. */
    readonly capacity: () => number;
    /** Returns whether a request could start at once. */
    readonly hasFreeSlot: () => boolean;
    readonly decide: (request: RankedRequest) => Decision | Promise<Decision>;
    readonly refusals: Pick<Refusals, "describeOverdue">;
}

/** Time after the last request of a customer for which a gate serves customers. */
const SERVING_MS: Milliseconds = 60_000;
/**
 * Priority of calls at a gate that serves customers. A call belongs to a request that holds a slot at another target,
 * which is lost if the call fails; whatever waits has not begun.
 */
const CALL_PRIORITY = 0;
/** Number of priorities before those of all other requests there. */
const PRIORITIES_OF_CALLS = 1;

/** Maximum number of customers in the list for operators. */
const MAXIMUM_LISTED = 10;

/** Admission by the shares of customers. See `Gate`. */
export type CustomerAdmission = Pick<Gate, "admit" | "refuseOverdue" | "admissionShare" | "listCustomers" | "listPriorities">;

/** Returns whether a request was refused because it would not finish before its deadline. */
const wasRefusedForDeadline = (decision: Decision): boolean =>
    either.isLeft(decision) && decision.left.kind === "Refused" && decision.left.reason === "DeadlineTooShort";

/** Creates the admission by shares. Requests without a customer are never over a share. */
export const createCustomerAdmission = (
    { clock, forecast, capacity, hasFreeSlot, decide, refusals }: CustomerAdmissionDependencies,
): CustomerAdmission => {
    const shares = createCustomerShares();
    const recentDemand = createRecentDemand(clock);
    const priorityFloor = createPriorityFloor(clock, recentDemand);

    let lastCustomerAt = Number.NEGATIVE_INFINITY;

    const isServingCustomers = (now: Milliseconds): boolean => now - lastCustomerAt <= SERVING_MS;

    const recordDecision = (
        request: DemandedRequest & Pick<AdmissionRequest, "kind">,
        offeredPriority: number,
        decision: Decision,
    ): void => {
        const workMs = forecast.holdingTime(request.kind ?? DEFAULT_KIND);
        recentDemand.recordDecision(request, workMs, decision);
        priorityFloor.recordDecision(request, { offeredPriority, workMs, decision });
    };

    const choosePriority = ({ priority = 0, isCall = false }: AdmissionRequest): number =>
        isCall ? CALL_PRIORITY : priority + PRIORITIES_OF_CALLS;

    const admit: CustomerAdmission["admit"] = async (request) => {
        const arrivedAt = clock.monotonic();
        if (request.customer !== undefined) {
            lastCustomerAt = arrivedAt;
        }
        if (!isServingCustomers(arrivedAt)) {
            const offeredPriority = priorityFloor.choosePriority(request);
            const decision = await decide({
                ...request, priority: offeredPriority, isOverShare: false, servesCustomers: false,
            });
            if (wasRefusedForDeadline(decision) && hasFreeSlot()) {
                // No more room would help such requests. Counted, they would lower the share that nodes send again and
                // again, since the same part of those that still arrive is refused.
                return decision;
            }
            recordDecision(request, offeredPriority, decision);
            return decision;
        }
        const priority = choosePriority(request);
        if (request.customer === undefined) {
            return decide({ ...request, priority, isOverShare: false, servesCustomers: true });
        }
        const customerRequest: CustomerRequest = {
            partner: request.partner,
            customer: request.customer,
            priority: request.priority ?? 0,
            work: forecast.holdingTime(request.kind ?? DEFAULT_KIND),
        };
        const isOverShare = shares.recordArrival(customerRequest, arrivedAt);
        const decision = await decide({ ...request, priority, isOverShare, servesCustomers: true });
        if (either.isLeft(decision)) {
            shares.recordRefusal(customerRequest, arrivedAt, clock.monotonic());
        }
        return decision;
    };

    return {
        admit,
        refuseOverdue: (request) => {
            const refusal = refusals.describeOverdue();
            if (!isServingCustomers(clock.monotonic())) {
                recordDecision(request, request.priority ?? 0, either.left(refusal));
            }
            return refusal;
        },
        admissionShare: (priority) => isServingCustomers(clock.monotonic()) ?
            1 :
            Math.max(recentDemand.admissionShare(priority), priorityFloor.promisedShare(priority, capacity())),
        listCustomers: () => shares.listLargest(MAXIMUM_LISTED, clock.monotonic()),
        listPriorities: priorityFloor.listCounts,
    };
};
