/** Whether a node may be given requests, and if not, why. */

import type { Milliseconds, RefusalReason } from "oleandergap-types";

/** What has to be true before a node is ready. */
export interface ReadinessState {
    listening: boolean;
    recovered: boolean;
    /** The node is to stop; nobody should be sent to it any more. */
    draining: boolean;
    /** Requests that arrive all the same are refused. */
    refusing: boolean;
}

export interface Readiness {
    readonly ready: boolean;
    /** Empty when ready. */
    readonly reasons: readonly string[];
}

export const createReadinessState = (): ReadinessState =>
    ({ listening: false, recovered: false, draining: false, refusing: false });

export const describeReadiness = (state: ReadinessState): Readiness => {
    const reasons: string[] = [];
    if (!state.listening) {
        reasons.push("not all ports are listening");
    }
    if (!state.recovered) {
        reasons.push("the configuration is not recovered");
    }
    if (state.draining) {
        reasons.push("the node is draining");
    }
    return { ready: reasons.length === 0, reasons };
};

/** Why no request is accepted now, and when to come back. */
export interface Closure {
    readonly reason: RefusalReason;
    readonly retryAfterMs: Milliseconds;
}

/** Usual time of a recovery. */
const RECOVERY_RETRY_AFTER_MS = 1000;

/**
 * Undefined while the node accepts requests. A stopping node still accepts those of its own target, whose requests in
 * flight may need other services to be finished.
 */
export const findClosure = (
    state: Readonly<ReadinessState>,
    isOwnTarget: boolean,
    lingerMs: Milliseconds,
): Closure | undefined => {
    if (!state.recovered) {
        return { reason: "NotReady", retryAfterMs: RECOVERY_RETRY_AFTER_MS };
    }
    return state.refusing && !isOwnTarget ? { reason: "Draining", retryAfterMs: lingerMs } : undefined;
};
