/** Refusals of a gate: the reason of each refusal and the time until a retry. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds, RefusalReason, RequestFailure } from "oleandergap-types";
import { DEFAULT_KIND, type Admission, type AdmissionRequest } from "./admission.js";
import type { Forecast, GateState } from "./forecast.js";
import type { GateOptions } from "./options.js";

/** The result of an admission request. */
export type Decision = Either<RequestFailure, Admission>;

/** Creates refusals. Each has the kind `Refused`, the verdict `notRun` and a retry time. */
export interface Refusals {
    /**
     * Refuses a request because of missing capacity. `minimumDelay` is the time until there may be capacity, by default
     * the time in which the current queue is served.
     */
    readonly forCapacity: (reason: RefusalReason, minimumDelay?: Milliseconds) => Decision;
    /** Returns the failure of a request that its process could not start in time. */
    readonly describeOverdue: () => RequestFailure;
    /** Refuses a request whose caller disconnected. */
    readonly forCancellation: () => Decision;
    /** Refuses a request because the gate has no target or is draining. */
    readonly forUnavailability: (reason: "Draining" | "NotReady") => Decision;
    /**
     * Refuses a request that would not finish before its deadline.
     *
     * Never refuses a request while the target is idle. Otherwise an estimate that is too high after a cold start could
     * never decrease: all requests would be refused, so none would be measured, while the target stays idle.
     */
    readonly forDeadline: (request: AdmissionRequest, requestsAhead: number) => Decision | undefined;
}

/** Dependencies from which refusals are computed. */
export interface RefusalsDependencies {
    readonly clock: Clock;
    readonly options: GateOptions;
    readonly forecast: Forecast;
    readonly state: () => GateState;
}

const createFailure = (reason: RefusalReason, retryAfterMs: Milliseconds): RequestFailure =>
    ({ kind: "Refused", verdict: "notRun", reason, retryAfterMs });

const refuse = (reason: RefusalReason, retryAfterMs: Milliseconds): Decision =>
    either.left(createFailure(reason, retryAfterMs));

/** Creates the refusals of one gate. */
export const createRefusals = ({ clock, options, forecast, state }: RefusalsDependencies): Refusals => {
    const scheduleRetry = (minimumDelay: Milliseconds | undefined): Milliseconds => {
        const gateState = state();
        const delay = minimumDelay ?? forecast.queueTime(gateState);
        return forecast.scheduleRetry(gateState, delay, clock.monotonic());
    };

    const forCapacity: Refusals["forCapacity"] = (reason, minimumDelay) =>
        refuse(reason, scheduleRetry(minimumDelay));

    return {
        forCapacity,
        describeOverdue: () => createFailure("LimitReached", scheduleRetry(undefined)),
        forCancellation: () => refuse("Cancelled", Math.ceil(forecast.serviceInterval(state()))),
        forUnavailability: (reason) => refuse(reason, options.absentRetryAfterMs),
        forDeadline: (request, requestsAhead) => {
            const gateState = state();
            if (gateState.running === 0 && gateState.startDelay === 0) {
                return undefined;
            }
            const now = clock.monotonic();
            const timeNeeded = forecast.expectedWait(gateState, requestsAhead, now) +
                forecast.serviceTime(request.kind ?? DEFAULT_KIND);
            const overrun = timeNeeded - (request.deadline - now);
            return overrun > 0 ? forCapacity("DeadlineTooShort", overrun) : undefined;
        },
    };
};
