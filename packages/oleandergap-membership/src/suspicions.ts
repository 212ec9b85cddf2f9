/**
 * The members that this node suspects, and when it will declare each dead unless the member refutes.
 *
 * Before the time is up, the suspect is asked again several times. Without that, a node that lost the one datagram with
 * a refutation would declare a healthy member dead; under heavy loss one would see members die and return all the time.
 */
import type { Clock, Milliseconds, NodeId } from "oleandergap-types";
import type { Random } from "oleandergap-utils";

/** Times that a suspect is asked before it is declared dead. */
export const SUSPECT_CHECKS = 5;
/** A node that only heard of the suspicion waits longer than the one that saw the probe fail, by this factor. */
const REMOTE_SUSPICION_FACTOR = 1.5;
/** Largest share that a random delay adds, so that not all nodes ask the suspect at once. */
const JITTER_FRACTION = 0.3;

interface Suspicion {
    readonly isRemote: boolean;
    deadline: Milliseconds;
    checksLeft: number;
}

export interface DueSuspicions {
    /** Suspects to ask once more. */
    readonly checks: readonly NodeId[];
    /** Suspects whose time is up. */
    readonly expired: readonly NodeId[];
}

/** Keeps times only; who is suspect stands in the member table. */
export interface Suspicions {
    /** Keeps a running suspicion, but shortens its wait when this node now saw a probe fail itself. */
    readonly start: (id: NodeId, isRemote: boolean) => void;
    readonly end: (id: NodeId) => boolean;
    /** Grants every suspect a whole new period. */
    readonly restartAll: () => void;
    readonly clear: () => void;
    /** What is due now; an expired suspicion is removed. */
    readonly collectDue: () => DueSuspicions;
}

export interface SuspicionDependencies {
    readonly clock: Clock;
    readonly random: Random;
    /** Time from a failed probe to the declaration of death, at the present size of the zone. */
    readonly suspicionTimeout: () => Milliseconds;
    /** Time between two checks. */
    readonly checkInterval: () => Milliseconds;
}

export const createSuspicions = (dependencies: SuspicionDependencies): Suspicions => {
    const { clock, random, suspicionTimeout, checkInterval } = dependencies;
    const suspicions = new Map<NodeId, Suspicion>();

    const createSuspicion = (isRemote: boolean): Suspicion => {
        const timeout = suspicionTimeout() * (isRemote ? REMOTE_SUSPICION_FACTOR : 1) * (1 + random() * JITTER_FRACTION);
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
