/**
 * Begins roll-outs for orders that were found in the operator's table: by a node that has just started, or after the
 * table was restored from a backup. Such an order may have been carried out long ago. A second trial of a completed
 * version would have no old version to compare it with or to return to, and a second trial of a bad version would reach
 * callers again. The order therefore begins a roll-out only if neither the fleet nor the platform's table has one for
 * it.
 */
import type { Clock, Milliseconds } from "oleandergap-types";
import type { Rollout, RolloutOrder } from "../rollout.js";

/** Interval at which a node that has just started checks whether it has received the roll-outs of the fleet. */
const INFORMED_CHECK_INTERVAL_MS: Milliseconds = 100;

/** Dependencies of {@link createFoundOrders}. */
export interface FoundOrdersDependencies {
    readonly clock: Clock;
    /** Returns whether this node has the roll-outs of the fleet. */
    readonly isInformed: () => boolean;
    /** Returns whether a roll-out for this order is stored, or was until a later order replaced it. */
    readonly hasOrder: (order: RolloutOrder) => boolean;
    /** Reads the roll-outs in the platform's table; resolves to undefined when they are no longer needed. */
    readonly loadRollouts: (isNeeded: () => boolean) => Promise<readonly Rollout[] | undefined>;
    /** Adds a roll-out to the store and sends it to other nodes. */
    readonly apply: (rollout: Rollout) => void;
    readonly signal: AbortSignal;
}

/** Handles orders that were found. */
export interface FoundOrders {
    /** Begins a roll-out for the order unless there is or was one. */
    readonly add: (order: RolloutOrder) => void;
}

/** Creates the handling of found orders. */
export const createFoundOrders = (
    { clock, isInformed, hasOrder, loadRollouts, apply, signal }: FoundOrdersDependencies,
): FoundOrders => {
    const waitUntilInformed = async (): Promise<void> => {
        while (!isInformed() && !signal.aborted) {
            await clock.sleep(INFORMED_CHECK_INTERVAL_MS, signal);
        }
    };

    const beginUnlessKnown = (order: RolloutOrder, foundAt: Milliseconds): void => {
        if (!hasOrder(order)) {
            apply({ order, orderedAt: foundAt, state: "running", since: foundAt, reason: "ordered" });
        }
    };

    const beginWhenInformed = async (order: RolloutOrder, foundAt: Milliseconds): Promise<void> => {
        // Until this node has the roll-out, it sends requests to a version that may have been judged bad.
        const loaded = await loadRollouts(() => !signal.aborted && !hasOrder(order));
        loaded?.forEach(apply);
        // The table may have lost a roll-out that the peers still hold.
        await waitUntilInformed();
        if (!signal.aborted) {
            beginUnlessKnown(order, foundAt);
        }
    };

    return {
        add: (order) => {
            const foundAt = clock.monotonic();
            if (isInformed()) {
                beginUnlessKnown(order, foundAt);
                return;
            }
            void beginWhenInformed(order, foundAt);
        },
    };
};
