/** Records events of an attempt before it ends, so that other requests can react to the state of its target at once. */
import type { Clock } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import { recordBodyEnd } from "./recordOutcome.js";
import type { PickerOptions } from "./options.js";
import type { AttemptProgress, RoutableTarget } from "./target.js";
import type { TargetState } from "./targetState.js";
import { restoreResponsiveTarget, ejectUnresponsiveTarget } from "./zoneCandidates.js";
import type { ZoneState } from "./zoneState.js";

/** A target chosen for a request. */
export interface TargetChoice<Target extends RoutableTarget> {
    readonly zone: ZoneState<Target>;
    readonly state: TargetState<Target>;
    /** Whether the request probes an ejected target. */
    readonly isProbe: boolean;
}

/** Dependencies of the progress of an attempt. */
export interface ProgressContext {
    readonly clock: Clock;
    readonly random: Random;
    readonly options: PickerOptions;
}

/** Creates the progress of one attempt at the chosen target. */
export const createAttemptProgress = <Target extends RoutableTarget>(
    { zone, state, isProbe }: TargetChoice<Target>,
    { clock, random, options }: ProgressContext,
): AttemptProgress => ({
    isProbe,
    expectHeartbeats: () => {
        state.sendsHeartbeats = true;
    },
    recordHeartbeat: () => {
        state.waitingSince = clock.monotonic();
        restoreResponsiveTarget(zone.candidates, state);
    },
    silent: () => {
        const wasUnresponsive = state.isUnresponsive || isProbe;
        ejectUnresponsiveTarget(zone.candidates, state, clock.monotonic(), options, random);
        return wasUnresponsive;
    },
    recordBodyEnd: (isComplete) => {
        recordBodyEnd(zone, state, isComplete, { now: clock.monotonic(), options, random });
    },
});
