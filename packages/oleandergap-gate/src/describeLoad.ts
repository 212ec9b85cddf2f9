/** Describes the load of a gate for the nodes that send requests to it. */
import type { GateLoad, Milliseconds } from "oleandergap-types";
import type { Forecast, GateState } from "./forecast.js";
import type { PaceMeter } from "./paceMeter.js";

/**
 * Returns the capacity to report. Other nodes place requests by the load per slot, and a target with a request limit
 * keeps most of its slots free. If they were reported, the target would appear idle and attract more and more requests.
 */
const computeReportedCapacity = (state: GateState, forecast: Forecast): number =>
    state.startInterval === 0 || state.capacity === 0 ?
        state.capacity :
        Math.max(1, Math.round(forecast.usableSlots(state)));

/** Inputs of a load description besides the state of the gate. */
export interface LoadContext {
    readonly forecast: Forecast;
    readonly paceMeter: Pick<PaceMeter, "current">;
    readonly kind: string | undefined;
    readonly now: Milliseconds;
}

/** Returns the load of a gate. Pace and usual time are absent unless the target has reported its pace lately. */
export const describeLoad = (state: GateState, { forecast, paceMeter, kind, now }: LoadContext): GateLoad => {
    const pace = paceMeter.current(now);
    const usualTimeMs = kind === undefined || pace === undefined ? undefined : forecast.usualTime(kind);
    return {
        inFlight: state.running,
        // While the limit allows no request, one more place counts as taken, so that an idle target appears full as
        // well.
        queued: state.queued + (state.startDelay > 0 ? 1 : 0),
        capacity: computeReportedCapacity(state, forecast),
        expectedWaitMs: forecast.expectedWait(state, state.queued, now),
        ...pace === undefined ? {} : { pace },
        ...usualTimeMs === undefined ? {} : { usualTimeMs },
    };
};
