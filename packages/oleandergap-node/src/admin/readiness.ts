/** Readiness of a node to accept requests, with the reasons if it is not ready. */

import type { Milliseconds, RefusalReason } from "oleandergap-types";
import type { Random } from "oleandergap-utils";

/** State that determines whether a node is ready. */
export interface ReadinessState {
    listening: boolean;
    recovered: boolean;
    /** The node is stopping; no new requests should be sent to it. */
    draining: boolean;
    /** Callers have had time to switch to other nodes. The node now refuses their requests. */
    refusing: boolean;
    /** Monotonic time at which the remaining requests are aborted; undefined if the node is not stopping. */
    endsAt: Milliseconds | undefined;
}

export interface Readiness {
    readonly ready: boolean;
    /** Empty when ready. */
    readonly reasons: readonly string[];
}

export const createReadinessState = (): ReadinessState =>
    ({ listening: false, recovered: false, draining: false, refusing: false, endsAt: undefined });

/** Describes the readiness of a node, whose callers should use other nodes if `isDivertingCallers` is set. */
export const describeReadiness = (state: ReadinessState, isDivertingCallers = false): Readiness => {
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
    if (isDivertingCallers) {
        reasons.push("the target needs all of the node's CPU time");
    }
    return { ready: reasons.length === 0, reasons };
};

/** Reason why the node does not accept requests, and the delay after which the caller may retry. */
export interface AdmissionRefusal {
    readonly reason: RefusalReason;
    readonly retryAfterMs: Milliseconds;
}

/** Minimum retry delay at a node that is recovering its configuration. A recovery usually takes 0.4 s. */
const RECOVERY_RETRY_AFTER_MS: Milliseconds = 300;
/**
 * Maximum random jitter that is added to that delay. When all nodes restart together, thousands of callers are refused
 * within half a second. With the same delay, all of them would retry at the same moment, at nodes whose code has not
 * been JIT-compiled yet.
 */
const RECOVERY_RETRY_SPREAD_MS: Milliseconds = 700;

/** Returns why the node accepts no requests at all; undefined if it accepts requests. */
export const findAdmissionRefusal = (
    state: Readonly<ReadinessState>,
    random: Random,
): AdmissionRefusal | undefined => state.recovered ?
    undefined :
    { reason: "NotReady", retryAfterMs: RECOVERY_RETRY_AFTER_MS + RECOVERY_RETRY_SPREAD_MS * random() };
