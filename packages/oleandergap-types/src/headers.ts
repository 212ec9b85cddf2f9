/** Names of the HTTP headers that the system reads and writes. docs/REQUESTS.md documents them for callers. */

/** Response: the {@link Verdict} of the request. Present on every response. */
export const VERDICT_HEADER = "oleandergap-verdict";
/** Response: the {@link RefusalReason} or failure kind if the system itself responded. */
export const REASON_HEADER = "oleandergap-reason";
/** Request: how long the caller waits, in milliseconds. Every hop subtracts the elapsed time. */
export const TIMEOUT_HEADER = "oleandergap-timeout-ms";
/** Request and response: identifies one attempt. A response with a different id is never delivered. */
export const REQUEST_ID_HEADER = "oleandergap-request-id";
/** Response: `no` if a downstream hop has already retried, so that no upstream hop retries again. */
export const RETRY_HEADER = "oleandergap-retry";
/** Response from a gate: the load of the gate when it responded, see `GateLoad`. */
export const LOAD_HEADER = "oleandergap-load";
/** Response from a gate: the pace of its target and the usual time of the request's kind there, see `GateLoad`. */
export const PACE_HEADER = "oleandergap-target-pace";
/** Response of a target: its load, see `TargetReport`. */
export const TARGET_LOAD_HEADER = "oleandergap-target-load";
/** Response of a target: the requests per second that it accepts, see `TargetFeedback`. */
export const TARGET_LIMIT_HEADER = "oleandergap-target-limit";
/** Response of a target: `yes` if the target will stop soon, see `TargetFeedback`. */
export const TARGET_LEAVING_HEADER = "oleandergap-target-leaving";
/** Response: the table version that routed the request, as `partner:sequence`. */
export const VERSION_HEADER = "oleandergap-version";
/** Request between nodes: the requested service, as `partner/service`. */
export const SERVICE_HEADER = "oleandergap-service";
/** Request between nodes and to a target: the name of the customer whose caller sent the request. */
export const CUSTOMER_HEADER = "oleandergap-customer";
/** Request: the key by which the caller's customer is found. Never forwarded. */
export const CUSTOMER_KEY_HEADER = "oleandergap-customer-key";
/** Request: the caller's key for a non-idempotent request, as in the IETF draft. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";
/** Response: when to retry, in whole seconds (RFC 9110). */
export const RETRY_AFTER_HEADER = "retry-after";
/** Response: when to retry, in milliseconds; more precise than `retry-after`. */
export const RETRY_AFTER_MS_HEADER = "retry-after-ms";
