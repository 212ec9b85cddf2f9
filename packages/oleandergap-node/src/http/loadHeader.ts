/**
 * Formats and parses the load of a gate as response headers. Every response carries the four numbers of the load. The
 * pace of the target and the usual time of the request's kind follow in a header of their own, which is absent for
 * targets that report no pace and which older builds ignore.
 */
import type { GateLoad } from "oleandergap-types";

const LOAD_PATTERN = /^(\d{1,9}),(\d{1,9}),(\d{1,9}),(\d{1,9})$/;

export const formatLoad = (load: GateLoad): string =>
    `${load.inFlight},${load.queued},${load.capacity},${Math.ceil(load.expectedWaitMs)}`;

const PACE_PATTERN = /^(\d{1,4}(?:\.\d{1,2})?),(\d{1,9})?$/;
/** Number of decimals of a pace. */
const PACE_DECIMALS = 2;
/** Lowest pace that the header can express. */
const MINIMUM_PACE = 0.01;

/** Returns the value of the header for the pace, or undefined if the load has none. */
export const formatPace = ({ pace, usualTimeMs }: GateLoad): string | undefined =>
    pace === undefined ?
        undefined :
        [Math.max(MINIMUM_PACE, pace).toFixed(PACE_DECIMALS), usualTimeMs?.toFixed(0)].join(",");

type Pace = Pick<GateLoad, "pace" | "usualTimeMs">;

const parsePace = (text: string | undefined): Pace => {
    const match = text === undefined ? null : PACE_PATTERN.exec(text);
    const pace = Number(match?.[1] ?? 0);
    if (match === null || pace === 0) {
        return {};
    }
    return match[2] === undefined ? { pace } : { pace, usualTimeMs: Number(match[2]) };
};

/**
 * Returns the parsed load, or undefined when its header is absent or malformed. An absent or malformed pace gives a
 * load without one.
 */
export const parseLoad = (text: string | undefined, paceText: string | undefined): GateLoad | undefined => {
    const match = text === undefined ? null : LOAD_PATTERN.exec(text);
    if (match === null) {
        return undefined;
    }
    return {
        inFlight: Number(match[1]),
        queued: Number(match[2]),
        capacity: Number(match[3]),
        expectedWaitMs: Number(match[4]),
        ...parsePace(paceText),
    };
};
