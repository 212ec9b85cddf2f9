/**
 * What becomes of requests that would be answered after their objective, the time until which an answer is worth most.
 *
 * In a queue by arrival, a target that is offered more than it can do answers everybody late: each request waits behind
 * others that are late already, and one would see it busy all the time with next to no answer in time. Requests that
 * can still be in time therefore go first. Those that cannot run when the others leave room; if they do not, they are
 * refused at once instead of being held until their deadlines. Less urgent requests are no such others: if they were
 * counted as well, calls of running targets would be refused at a busy target, and the requests that made them fail.
 */
import type { Milliseconds } from "oleandergap-types";
import { USUAL_KIND, type AdmissionRequest } from "./admission.js";
import type { Forecast, GateState } from "./forecast.js";
import type { OfferedLoad } from "./offeredLoad.js";

/** Part of the target's time that has to be left over before a late request waits for it. */
const MINIMUM_SPARE = 0.05;

/** The times that a decision depends on; monotonic. */
export type Timing = Pick<AdmissionRequest, "deadline" | "objective" | "kind" | "priority">;

export interface LateRequestsDependencies {
    readonly forecast: Forecast;
    readonly offered: OfferedLoad;
    readonly state: () => GateState;
    /** See `GateOptions`. */
    readonly marginPart: number;
}

export interface LateRequests {
    /** Whether a request with `ahead` others before it would be answered too late to be worth most. */
    readonly isLate: (timing: Timing, ahead: number, now: Milliseconds) => boolean;
    /** Time by which a late request misses its deadline; 0 or less if it had better wait. */
    readonly missingTime: (timing: Timing, ahead: number, now: Milliseconds) => Milliseconds;
}

export const createLateRequests = (
    { forecast, offered, state, marginPart }: LateRequestsDependencies,
): LateRequests => {
    const serviceTime = ({ kind = USUAL_KIND }: Timing): Milliseconds => forecast.serviceTime(kind);

    /** Time that is kept for a run to take longer than the typical one. */
    const marginOf = ({ kind = USUAL_KIND }: Timing, slack: Milliseconds): Milliseconds => {
        const wanted = forecast.likelyServiceTime(kind) - forecast.serviceTime(kind);
        return Math.min(Math.max(0, wanted), marginPart * Math.max(0, slack));
    };

    return {
        isLate: (timing, ahead, now) => {
            if (timing.objective === undefined) {
                return false;
            }
            const slack = timing.objective - now - serviceTime(timing);
            return forecast.wait(state(), ahead, now) + marginOf(timing, slack) > slack;
        },
        missingTime: (timing, ahead, now) => {
            const current = state();
            const wait = forecast.wait(current, ahead, now);
            const spare = 1 - offered.utilisation(timing.priority ?? 0, current.capacity, now);
            const needed = spare < MINIMUM_SPARE ? wait / MINIMUM_SPARE : wait / spare;
            return now + needed + serviceTime(timing) - timing.deadline;
        },
    };
};
