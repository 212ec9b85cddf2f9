/** Aggregates a sampled CPU profile by part of the program. */
import type { Milliseconds } from "oleandergap-types";

/** Source position of a function. */
export interface SourcePosition {
    /** Path or URL of the file; empty for work of the JavaScript engine. */
    readonly file: string;
    /** Name of the function; work of the JavaScript engine has names such as `(idle)`. */
    readonly functionName: string;
}

/** One function in the call tree of the samples, with the ids of the functions that it called. */
export interface ProfileNode {
    readonly id: number;
    readonly position: SourcePosition;
    readonly children: readonly number[];
}

/** Samples in the order in which they were taken. */
export interface SampledProfile {
    readonly nodes: readonly ProfileNode[];
    /** Id of the node that was running at each sample. */
    readonly samples: readonly number[];
    /** Time since the previous sample. */
    readonly intervals: readonly Milliseconds[];
}

/** CPU time by part of the program, in milliseconds. */
export type TimeByPart = ReadonlyMap<string, Milliseconds>;

const IDLE_FUNCTION = "(idle)";
const ENGINE_PARTS: ReadonlyMap<string, string> = new Map([
    ["(garbage collector)", "garbage collection"],
    ["(program)", "runtime outside JavaScript"],
    ["(root)", "runtime outside JavaScript"],
]);
/** Part for modules of the runtime that no part of this project called. */
const RUNTIME_PART = "runtime";
const OWN_PACKAGE_PATTERN = /packages\/oleandergap-([a-z]+)\/(?:src|lib)\/(?:([a-z]+)\/)?/;
const ADAPTER_PATTERN = /(?:^|\/)platform\/(?:src|lib)\//;
const LIBRARY_PATTERN = /node_modules\/((?:@[^/]+\/)?[^/]+)\//;
/** Package whose folders count as separate parts, because the daemon contains the whole request path. */
const SPLIT_PACKAGE = "node";

/** Returns the part that a file belongs to; undefined for the runtime and for libraries. */
const findOwnPart = (file: string): string | undefined => {
    if (LIBRARY_PATTERN.test(file)) {
        return undefined;
    }
    const [, packageName, folder] = OWN_PACKAGE_PATTERN.exec(file) ?? [];
    if (packageName !== undefined) {
        return packageName === SPLIT_PACKAGE && folder !== undefined ? `${packageName}/${folder}` : packageName;
    }
    return ADAPTER_PATTERN.test(file) ? "adapter" : undefined;
};

/** Returns the part of a function. The time of a library function counts for the part that called it. */
const findPart = ({ position }: ProfileNode, callerPart: string | undefined): string => {
    const enginePart = ENGINE_PARTS.get(position.functionName);
    return enginePart ?? findOwnPart(position.file) ?? callerPart ??
        LIBRARY_PATTERN.exec(position.file)?.[1] ?? RUNTIME_PART;
};

/** Returns the part of each node by its id. Walks the call tree from the root, so callers are assigned first. */
const assignParts = (nodes: readonly ProfileNode[]): ReadonlyMap<number, string> => {
    const byId = new Map(nodes.map((node) => [node.id, node]));
    const calledIds = new Set(nodes.flatMap((node) => node.children));
    const parts = new Map<number, string>();
    const pending = nodes.filter((node) => !calledIds.has(node.id))
        .map((node) => ({ node, callerPart: undefined as string | undefined }));
    for (let next = pending.pop(); next !== undefined; next = pending.pop()) {
        const { node, callerPart } = next;
        const part = findPart(node, callerPart);
        parts.set(node.id, part);
        // Work of the engine and the runtime at the root has no caller in this project.
        const inheritedPart = part === RUNTIME_PART || ENGINE_PARTS.has(node.position.functionName) ? undefined : part;
        for (const child of node.children) {
            const childNode = byId.get(child);
            if (childNode !== undefined) {
                pending.push({ node: childNode, callerPart: inheritedPart });
            }
        }
    }
    return parts;
};

/** Returns the CPU time by part, excluding idle time. */
export const sumProfile = ({ nodes, samples, intervals }: SampledProfile): TimeByPart => {
    const parts = assignParts(nodes);
    const idleNodeIds = new Set(
        nodes.filter(({ position }) => position.functionName === IDLE_FUNCTION).map(({ id }) => id),
    );
    const times = new Map<string, Milliseconds>();
    samples.forEach((id, index) => {
        // The time until the next sample counts for this one.
        const interval = intervals[index + 1] ?? 0;
        if (!idleNodeIds.has(id)) {
            const part = parts.get(id) ?? RUNTIME_PART;
            times.set(part, (times.get(part) ?? 0) + Math.max(0, interval));
        }
    });
    return times;
};

/** Returns the functions with the most self time, in descending order. */
export const listCostlyFunctions = (
    { nodes, samples, intervals }: SampledProfile,
    maxFunctions: number,
): readonly (readonly [name: string, time: Milliseconds])[] => {
    const byId = new Map(nodes.map((node) => [node.id, node]));
    const times = new Map<string, Milliseconds>();
    samples.forEach((id, index) => {
        const position = byId.get(id)?.position;
        if (position !== undefined && position.functionName !== IDLE_FUNCTION) {
            const file = position.file.split("/").slice(-2).join("/");
            const name = `${position.functionName === "" ? "(anonymous)" : position.functionName} ${file}`.trim();
            times.set(name, (times.get(name) ?? 0) + Math.max(0, intervals[index + 1] ?? 0));
        }
    });
    return [...times.entries()].sort((left, right) => right[1] - left[1]).slice(0, maxFunctions);
};
