/** Whether a node may be given requests, and if not, why. */

import type { Milliseconds, RefusalReason } from "oleandergap-types";
import type { Random } from "oleandergap-utils";

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

/** Shortest time after which a caller comes back to a node that recovers: the usual time of a recovery is 0.4 s. */
const RECOVERY_RETRY_AFTER_MS: Milliseconds = 300;
/**
 * Time over which these callers are spread. When all nodes restart together, thousands are turned away within half a
 * second; told the same time, they would come back in one moment, to nodes whose code is not compiled yet.
 */
const RECOVERY_RETRY_SPREAD_MS: Milliseconds = 700;

/**
 * Undefined while the node accepts requests. A stopping node still accepts those of its own target, whose requests in
 * flight may need other services to be finished.
 */
export const findClosure = (
    state: Readonly<ReadinessState>,
    isOwnTarget: boolean,
    lingerMs: Milliseconds,
    random: Random,
): Closure | undefined => {
    if (!state.recovered) {
        return { reason: "NotReady", retryAfterMs: RECOVERY_RETRY_AFTER_MS + RECOVERY_RETRY_SPREAD_MS * random() };
    }
    return state.refusing && !isOwnTarget ? { reason: "Draining", retryAfterMs: lingerMs } : undefined;
};
