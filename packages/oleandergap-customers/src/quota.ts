/** Admission of customers' requests by their quotas. */
import type { Either } from "fp-ts/lib/Either.js";
import type { Customer, CustomerName, Milliseconds, PartnerName } from "oleandergap-types";

/** Permission to run one request of a customer. */
export interface QuotaToken {
    readonly customer: CustomerName;
    /** Monotonic time of the admission. */
    readonly admittedAt: Milliseconds;
}

/** The customer has used up its quota. */
export interface QuotaRefusal {
    readonly retryAfterMs: Milliseconds;
}

export type QuotaDecision = Either<QuotaRefusal, QuotaToken>;

/** Keeps the quotas of all customers together with the other nodes. */
export interface Quota {
    /**
     * Decides whether a request of `customer` of `partner` may run. Returns a promise only if a share of the quota has
     * to be requested from another node first, which takes a few milliseconds at most.
     */
    readonly admit: (customer: Customer, partner: PartnerName) => QuotaDecision | Promise<QuotaDecision>;
    /** Returns the token of a request that was refused for another reason and never ran. */
    readonly giveBack: (token: QuotaToken) => void;
}
