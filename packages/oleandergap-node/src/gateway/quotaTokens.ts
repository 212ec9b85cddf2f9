/** Tokens of the quota of a request's customer: taken before the request runs, returned if it did not. */
import * as either from "fp-ts/lib/Either.js";
import type { Quota } from "oleandergap-customers";
import type { Customer, RequestFailure } from "oleandergap-types";
import type { CallerRequest } from "./callerRequest.js";
import type { RequestState } from "./requestState.js";

/**
 * Takes a token of the quota of the request's customer. Returns the refusal if there is none, and undefined, without
 * waiting, if the customer has no quota.
 */
export const takeQuotaToken = (
    quota: Quota,
    state: RequestState,
    { customer, table }: CallerRequest,
): Promise<RequestFailure | undefined> | undefined => {
    const take = async (limited: Customer): Promise<RequestFailure | undefined> => {
        const decision = await quota.admit(limited, table.head.partner);
        if (either.isLeft(decision)) {
            return { kind: "Refused", verdict: "notRun", reason: "QuotaExceeded", ...decision.left };
        }
        state.quotaToken = decision.right;
        return undefined;
    };
    return customer?.quota === undefined ? undefined : take(customer);
};

/** Returns the token of a request that did not run. */
export const returnQuotaToken = (
    quota: Quota,
    { quotaToken }: RequestState,
    { verdict }: RequestFailure,
): void => {
    if (verdict === "notRun" && quotaToken !== undefined) {
        quota.giveBack(quotaToken);
    }
};
