/** What the gateway knows of a request while it handles it. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { QuotaToken } from "oleandergap-customers";
import type { Milliseconds, ServiceReference, Verdict } from "oleandergap-types";
import type { CallerDialect } from "../http/dialect.js";
import type { RequestArrival } from "../http/listener.js";
import type { RequestBody } from "../http/requestBody.js";
import type { CallerRequest } from "./callerRequest.js";
import type { FailedRequest } from "./requestLog.js";

/** State of a caller's request while it is handled. */
export interface RequestState {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly arrival: RequestArrival;
    readonly startedAt: Milliseconds;
    /** Request id that the caller assigned. */
    readonly requestId: string | undefined;
    /** Service of the caller if the caller is this node's local target. */
    readonly callingService: ServiceReference | undefined;
    /** Set once the request head has been parsed. */
    deadline: Milliseconds;
    /** Set once the request head has been parsed. */
    caller: CallerRequest | undefined;
    /** Set once the request has been admitted within its customer's quota. */
    quotaToken: QuotaToken | undefined;
    /** Set once the part of the body that is buffered has been received. */
    body: RequestBody | undefined;
    /** Whether a downstream hop has already retried. */
    isRetried: boolean;
}

/** Returns the headers that describe a response to the caller. */
export const describeResponse = (
    dialect: CallerDialect,
    { caller, requestId, isRetried }: RequestState,
    verdict: Verdict,
): Record<string, string> =>
    dialect.describeResponse({ verdict, version: caller?.table.head, requestId, isRetried });

/** Returns what the log says of a request that has failed. */
export const describeFailedRequest = (
    { requestId, caller, body, arrival, startedAt, deadline }: RequestState,
    now: Milliseconds,
): Omit<FailedRequest, "failure" | "retryAfterMs" | "tried"> => ({
    id: requestId,
    caller,
    body,
    isFirst: arrival.isFirst,
    queuedMs: startedAt - arrival.receivedAt,
    durationMs: now - startedAt,
    leftMs: deadline - now,
});
