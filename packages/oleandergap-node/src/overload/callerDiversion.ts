/**
 * Decides whether callers of this node should use other nodes.
 *
 * Each request to a target passes the node beside it, but any node can serve a caller. When a service has few targets
 * left, the requests of the whole fleet for it take all CPU time of a node. If that node also serves its own callers,
 * it refuses requests for its target while slots of the target are free and other nodes have CPU time to spare.
 */
import type { Clock, Milliseconds } from "oleandergap-types";

/** Busy share of the event loop from which on a node counts as saturated. */
const SATURATED_SHARE = 0.95;
/** Busy share up to which the callers of a node have room there again. */
const ROOM_FOR_CALLERS_SHARE = 0.7;
/** Mean busy share of other nodes up to which they have room for more callers. */
const ROOM_ELSEWHERE_SHARE = 0.85;
/** Number of requests of other nodes for each one of a caller from which on the callers are the smaller part. */
const MIN_NODE_REQUESTS_PER_CALLER = 2;
/** Time for which a decision holds. Callers need some seconds to change to other nodes and to come back. */
const MIN_DURATION_MS: Milliseconds = 3000;

/** Load of a node in one period. */
export interface LoadReading {
    /** Share of the time in which the event loop was busy. */
    readonly busyShare: number;
    /** Mean of the busy shares that other nodes reported; undefined if none did lately. */
    readonly peersBusyShare: number | undefined;
    /** Number of requests of other nodes. */
    readonly nodeRequests: number;
    /** Number of requests of callers. */
    readonly callerRequests: number;
}

export interface CallerDiversion {
    readonly record: (reading: LoadReading) => void;
    /** Returns whether callers should use other nodes. */
    readonly isDiverting: () => boolean;
}

const shouldStart = ({ busyShare, peersBusyShare, nodeRequests, callerRequests }: LoadReading): boolean =>
    busyShare >= SATURATED_SHARE &&
    nodeRequests >= MIN_NODE_REQUESTS_PER_CALLER * callerRequests &&
    peersBusyShare !== undefined && peersBusyShare <= ROOM_ELSEWHERE_SHARE;

const shouldEnd = ({ busyShare, peersBusyShare }: LoadReading): boolean =>
    busyShare <= ROOM_FOR_CALLERS_SHARE || (peersBusyShare ?? 1) >= SATURATED_SHARE;

/** Creates the decision for a node that serves its callers. */
export const createCallerDiversion = (clock: Pick<Clock, "monotonic">): CallerDiversion => {
    let isDiverting = false;
    let decidedAt = Number.NEGATIVE_INFINITY;

    return {
        record: (reading) => {
            const now = clock.monotonic();
            if (now - decidedAt >= MIN_DURATION_MS && (isDiverting ? shouldEnd : shouldStart)(reading)) {
                isDiverting = !isDiverting;
                decidedAt = now;
            }
        },
        isDiverting: () => isDiverting,
    };
};
