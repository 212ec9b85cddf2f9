/** What one node has received about the speed of a target: the reported pace of its VM, and its usual times by kind. */
import { PACE_PERSISTENCE_MS, type GateLoad, type Milliseconds } from "oleandergap-types";

/** Maximum number of request kinds with a usual time. The oldest kind is evicted. */
const MAXIMUM_KINDS = 64;

/** The speed of one target. */
export interface ReportedPace {
    readonly pace: number;
    readonly reportedAt: Milliseconds;
    /** Time that a request takes at pace 1, by kind. */
    readonly usualTimeByKind: Map<string, Milliseconds>;
}

/** Stores a value and evicts the oldest key beyond the maximum number of kinds. */
export const setByKind = (values: Map<string, Milliseconds>, kind: string, value: Milliseconds): void => {
    const [oldest] = values.keys();
    if (!values.has(kind) && values.size >= MAXIMUM_KINDS && oldest !== undefined) {
        values.delete(oldest);
    }
    values.set(kind, value);
};

/** Applies the load that a gate reported with the response to a request of `kind`. */
export const updateReportedPace = (
    previous: ReportedPace | undefined,
    { pace, usualTimeMs }: GateLoad,
    kind: string,
    now: Milliseconds,
): ReportedPace | undefined => {
    if (pace === undefined) {
        return previous;
    }
    const usualTimeByKind = previous?.usualTimeByKind ?? new Map<string, Milliseconds>();
    if (usualTimeMs !== undefined && usualTimeMs > 0) {
        setByKind(usualTimeByKind, kind, usualTimeMs);
    }
    return { pace, reportedAt: now, usualTimeByKind };
};

/** Returns how long work of `usualMs` that starts now takes: first at the reported pace, then at the usual pace. */
export const predictDuration = (
    reported: ReportedPace | undefined,
    usualMs: Milliseconds,
    now: Milliseconds,
): Milliseconds => {
    const persistence = reported === undefined ? 0 : PACE_PERSISTENCE_MS - (now - reported.reportedAt);
    if (reported === undefined || persistence <= 0) {
        return usualMs;
    }
    const soonDone = persistence / reported.pace;
    return usualMs <= soonDone ? usualMs * reported.pace : persistence + (usualMs - soonDone);
};
