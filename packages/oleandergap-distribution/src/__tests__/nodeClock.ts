/** The clock of one node of a test fleet. Its timers do not fire while the node is frozen. */
import type { Clock } from "oleandergap-types";

export interface FreezableNode {
    readonly isFrozen: boolean;
    /** Timers that became due while the node was frozen. */
    readonly overdueTimers: (() => void)[];
}

/** Creates the clock of a node. Timers that become due while the node is frozen are queued until it is unfrozen. */
export const createNodeClock = (clock: Clock, node: () => FreezableNode): Clock => {
    const after: Clock["after"] = (delay, callback) => {
        let isCancelled = false;
        const fire = (): void => {
            if (isCancelled) {
                return;
            }
            if (node().isFrozen) {
                node().overdueTimers.push(fire);
                return;
            }
            callback();
        };
        const cancel = clock.after(delay, fire);
        return () => {
            isCancelled = true;
            cancel();
        };
    };
    const sleep: Clock["sleep"] = (delay, signal) => new Promise((resolve) => {
        const finish = (): void => {
            cancel();
            signal.removeEventListener("abort", finish);
            resolve();
        };
        const cancel = after(signal.aborted ? 0 : delay, finish);
        signal.addEventListener("abort", finish, { once: true });
    });
    return { now: clock.now, monotonic: clock.monotonic, after, sleep };
};
