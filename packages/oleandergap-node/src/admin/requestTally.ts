/**
 * Aggregates the ends of all requests in the log.
 *
 * Log lines for single failed requests are rate-limited. Under overload, most of them are left out, so the log would
 * show that requests failed, but not how many of which kind, nor whether the gateway or the gate refused them. One
 * summary line per second and point shows this at any load.
 */
import type { Logger } from "oleandergap-logger";
import type { Clock, GateLoad, Milliseconds } from "oleandergap-types";
import type { ServedAt } from "./metrics.js";
import type { ProcessLoad, ReadProcessLoad } from "../overload/processLoad.js";

/** Interval between two lines for one point. */
const PERIOD_MS: Milliseconds = 1000;
/**
 * Maximum number of different ends in one line, the most frequent first. The limit keeps the line short even if a
 * sender uses a new kind for each request.
 */
const MAX_LISTED_ENDS = 24;
/** Maximum number of different ends that are counted in one period. */
const MAX_COUNTED_ENDS = 512;

const SHARE_DECIMALS = 2;

/** One request that ended. */
export interface EndedRequest {
    readonly at: ServedAt;
    /** Name of the route, or empty. */
    readonly kind: string;
    /** Class of the status, such as `2xx`, or the reason of the failure. */
    readonly end: string;
    readonly isFailure: boolean;
    readonly durationMs: Milliseconds;
}

export interface RequestTallyOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    /** Returns the load of the local gate; undefined without a target. */
    readonly load: () => GateLoad | undefined;
    readonly readProcessLoad: ReadProcessLoad;
}

export interface RequestTally {
    readonly note: (request: EndedRequest) => void;
    /** Writes lines until the signal aborts. */
    readonly start: (signal: AbortSignal) => void;
}

interface EndCount {
    readonly kind: string;
    readonly end: string;
    count: number;
    totalMs: Milliseconds;
}

interface PointCounts {
    readonly ends: Map<string, EndCount>;
    hasFailures: boolean;
    uncounted: number;
}

const createPointCounts = (): PointCounts => ({ ends: new Map(), hasFailures: false, uncounted: 0 });

const describeEnd = ({ kind, end, count, totalMs }: EndCount): string =>
    `${kind === "" ? "-" : kind} ${end} ${count}x${Math.round(totalMs / count)}ms`;

const describeEnds = ({ ends }: PointCounts): string => [...ends.values()]
    .sort((left, right) => right.count - left.count)
    .slice(0, MAX_LISTED_ENDS)
    .map(describeEnd)
    .join(", ");

const describeLoad = (load: GateLoad | undefined): string =>
    load === undefined ? "no target" : `${load.inFlight} running of ${load.capacity}, ${load.queued} queued`;

/** Creates a tally that counts immediately. It writes no line for a second in which no request failed. */
export const createRequestTally = ({ clock, logger, load, readProcessLoad }: RequestTallyOptions): RequestTally => {
    const countsByPoint: Record<ServedAt, PointCounts> = { gateway: createPointCounts(), gate: createPointCounts() };

    const note: RequestTally["note"] = ({ at, kind, end, isFailure, durationMs }) => {
        const pointCounts = countsByPoint[at];
        const key = `${kind} ${end}`;
        let endCount = pointCounts.ends.get(key);
        if (endCount === undefined && pointCounts.ends.size >= MAX_COUNTED_ENDS) {
            pointCounts.uncounted += 1;
            return;
        }
        endCount ??= { kind, end, count: 0, totalMs: 0 };
        pointCounts.ends.set(key, endCount);
        endCount.count += 1;
        endCount.totalMs += durationMs;
        pointCounts.hasFailures ||= isFailure;
    };

    const writeLine = (at: ServedAt, { busyShare, cpuMs }: ProcessLoad): void => {
        const pointCounts = countsByPoint[at];
        if (pointCounts.hasFailures) {
            logger.info("Request summary of the last second.", {
                at,
                ends: describeEnds(pointCounts),
                uncounted: pointCounts.uncounted,
                gate: describeLoad(load()),
                busyShare: Number(busyShare.toFixed(SHARE_DECIMALS)),
                cpuMs: Math.round(cpuMs),
            });
        }
        countsByPoint[at] = createPointCounts();
    };

    const start = (signal: AbortSignal): void => {
        clock.after(PERIOD_MS, () => {
            const processLoad = readProcessLoad();
            writeLine("gateway", processLoad);
            writeLine("gate", processLoad);
            if (!signal.aborted) {
                start(signal);
            }
        });
    };

    return { note, start };
};
