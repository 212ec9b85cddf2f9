/**
 * Whether a request may have run at its target. Every hop returns a verdict with a failure, and the caller reads it
 * from the `oleandergap-verdict` header.
 */
import { z } from "zod";

/** The values of the header; see {@link Verdict}. */
export const verdictSchema = z.enum(["notRun", "mayHaveRun", "ran"]);

/**
 * - `notRun`: no byte of the request reached the target, or the target's gate reports that it did not start the
 *   request.
 * - `mayHaveRun`: the request was sent, and its outcome is unknown.
 * - `ran`: the target sent a response.
 */
export type Verdict = z.infer<typeof verdictSchema>;

/** Why a request received no complete response from a target. */
export type RequestFailure =
    /** The gate or the router refused the request before any byte of it reached the target. */
    | {
        readonly kind: "Refused";
        readonly verdict: "notRun";
        readonly reason: RefusalReason;
        /** Time after which to retry, computed from the state at the time of the refusal. */
        readonly retryAfterMs: number;
    }
    /** No connection could be established, so nothing was sent. */
    | { readonly kind: "ConnectFailed"; readonly verdict: "notRun"; readonly detail: string }
    /** The request was sent, but no response was received. */
    | {
        readonly kind: "AnswerLost";
        readonly verdict: "mayHaveRun";
        readonly detail: string;
        /** Id of the crash of the target during which the response was lost, if the target's gate detected a crash. */
        readonly crash?: string | undefined;
    }
    /** The head of the response was received, but its body was incomplete. */
    | { readonly kind: "AnswerCut"; readonly verdict: "ran"; readonly detail: string }
    /** A request with this idempotency key was already accepted, and its outcome is unknown or pending. */
    | { readonly kind: "DuplicateKey"; readonly verdict: "mayHaveRun"; readonly retryAfterMs: number }
    /** The request itself is invalid and would be refused again. */
    | { readonly kind: "BadRequest"; readonly verdict: "notRun"; readonly detail: string };

/** The values of the header `oleandergap-reason` for refusals. */
export const refusalReasonSchema = z.enum([
    "UnknownService",
    "NoTarget",
    "Starved",
    "QueueFull",
    "DeadlineTooShort",
    "DeadlinePassed",
    "FairShareExceeded",
    "LimitReached",
    "QuotaExceeded",
    "UnknownKey",
    "TargetBusy",
    "Draining",
    "StopTooSoon",
    "NotReady",
    "ClaimUnavailable",
    "Cancelled",
    "Contained",
]);

/** Why a request was refused before it ran. */
export type RefusalReason = z.infer<typeof refusalReasonSchema>;
