/**
 * Writes the states of roll-outs to the platform's table. Any node may write; nodes wait for different times, so that
 * one of them usually writes alone. Which node writes first does not matter for the outcome, because each write has a
 * condition.
 */
import type { Logger } from "oleandergap-logger";
import type { Clock, Milliseconds } from "oleandergap-types";
import { drawBackoff, type Random } from "oleandergap-utils";
import { isFinal, type Rollout, type RolloutState } from "../rollout.js";
import type { RolloutRows } from "./rolloutRows.js";

const BACKOFF_BASE_MS: Milliseconds = 100;
const BACKOFF_MAXIMUM_MS: Milliseconds = 2000;
/** The other nodes retry rarely, because there are many of them while the platform is down. */
const OTHER_NODES_BACKOFF_MAXIMUM_MS: Milliseconds = 15_000;
/** Wait of the first node of a zone, for each zone that precedes its own. */
const ZONE_DELAY_MS: Milliseconds = 300;
/** Minimum wait of every other node. A random time up to the same length is added. */
const OTHER_NODES_DELAY_MS: Milliseconds = 1500;
/**
 * Time over which the nodes spread their writes after a restore of the platform. It is short, because a restart of all
 * nodes before the first of these writes would lose the states.
 */
const RESTORE_SPREAD_MS: Milliseconds = 300;

/** Dependencies of a state writer. */
export interface StateWriterDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly rows: Pick<RolloutRows, "commit">;
    /** Returns the position of this node's zone if it is the first node there; undefined otherwise. */
    readonly findZoneRank: () => number | undefined;
    /** Returns the state of the roll-out that is due but not in the table yet; undefined if there is none. */
    readonly findDue: (rolloutId: string) => Rollout | undefined;
    /** Runs with the state that the table contains. */
    readonly onStored: (rollout: Rollout) => void;
    readonly signal: AbortSignal;
}

/** Writes due states. */
export interface StateWriter {
    /** Starts to write what is due for a roll-out. Does nothing while an earlier start is still at work. */
    readonly start: (rolloutId: string) => void;
    /** Starts like `start`, after a short random delay that is alike at all nodes. */
    readonly startSoon: (rolloutId: string) => void;
}

/** State that is written for a state that a node has found due. */
export const toStoredState = (state: RolloutState): RolloutState => state === "stopping" ? "rolledBack" : state;

/** Creates a state writer without work. */
export const createStateWriter = (
    { clock, random, logger, rows, findZoneRank, findDue, onStored, signal }: StateWriterDependencies,
): StateWriter => {
    const active = new Set<string>();

    const computeFirstDelay = (): Milliseconds => {
        const rank = findZoneRank();
        return rank === undefined ? OTHER_NODES_DELAY_MS * (1 + random()) : rank * ZONE_DELAY_MS;
    };

    const tryOnce = async (rolloutId: string): Promise<boolean> => {
        const due = findDue(rolloutId);
        if (due === undefined) {
            return true;
        }
        const result = await rows.commit(due);
        if (result.kind === "Retry") {
            logger.info("The state of a roll-out could not be written.", { rollout: rolloutId, reason: result.reason });
            return false;
        }
        onStored(result.rollout);
        return isFinal(result.rollout.state) || findDue(rolloutId) === undefined;
    };

    const run = async (rolloutId: string, firstDelayMs: Milliseconds): Promise<void> => {
        await clock.sleep(firstDelayMs, signal);
        for (let failures = 0; !signal.aborted && !await tryOnce(rolloutId); failures++) {
            const maximum = findZoneRank() === undefined ? OTHER_NODES_BACKOFF_MAXIMUM_MS : BACKOFF_MAXIMUM_MS;
            await clock.sleep(drawBackoff(random, failures, BACKOFF_BASE_MS, maximum), signal);
        }
    };

    const startAfter = (rolloutId: string, firstDelayMs: Milliseconds): void => {
        if (!active.has(rolloutId)) {
            active.add(rolloutId);
            void run(rolloutId, firstDelayMs).finally(() => active.delete(rolloutId));
        }
    };

    return {
        start: (rolloutId) => startAfter(rolloutId, computeFirstDelay()),
        startSoon: (rolloutId) => startAfter(rolloutId, RESTORE_SPREAD_MS * random()),
    };
};
