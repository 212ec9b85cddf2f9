/** Why a gate turns requests away, and when it tells them to come back. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds, RefusalReason, RequestFailure } from "oleandergap-types";
import { USUAL_KIND, type Admission, type AdmissionRequest } from "./admission.js";
import type { Forecast, GateState } from "./forecast.js";
import type { GateOptions } from "./options.js";

/** The answer to a request for admission. */
export type Decision = Either<RequestFailure, Admission>;

/** Each answer is `Refused` with the verdict `notRun` and a time to come back. */
export interface Refusals {
    /** Refuses for want of capacity; `earliest` is the time until there may be some, by default the queue's time. */
    readonly forCapacity: (reason: RefusalReason, earliest?: Milliseconds) => Decision;
    /** The caller hung up. */
    readonly forCancellation: () => Decision;
    /** The gate leads to no target, or no longer. */
    readonly forAbsence: (reason: "Draining" | "NotReady") => Decision;
    /**
     * Refuses a request that would not finish by its deadline.
     *
     * One that finds the target idle is never refused by this rule. If it were, an estimate that a cold start had
     * driven up could never come down again: all requests refused, none measured, while the target is idle.
     */
    readonly forDeadline: (request: AdmissionRequest, ahead: number) => Decision | undefined;
}

/** What refusals are computed from. */
export interface RefusalsDependencies {
    readonly clock: Clock;
    readonly options: GateOptions;
    readonly forecast: Forecast;
    readonly state: () => GateState;
}

const refuse = (reason: RefusalReason, retryAfterMs: Milliseconds): Decision =>
    either.left({ kind: "Refused", verdict: "notRun", reason, retryAfterMs });

/** Creates the refusals of one gate. */
export const createRefusals = ({ clock, options, forecast, state }: RefusalsDependencies): Refusals => {
    const forCapacity: Refusals["forCapacity"] = (reason, earliest) => {
        const current = state();
        const queueTime = current.queued * forecast.interval(current);
        return refuse(reason, forecast.bookReturn(current, earliest ?? queueTime, clock.monotonic()));
    };

    return {
        forCapacity,
        forCancellation: () => refuse("Cancelled", Math.ceil(forecast.interval(state()))),
        forAbsence: (reason) => refuse(reason, options.absentRetryAfterMs),
        forDeadline: (request, ahead) => {
            const current = state();
            if (current.running === 0) {
                return undefined;
            }
            const now = clock.monotonic();
            const needed = forecast.wait(current, ahead, now) + forecast.serviceTime(request.kind ?? USUAL_KIND);
            const missing = needed - (request.deadline - now);
            return missing > 0 ? forCapacity("DeadlineTooShort", missing) : undefined;
        },
    };
};
