/** A target in a discrete-event run. It processes each request for a random time and can be slow or overloaded. */
import type { Clock, Milliseconds } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import type { LoadPlan } from "./loadPlan.js";

/**
 * Exponent with which service times grow once the concurrent requests exceed the true slots. Above 1, the throughput
 * falls.
 */
const CONGESTION_EXPONENT = 1.5;

/** One simulated target. */
export interface TargetModel {
    /**
     * Starts a request and calls `onEnd` when it is done. The returned function stops the request; `onEnd` is then not
     * called.
     */
    readonly run: (request: number, onEnd: () => void) => () => void;
    readonly running: () => number;
}

const sampleExponential = (random: Random, mean: Milliseconds): Milliseconds => -mean * Math.log(1 - random());

/** Creates a simulated target. `onRun` is called with each request that starts. */
export const createTargetModel = (
    clock: Clock,
    random: Random,
    plan: LoadPlan,
    meanServiceMs: Milliseconds,
    onRun: (request: number) => void,
): TargetModel => {
    let running = 0;
    return {
        running: () => running,
        run: (request, onEnd) => {
            running += 1;
            onRun(request);
            const congestion = Math.max(1, running / plan.trueSlots) ** CONGESTION_EXPONENT;
            const cancel = clock.after(sampleExponential(random, meanServiceMs) * congestion, () => {
                running -= 1;
                onEnd();
            });
            return () => {
                running -= 1;
                cancel();
            };
        },
    };
};
