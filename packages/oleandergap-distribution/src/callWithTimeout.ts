/** Limits the duration of a call, even if the callee ignores its abort signal. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import type { Clock, Milliseconds } from "oleandergap-types";
import { startReadAwareTimer } from "oleandergap-utils";

/** Reason why a call with a timeout returned neither a result nor an error of the callee. */
export type CallFailure =
    | { readonly kind: "TimedOut" }
    | { readonly kind: "Threw"; readonly detail: string };

/** Timeout of a call, the clock that measures it, and a signal that ends the call early. */
export interface CallLimits {
    readonly clock: Clock;
    readonly timeoutMs: Milliseconds;
    /** Ends the call early when aborted. */
    readonly signal: AbortSignal;
}

/**
 * Runs `call` for at most the given time and never rejects.
 *
 * Without a timeout, a peer that accepts a connection and then stops responding would block its caller forever, along
 * with all work that the caller does sequentially. The versions of one partner would then stop arriving at one node.
 * The timer resolves the call even if the callee ignores the abort.
 */
export const callWithTimeout = <Failure, Result>(
    call: (signal: AbortSignal) => TaskEither<Failure, Result>,
    { clock, timeoutMs, signal }: CallLimits,
): Promise<Either<Failure | CallFailure, Result>> =>
    new Promise((resolve) => {
        const controller = new AbortController();
        const finish = (outcome: Either<Failure | CallFailure, Result>): void => {
            cancelTimer();
            signal.removeEventListener("abort", abortCall);
            resolve(outcome);
        };
        const abortCall = (): void => {
            controller.abort();
            finish(either.left({ kind: "TimedOut" }));
        };
        const cancelTimer = startReadAwareTimer(clock, timeoutMs, abortCall);
        signal.addEventListener("abort", abortCall, { once: true });
        if (signal.aborted) {
            abortCall();
            return;
        }
        call(controller.signal)().then(finish, (error: unknown) => {
            finish(either.left({ kind: "Threw", detail: String(error) }));
        });
    });
