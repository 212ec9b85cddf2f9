/** Samples this process with the profiler of the JavaScript engine, and resolves bundled positions by source maps. */
import { existsSync, readFileSync } from "node:fs";
import { Session, type Profiler } from "node:inspector";
import { fileURLToPath } from "node:url";
import { originalPositionFor, TraceMap } from "@jridgewell/trace-mapping";
import { MILLISECONDS_PER_SECOND, type Milliseconds } from "oleandergap-types";
import type { SampledProfile, SourcePosition } from "./sampledProfile.js";

/** Interval between two samples: precise enough for a node that is busy for 2% of the time. */
const SAMPLING_INTERVAL_MS: Milliseconds = 1;

/** A sampling CPU profiler. */
export interface Sampler {
    readonly start: () => void;
    /** Stops sampling and returns the samples since the start; undefined if the engine returned no profile. */
    readonly stop: () => SampledProfile | undefined;
}

const toFilePath = (url: string): string => url.startsWith("file:") ? fileURLToPath(url) : url;

/** Creates a lookup of source positions in bundled files. Each file's source map is loaded once. */
const createSourceLookup = (): ((frame: Profiler.ProfileNode["callFrame"]) => SourcePosition) => {
    const mapsByFile = new Map<string, TraceMap | undefined>();
    const readMap = (file: string): TraceMap | undefined => {
        const mapFile = `${file}.map`;
        return file.startsWith("/") && existsSync(mapFile) ? new TraceMap(readFileSync(mapFile, "utf8")) : undefined;
    };
    return ({ url, functionName, lineNumber, columnNumber }) => {
        const file = toFilePath(url);
        if (!mapsByFile.has(file)) {
            mapsByFile.set(file, readMap(file));
        }
        const map = mapsByFile.get(file);
        // The wrapper function of a bundle has a column before the first one.
        if (map === undefined || columnNumber < 0) {
            return { file, functionName };
        }
        // The engine counts lines from zero, the source map from one.
        const originalPosition = originalPositionFor(map, { line: lineNumber + 1, column: columnNumber });
        return { file: originalPosition.source ?? file, functionName: originalPosition.name ?? functionName };
    };
};

const toProfile = (
    { nodes, samples = [], timeDeltas = [] }: Profiler.Profile,
    resolvePosition: (frame: Profiler.ProfileNode["callFrame"]) => SourcePosition,
): SampledProfile => ({
    nodes: nodes.map(({ id, callFrame, children = [] }) => ({ id, position: resolvePosition(callFrame), children })),
    samples,
    intervals: timeDeltas.map((microseconds) => microseconds / MILLISECONDS_PER_SECOND),
});

/** Creates a sampler that uses the profiler of the JavaScript engine. */
export const createSampler = (): Sampler => {
    const session = new Session();
    session.connect();
    session.post("Profiler.enable");
    session.post("Profiler.setSamplingInterval", { interval: SAMPLING_INTERVAL_MS * MILLISECONDS_PER_SECOND });
    const resolvePosition = createSourceLookup();
    return {
        start: () => session.post("Profiler.start"),
        stop: () => {
            let profile: SampledProfile | undefined;
            // The engine calls the callback synchronously.
            session.post("Profiler.stop", (_error, result?: Profiler.StopReturnType) => {
                profile = result && toProfile(result.profile, resolvePosition);
            });
            return profile;
        },
    };
};
