/** Reports what an attempt reveals about its target before it ends, so that other requests can react at once. */
import type { Clock } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import { learnBodyEnd } from "./learnOutcome.js";
import type { PickerOptions } from "./options.js";
import type { AttemptProgress, RoutableTarget } from "./target.js";
import type { TargetState } from "./targetState.js";
import { endSilence, silenceTarget } from "./zoneCandidates.js";
import type { ZoneState } from "./zoneState.js";

/** A target chosen for a request. */
export interface Choice<Target extends RoutableTarget> {
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
export const createProgress = <Target extends RoutableTarget>(
    { zone, state, isProbe }: Choice<Target>,
    { clock, random, options }: ProgressContext,
): AttemptProgress => ({
    isProbe,
    expectSigns: () => {
        state.givesSigns = true;
    },
    heard: () => {
        state.waitingSince = clock.monotonic();
        endSilence(zone.candidates, state);
    },
    silent: () => {
        const wasSilent = state.isSilent || isProbe;
        silenceTarget(zone.candidates, state, clock.monotonic(), options, random);
        return wasSilent;
    },
    bodyEnded: (isWhole) => {
        learnBodyEnd(zone, state, isWhole, { now: clock.monotonic(), options, random });
    },
});
