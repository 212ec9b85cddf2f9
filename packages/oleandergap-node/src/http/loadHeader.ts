/**
 * Formats and parses the load of a gate as a response header: four numbers, kept short because every response carries
 * them.
 */
import type { GateLoad } from "oleandergap-types";

const LOAD_PATTERN = /^(\d{1,9}),(\d{1,9}),(\d{1,9}),(\d{1,9})$/;

export const formatLoad = (load: GateLoad): string =>
    `${load.inFlight},${load.queued},${load.capacity},${Math.ceil(load.expectedWaitMs)}`;

/** Returns the parsed load, or undefined when the header is absent or malformed. */
export const parseLoad = (text: string | undefined): GateLoad | undefined => {
    const match = text === undefined ? null : LOAD_PATTERN.exec(text);
    if (match === null) {
        return undefined;
    }
    return {
        inFlight: Number(match[1]),
        queued: Number(match[2]),
        capacity: Number(match[3]),
        expectedWaitMs: Number(match[4]),
    };
};
