/** Takes samples of this process by the engine's own profiler, and finds the sources of a bundle by its map. */
import { existsSync, readFileSync } from "node:fs";
import { Session, type Profiler } from "node:inspector";
import { fileURLToPath } from "node:url";
import { originalPositionFor, TraceMap } from "@jridgewell/trace-mapping";
import { MILLISECONDS_PER_SECOND, type Milliseconds } from "oleandergap-types";
import type { SampledProfile, SourcePosition } from "./sampledProfile.js";

/** Distance of two samples: fine enough for a node that works for two hundredths of the time. */
const SAMPLING_INTERVAL_MS: Milliseconds = 1;

/** Takes samples until it is stopped. */
export interface Sampler {
    readonly start: () => void;
    /** The samples since the start; undefined when the engine had none to give. */
    readonly stop: () => SampledProfile | undefined;
}

const toFile = (url: string): string => url.startsWith("file:") ? fileURLToPath(url) : url;

/** Looks positions in bundled files up, each file's map once. */
const createSourceLookup = (): ((frame: Profiler.ProfileNode["callFrame"]) => SourcePosition) => {
    const maps = new Map<string, TraceMap | undefined>();
    const readMap = (file: string): TraceMap | undefined => {
        const mapFile = `${file}.map`;
        return file.startsWith("/") && existsSync(mapFile) ? new TraceMap(readFileSync(mapFile, "utf8")) : undefined;
    };
    return ({ url, functionName, lineNumber, columnNumber }) => {
        const file = toFile(url);
        if (!maps.has(file)) {
            maps.set(file, readMap(file));
        }
        const map = maps.get(file);
        // The function that wraps a bundle stands before its first column.
        if (map === undefined || columnNumber < 0) {
            return { file, functionName };
        }
        // The engine counts lines from zero, the map from one.
        const found = originalPositionFor(map, { line: lineNumber + 1, column: columnNumber });
        return { file: found.source ?? file, functionName: found.name ?? functionName };
    };
};

const toProfile = (
    { nodes, samples = [], timeDeltas = [] }: Profiler.Profile,
    locate: (frame: Profiler.ProfileNode["callFrame"]) => SourcePosition,
): SampledProfile => ({
    nodes: nodes.map(({ id, callFrame, children = [] }) => ({ id, position: locate(callFrame), children })),
    samples,
    intervals: timeDeltas.map((microseconds) => microseconds / MILLISECONDS_PER_SECOND),
});

/** Opens the engine's profiler. */
export const createSampler = (): Sampler => {
    const session = new Session();
    session.connect();
    session.post("Profiler.enable");
    session.post("Profiler.setSamplingInterval", { interval: SAMPLING_INTERVAL_MS * MILLISECONDS_PER_SECOND });
    const locate = createSourceLookup();
    return {
        start: () => session.post("Profiler.start"),
        stop: () => {
            let profile: SampledProfile | undefined;
            // The engine answers within the call.
            session.post("Profiler.stop", (_error, result?: Profiler.StopReturnType) => {
                profile = result && toProfile(result.profile, locate);
            });
            return profile;
        },
    };
};
