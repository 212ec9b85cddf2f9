/**
 * Whether a request may have run at its target. Every hop returns a verdict with a failure, and the caller reads it in
 * the `oleandergap-verdict` header.
 */
import { z } from "zod";

/** In the words of the header; see {@link Verdict}. */
export const verdictSchema = z.enum(["notRun", "mayHaveRun", "ran"]);

/**
 * - `notRun`: no byte of the request reached the target, or the target's gate says that it did not start it.
 * - `mayHaveRun`: the request was sent, and nothing is known of its fate.
 * - `ran`: the target answered.
 */
export type Verdict = z.infer<typeof verdictSchema>;

/** Why a request was not answered by its target. */
export type RequestFailure =
    /** The gate or the router gave the request up before any byte reached the target. */
    | {
        readonly kind: "Refused";
        readonly verdict: "notRun";
        readonly reason: RefusalReason;
        /** When to come back, computed from the state that refused. */
        readonly retryAfterMs: number;
    }
    /** No connection could be made, so nothing was sent. */
    | { readonly kind: "ConnectFailed"; readonly verdict: "notRun"; readonly detail: string }
    /** The request was sent, and no answer came. */
    | {
        readonly kind: "AnswerLost";
        readonly verdict: "mayHaveRun";
        readonly detail: string;
        /** Names the crash of the target that it was lost to, if the target's gate found one. */
        readonly crash?: string | undefined;
    }
    /** The answer's head came and its body broke off. */
    | { readonly kind: "AnswerCut"; readonly verdict: "ran"; readonly detail: string }
    /** A request with this idempotency key was already accepted, and its outcome is unknown or still open. */
    | { readonly kind: "DuplicateKey"; readonly verdict: "mayHaveRun"; readonly retryAfterMs: number }
    /** The request itself is wrong and would be refused again. */
    | { readonly kind: "BadRequest"; readonly verdict: "notRun"; readonly detail: string };

/** In the words of the header `oleandergap-reason`. */
export const refusalReasonSchema = z.enum([
    "UnknownService",
    "NoTarget",
    "Starved",
    "QueueFull",
    "DeadlineTooShort",
    "DeadlinePassed",
    "FairShareExceeded",
    "LimitReached",
    "TargetBusy",
    "Draining",
    "NotReady",
    "ClaimUnavailable",
    "Cancelled",
    "Contained",
]);

/** Why a request was given up before it ran. */
export type RefusalReason = z.infer<typeof refusalReasonSchema>;
