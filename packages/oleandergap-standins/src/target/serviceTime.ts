/** Draws random service times of a target. */
import type { Milliseconds } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import type { TargetOptions } from "./options.js";

/** Draws a standard normal number with the Box-Muller transform. */
const drawStandardNormal = (random: Random): number =>
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

/** Returns the factor by which a target is slower `uptimeMs` after its start. */
export const computeColdStartFactor = (options: TargetOptions["coldStart"], uptimeMs: Milliseconds): number => {
    if (uptimeMs >= options.durationMs) {
        return 1;
    }
    return options.factor - (options.factor - 1) * (uptimeMs / options.durationMs);
};

/** Draws the service time of one request at a target that has been running for `uptimeMs`. */
export const drawServiceTime = (
    options: Pick<TargetOptions, "serviceTime" | "coldStart">,
    random: Random,
    uptimeMs: Milliseconds,
): Milliseconds => {
    const { medianMs, spread } = options.serviceTime;
    return medianMs * Math.exp(spread * drawStandardNormal(random)) *
        computeColdStartFactor(options.coldStart, uptimeMs);
};
