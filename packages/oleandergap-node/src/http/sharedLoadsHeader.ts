/**
 * Formats and parses the loads of targets that a node shares with another node of its zone: for each target the node,
 * the number of requests, the capacity, the pace and the age of the report in milliseconds.
 */
import type { SharedLoad } from "oleandergap-routing";
import { nodeIdSchema } from "oleandergap-types";
import { createCachedParser } from "./cachedParser.js";

const LOAD_PATTERN = /^([a-z0-9-]{1,48}),(\d{1,6}),(\d{1,6}),(\d{1,4}\.\d{2}),(\d{1,6})$/;
/** Maximum number of loads that are read. More than nodes send, for builds that send more. */
const MAX_LOADS = 16;
/** Maximum length of a header that is read, in characters. */
const MAX_HEADER_LENGTH = 2048;
/** Number of decimals of a pace. */
const PACE_DECIMALS = 2;
const SEPARATOR = " ";

const formatSharedLoad = ({ nodeId, requests, capacity, pace, ageMs }: SharedLoad): string =>
    [nodeId, Math.round(requests), capacity, pace.toFixed(PACE_DECIMALS), Math.ceil(ageMs)].join(",");

/** Returns the value of the header; empty without loads. */
export const formatSharedLoads = (loads: readonly SharedLoad[]): string => loads.map(formatSharedLoad).join(SEPARATOR);

const parseNodeId = createCachedParser((text) => nodeIdSchema.safeParse(text).data);

const parseSharedLoad = (text: string): readonly SharedLoad[] => {
    const [, idText = "", requests, capacity, pace, ageMs] = LOAD_PATTERN.exec(text) ?? [];
    const nodeId = Number(pace) > 0 ? parseNodeId(idText) : undefined;
    return nodeId !== undefined ?
        [{
            nodeId,
            requests: Number(requests),
            capacity: Number(capacity),
            pace: Number(pace),
            ageMs: Number(ageMs),
        }] :
        [];
};

/** Returns the parsed loads without malformed ones; undefined when the header is absent. */
export const parseSharedLoads = (text: string | undefined): readonly SharedLoad[] | undefined => {
    if (text === undefined || text.length > MAX_HEADER_LENGTH) {
        return text === undefined ? undefined : [];
    }
    return text.split(SEPARATOR).slice(0, MAX_LOADS).flatMap(parseSharedLoad);
};
