/**
 * Sums up how requests ended, so that the log tells of all of them.
 *
 * Lines on single failed requests keep to a budget. In an overload most are left out, and one would see from the log
 * that something failed, but neither how much of what, nor whether it was the first or the last hop that refused. One
 * line a second and place says that, whatever the load.
 */
import type { Logger } from "oleandergap-logger";
import type { Clock, GateLoad, Milliseconds } from "oleandergap-types";
import type { ServedAt } from "./metrics.js";

/** Distance of two lines on one place. */
const PERIOD_MS: Milliseconds = 1000;
/** Kinds of ends in one line, the most frequent first; a sender of ever new kinds must not make it long. */
const MAXIMUM_ENDS = 24;
/** Kinds of ends that are counted in one period. */
const MAXIMUM_COUNTED = 512;

/** One request that ended. */
export interface EndedRequest {
    readonly at: ServedAt;
    /** Name of its route, or empty. */
    readonly kind: string;
    /** Class of the status, as `2xx`, or the reason why there was no answer. */
    readonly end: string;
    readonly isFailure: boolean;
    readonly durationMs: Milliseconds;
}

export interface RequestTallyOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    /** Load of the own gate; undefined without a target. */
    readonly load: () => GateLoad | undefined;
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

interface PlaceCounts {
    readonly ends: Map<string, EndCount>;
    hasFailures: boolean;
    uncounted: number;
}

const createPlace = (): PlaceCounts => ({ ends: new Map(), hasFailures: false, uncounted: 0 });

const describeEnd = ({ kind, end, count, totalMs }: EndCount): string =>
    `${kind === "" ? "-" : kind} ${end} ${count}x${Math.round(totalMs / count)}ms`;

const describeEnds = ({ ends }: PlaceCounts): string => [...ends.values()]
    .sort((left, right) => right.count - left.count)
    .slice(0, MAXIMUM_ENDS)
    .map(describeEnd)
    .join(", ");

const describeLoad = (load: GateLoad | undefined): string =>
    load === undefined ? "no target" : `${load.inFlight} running of ${load.capacity}, ${load.queued} queued`;

/** Counts from the start; writes nothing of a second in which no request failed. */
export const createRequestTally = ({ clock, logger, load }: RequestTallyOptions): RequestTally => {
    const places: Record<ServedAt, PlaceCounts> = { gateway: createPlace(), gate: createPlace() };

    const note: RequestTally["note"] = ({ at, kind, end, isFailure, durationMs }) => {
        const place = places[at];
        const key = `${kind} ${end}`;
        let count = place.ends.get(key);
        if (count === undefined && place.ends.size >= MAXIMUM_COUNTED) {
            place.uncounted += 1;
            return;
        }
        count ??= { kind, end, count: 0, totalMs: 0 };
        place.ends.set(key, count);
        count.count += 1;
        count.totalMs += durationMs;
        place.hasFailures ||= isFailure;
    };

    const writeLine = (at: ServedAt): void => {
        const place = places[at];
        if (place.hasFailures) {
            logger.info("Requests of the last second.", {
                at,
                ends: describeEnds(place),
                uncounted: place.uncounted,
                gate: describeLoad(load()),
            });
        }
        places[at] = createPlace();
    };

    const start = (signal: AbortSignal): void => {
        clock.after(PERIOD_MS, () => {
            writeLine("gateway");
            writeLine("gate");
            if (!signal.aborted) {
                start(signal);
            }
        });
    };

    return { note, start };
};
