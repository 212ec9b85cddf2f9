/**
 * A model of the service behind a naive proxy: round robin, up to three retries per request after any error, an
 * unbounded queue at each target, and no cancellation.
 */
import type { Clock, Milliseconds } from "oleandergap-types";
import type { LoadPlan } from "./loadPlan.js";
import type { SendRequest } from "./routedService.js";
import type { TargetModel } from "./targetModel.js";

const MAXIMUM_RETRIES = 3;

interface NaiveTarget {
    readonly submit: (request: number, onEnd: () => void) => void;
}

/** Creates a target that processes its queue in order, including requests whose callers have disconnected. */
const createNaiveTarget = (plan: LoadPlan, model: TargetModel): NaiveTarget => {
    const queue: (() => void)[] = [];
    const startNext = (): void => {
        if (model.running() < plan.announcedSlots) {
            queue.shift()?.();
        }
    };
    return {
        submit: (request, onEnd) => {
            queue.push(() => {
                model.run(request, () => {
                    onEnd();
                    startNext();
                });
            });
            startNext();
        },
    };
};

/** Creates a sender that uses the targets in turn, regardless of their state. */
export const createNaiveService = (clock: Clock, plan: LoadPlan, models: readonly TargetModel[]): SendRequest => {
    const targets = models.map((model) => createNaiveTarget(plan, model));
    const attemptTimeoutMs = plan.timeoutMs / MAXIMUM_RETRIES;
    let nextTargetIndex = 0;

    const sendOnce = (request: number, timeoutMs: Milliseconds): Promise<boolean> =>
        new Promise((resolve) => {
            const cancel = clock.after(timeoutMs, () => resolve(false));
            const answer = (): void => {
                clock.after(plan.networkMs, () => {
                    cancel();
                    resolve(true);
                });
            };
            const target = targets[nextTargetIndex++ % targets.length];
            clock.after(plan.networkMs, () => target?.submit(request, answer));
        });

    return async ({ id, deadline }, onAttempt) => {
        for (let attempt = 0; attempt <= MAXIMUM_RETRIES; attempt++) {
            const remaining = deadline - clock.monotonic();
            if (remaining <= 0) {
                break;
            }
            onAttempt();
            if (await sendOnce(id, Math.min(remaining, attemptTimeoutMs))) {
                return "Answered";
            }
        }
        return "Lost";
    };
};
