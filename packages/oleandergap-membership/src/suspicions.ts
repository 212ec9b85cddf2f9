/**
 * Tracks the members that this node suspects and the deadlines after which they are declared dead unless they refute
 * the suspicion.
 *
 * Before the deadline, the suspect is probed several times. Otherwise, a node that lost the only datagram with a
 * refutation would declare a healthy member dead; with heavy packet loss, members would repeatedly be declared dead and
 * rejoin.
 */
import type { Clock, Milliseconds, NodeId } from "oleandergap-types";
import type { Random } from "oleandergap-utils";

/** Number of times that a suspect is probed before it is declared dead. */
export const SUSPECT_CHECKS = 5;
/**
 * Factor by which the timeout is extended if the suspicion was reported by another member and not caused by a failed
 * probe of this node.
 */
const REMOTE_SUSPICION_FACTOR = 1.5;
/**
 * Largest random extension of the timeout, as a fraction of it, so that the nodes do not all probe the suspect at the
 * same time.
 */
const JITTER_FRACTION = 0.3;

interface Suspicion {
    readonly isRemote: boolean;
    deadline: Milliseconds;
    checksLeft: number;
}

export interface DueSuspicions {
    /** Suspects that have to be probed now. */
    readonly checks: readonly NodeId[];
    /** Suspects whose deadline has passed. */
    readonly expired: readonly NodeId[];
}

/** Stores only the deadlines. The state of the members is stored in the member table. */
export interface Suspicions {
    /**
     * Starts a suspicion. A running suspicion is kept, unless it was reported by another member and a probe of this
     * node has now failed; then its timeout is shortened.
     */
    readonly start: (id: NodeId, isRemote: boolean) => void;
    readonly end: (id: NodeId) => boolean;
    /** Restarts the timeout of every suspicion. */
    readonly restartAll: () => void;
    readonly clear: () => void;
    /** Returns the checks and suspicions that are due now. Expired suspicions are removed. */
    readonly collectDue: () => DueSuspicions;
}

export interface SuspicionDependencies {
    readonly clock: Clock;
    readonly random: Random;
    /** Returns the time from a failed probe until the suspect is declared dead, for the current size of the zone. */
    readonly suspicionTimeout: () => Milliseconds;
    /** Returns the time between two checks of a suspect. */
    readonly checkInterval: () => Milliseconds;
}

export const createSuspicions = (dependencies: SuspicionDependencies): Suspicions => {
    const { clock, random, suspicionTimeout, checkInterval } = dependencies;
    const suspicions = new Map<NodeId, Suspicion>();

    const createSuspicion = (isRemote: boolean): Suspicion => {
        const timeout =
            suspicionTimeout() * (isRemote ? REMOTE_SUSPICION_FACTOR : 1) * (1 + random() * JITTER_FRACTION);
        return { isRemote, deadline: clock.monotonic() + timeout, checksLeft: SUSPECT_CHECKS };
    };

    const start = (id: NodeId, isRemote: boolean): void => {
        const running = suspicions.get(id);
        if (running === undefined || running.isRemote && !isRemote) {
            suspicions.set(id, createSuspicion(isRemote));
        }
    };

    const isCheckDue = (suspicion: Suspicion, now: Milliseconds): boolean =>
        suspicion.checksLeft > 0 && now >= suspicion.deadline - suspicion.checksLeft * checkInterval();

    const collectDue = (): DueSuspicions => {
        const now = clock.monotonic();
        const checks: NodeId[] = [];
        const expired: NodeId[] = [];
        for (const [id, suspicion] of suspicions) {
            if (isCheckDue(suspicion, now)) {
                suspicion.checksLeft -= 1;
                checks.push(id);
            }
            else if (now >= suspicion.deadline) {
                expired.push(id);
                suspicions.delete(id);
            }
        }
        return { checks, expired };
    };

    return {
        start,
        end: (id) => suspicions.delete(id),
        restartAll: () => {
            for (const [id, { isRemote }] of [...suspicions]) {
                suspicions.set(id, createSuspicion(isRemote));
            }
        },
        clear: () => {
            suspicions.clear();
        },
        collectDue,
    };
};
