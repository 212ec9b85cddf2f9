/** Modes of a simulated platform, which determine the outcomes of the calls to it. */
import { pickIndex, type Random } from "oleandergap-utils";
import type { CallOutcome, ChooseCallOutcome } from "./memoryTable.js";

export const platformModes = ["healthy", "down", "losesResponses", "losesRequests", "takesEffectLate", "hangs", "slow", "mixed"] as const;
/** Mode of the platform: which outcomes its calls have. `mixed` draws one of the other modes for each call. */
export type PlatformMode = (typeof platformModes)[number];

/** Delay of the responses of a healthy platform, in milliseconds. */
const RESPONSE_DELAY = 2;
/** Delay of the responses of a slow platform, in milliseconds. */
const SLOW_RESPONSE_DELAY = 150;
/** Time after which a call without a response fails, in milliseconds. */
const CALL_TIMEOUT = 2000;
/** Longest delay of a write that takes effect after its call has failed, in milliseconds. */
const MAX_LATE_EFFECT_DELAY = 3000;

const drawOutcome = (random: Random, mode: PlatformMode): CallOutcome => {
    switch (mode) {
        case "healthy":
            return { kind: "Answered", delayMs: RESPONSE_DELAY };
        case "down":
            return { kind: "Unavailable" };
        case "losesResponses":
            return { kind: "AnswerLost" };
        case "losesRequests":
            return { kind: "RequestLost" };
        case "takesEffectLate":
            return { kind: "TakesEffectLate", delayMs: random() * MAX_LATE_EFFECT_DELAY };
        case "hangs":
            return {
                kind: "Hangs",
                failsAfterMs: CALL_TIMEOUT,
                takesEffectAfterMs: random() < 0.5 ? random() * MAX_LATE_EFFECT_DELAY : undefined,
            };
        case "slow":
            return { kind: "Answered", delayMs: SLOW_RESPONSE_DELAY };
        case "mixed":
            return drawOutcome(random, platformModes[pickIndex(random, platformModes.length - 1)] ?? "healthy");
    }
};

/** Creates a function that chooses the outcome of each call. It reads the mode at each call, so the mode may change. */
export const createOutcomeChooser = (random: Random, getMode: () => PlatformMode): ChooseCallOutcome =>
    () => drawOutcome(random, getMode());
