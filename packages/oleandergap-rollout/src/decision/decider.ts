/** Decides on the states of roll-outs and has them written to the platform's table. */
import type { Logger } from "oleandergap-logger";
import { formatServiceReference, type Clock, type Milliseconds, type ServiceReference } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import type { RolloutRecord, RolloutStore } from "../exchange/rolloutStore.js";
import type { RolloutVerdict } from "../judge/judge.js";
import type { RolloutOptions } from "../options.js";
import { measureCapacity } from "../plan/capacity.js";
import { planChange, type RolloutCapacity } from "../plan/plan.js";
import type { SplitTarget } from "../plan/targetSplit.js";
import { isFinal, type Rollout } from "../rollout.js";
import type { RolloutRows } from "./rolloutRows.js";
import { createStateWriter, toStoredState } from "./stateWriter.js";

/** Dependencies of a decider. */
export interface DeciderDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly options: RolloutOptions;
    readonly store: RolloutStore;
    readonly rows: Pick<RolloutRows, "commit">;
    /** Returns the position of this node's zone if it is the first node there; undefined otherwise. */
    readonly findZoneRank: () => number | undefined;
    /** Returns the latest verdict of this node. */
    readonly getVerdict: (rollout: Rollout) => RolloutVerdict;
    /** Returns the time since which this node has followed the roll-out. */
    readonly getFollowedSince: (rollout: Rollout) => Milliseconds;
    /** Returns the targets of a service as this node lists them. */
    readonly listTargets: (service: ServiceReference) => readonly SplitTarget[];
    /** Sends a roll-out that is new in the store to other nodes. */
    readonly broadcast: (rollout: Rollout) => void;
    readonly signal: AbortSignal;
}

/** Decides on the states of roll-outs. */
export interface Decider {
    /** Adds a roll-out or a later state to the store and sends it to other nodes. */
    readonly apply: (rollout: Rollout) => void;
    /** Handles a roll-out that has changed in the store. */
    readonly handleChange: (rollout: Rollout) => void;
    /** Writes the roll-outs that the platform's table has lost, or of which it has an earlier state. */
    readonly restoreRows: () => void;
    /** Does what is due for a roll-out according to the verdict. */
    readonly decide: (record: RolloutRecord, verdict: RolloutVerdict) => void;
}

/** Creates a decider without work. */
export const createDecider = (dependencies: DeciderDependencies): Decider => {
    const { clock, random, logger, options, store, rows, findZoneRank, broadcast, signal } = dependencies;
    const { getVerdict, getFollowedSince, listTargets } = dependencies;
    /** Roll-outs whose present state may be missing in the platform's table and has to be written by this node. */
    const unconfirmedRollouts = new Set<string>();

    const measure = (record: RolloutRecord, now: Milliseconds): RolloutCapacity => measureCapacity(
        record,
        listTargets(record.rollout.order.service),
        now - getFollowedSince(record.rollout),
    );

    /** Returns a roll-out with the state that has to be written for it. */
    const toDue = (rollout: Rollout, state: Rollout["state"], reason: string, now: Milliseconds): Rollout =>
        ({ ...rollout, state: toStoredState(state), since: now, reason });

    const findDue = (rolloutId: string): Rollout | undefined => {
        const record = store.findById(rolloutId);
        if (record === undefined) {
            return undefined;
        }
        const { rollout } = record;
        const unconfirmed = unconfirmedRollouts.has(rolloutId) ? rollout : undefined;
        if (isFinal(rollout.state)) {
            return unconfirmed;
        }
        const now = clock.monotonic();
        if (rollout.state === "stopping") {
            return toDue(rollout, rollout.state, rollout.reason, now);
        }
        const change = planChange(rollout, getVerdict(rollout), measure(record, now), now, options);
        if (change !== undefined) {
            return toDue(rollout, change.state, change.reason, now);
        }
        return unconfirmed;
    };

    const handleChange: Decider["handleChange"] = (rollout) => {
        const { order, state, reason } = rollout;
        const service = formatServiceReference(order.service);
        logger.info("The state of a roll-out has changed.", {
            service, version: order.version, rollout: order.id, state, reason,
        });
        const mustCreateRow = state === "running" && findZoneRank() !== undefined;
        if (mustCreateRow) {
            unconfirmedRollouts.add(order.id);
        }
        if (mustCreateRow || state === "stopping") {
            stateWriter.start(order.id);
        }
    };

    const apply: Decider["apply"] = (rollout) => {
        const changed = store.merge(rollout);
        if (changed !== undefined) {
            broadcast(changed);
            handleChange(changed);
        }
    };

    const stateWriter = createStateWriter({
        clock,
        random,
        logger,
        rows,
        findZoneRank,
        findDue,
        onStored: (rollout) => {
            unconfirmedRollouts.delete(rollout.order.id);
            apply(rollout);
        },
        signal,
    });

    return {
        apply,
        handleChange,
        restoreRows: () => store.list().forEach(({ rollout: { order } }) => {
            unconfirmedRollouts.add(order.id);
            stateWriter.startSoon(order.id);
        }),
        decide: (record, verdict) => {
            const { rollout } = record;
            const now = clock.monotonic();
            const change = planChange(rollout, verdict, measure(record, now), now, options);
            if (change?.state === "stopping") {
                apply({ ...rollout, state: "stopping", since: now, reason: change.reason });
                return;
            }
            if (change !== undefined || rollout.state === "stopping") {
                stateWriter.start(rollout.order.id);
            }
        },
    };
};
