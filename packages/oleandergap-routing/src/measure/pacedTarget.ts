/** A target in a discrete-event run whose VM changes its pace while it works. */
import type { CancelTimer, Clock, Milliseconds } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import type { PacePlan, PlacingPlan } from "./placingPlan.js";

/** Pace of a paused target; it does no work in a run of any length. */
const PAUSED_PACE = 1_000_000;

/** A simulated target with a speed and a changing pace. */
export interface PacedTarget {
    readonly speed: number;
    readonly pace: () => number;
    /** Returns the pace that a response reports, with noise from `random`. */
    readonly reportedPace: (random: Random) => number;
    readonly running: () => number;
    /** Starts a run of `workMs`. The returned function stops it without calling `onEnd`. */
    readonly run: (workMs: Milliseconds, onEnd: () => void) => () => void;
}

interface Run {
    remainingMs: Milliseconds;
    readonly onEnd: () => void;
    cancel: CancelTimer;
}

const drawPace = (random: Random, { slowShare, slowPace }: PacePlan): number => random() < slowShare ? slowPace : 1;

/** Creates a simulated target of a plan. */
export const createPacedTarget = (clock: Clock, random: Random, plan: PlacingPlan, index: number): PacedTarget => {
    const speed = plan.speeds[index % plan.speeds.length] ?? 1;
    const runs = new Set<Run>();
    let drawnPace = drawPace(random, plan.pace);
    let isPaused = false;
    let changedAt = clock.monotonic();

    const pace = (): number => isPaused ? PAUSED_PACE : drawnPace;

    const schedule = (run: Run): void => {
        run.cancel = clock.after(run.remainingMs * pace() / speed, () => {
            runs.delete(run);
            run.onEnd();
        });
    };

    /** Counts the work done at the present pace. */
    const settleWork = (): void => {
        const now = clock.monotonic();
        const workMs = (now - changedAt) * speed / pace();
        for (const run of runs) {
            run.remainingMs -= workMs;
        }
        changedAt = now;
    };

    const change = (apply: () => void): void => {
        settleWork();
        apply();
        for (const run of runs) {
            run.cancel();
            schedule(run);
        }
    };

    const drawRegularly = (delay: Milliseconds): void => {
        clock.after(delay, () => {
            const next = drawPace(random, plan.pace);
            if (next !== drawnPace) {
                change(() => {
                    drawnPace = next;
                });
            }
            drawRegularly(plan.pace.periodMs);
        });
    };
    drawRegularly(random() * plan.pace.periodMs);
    if (plan.pause?.target === index) {
        clock.after(plan.pause.startsAt, () => change(() => {
            isPaused = true;
        }));
        clock.after(plan.pause.endsAt, () => change(() => {
            isPaused = false;
        }));
    }

    return {
        speed,
        pace,
        reportedPace: (noise) => drawnPace * (1 + plan.pace.noise * (2 * noise() - 1)),
        running: () => runs.size,
        run: (workMs, onEnd) => {
            settleWork();
            const run: Run = { remainingMs: workMs, onEnd, cancel: () => undefined };
            runs.add(run);
            schedule(run);
            return () => {
                run.cancel();
                runs.delete(run);
            };
        },
    };
};
