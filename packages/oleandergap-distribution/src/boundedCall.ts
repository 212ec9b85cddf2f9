/** Puts a bound on how long a call may take, whatever the callee does with its abort signal. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import type { Clock, Milliseconds } from "oleandergap-types";
import { afterReading } from "oleandergap-utils";

/** Why a bounded call gave no result of its own. */
export type CallFailure =
    | { readonly kind: "TimedOut" }
    | { readonly kind: "Threw"; readonly detail: string };

/** How long a call may take, by which clock, and what ends it early. */
export interface CallLimits {
    readonly clock: Clock;
    readonly timeoutMs: Milliseconds;
    /** Ends the call early. */
    readonly signal: AbortSignal;
}

/**
 * Runs `call` for at most the given time and never rejects.
 *
 * A peer that accepts a connection and then goes silent would keep its caller waiting for good, and with it whatever
 * the caller does one at a time; one would see one partner's versions stop arriving at one node. The timer resolves
 * the call even when the callee ignores the abort.
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
        const cancelTimer = afterReading(clock, timeoutMs, abortCall);
        signal.addEventListener("abort", abortCall, { once: true });
        if (signal.aborted) {
            abortCall();
            return;
        }
        call(controller.signal)().then(finish, (error: unknown) => {
            finish(either.left({ kind: "Threw", detail: String(error) }));
        });
    });
