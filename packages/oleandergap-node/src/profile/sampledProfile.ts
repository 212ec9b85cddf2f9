/** Sums a sampled profile of the processor up by part of the program. */
import type { Milliseconds } from "oleandergap-types";

/** Where a function stands, in its source. */
export interface SourcePosition {
    /** Name or address of the file; empty for what the engine does by itself. */
    readonly file: string;
    /** Name of the function; the engine's own work has names such as `(idle)`. */
    readonly functionName: string;
}

/** One function on the stack of samples; the ids of those that it called follow. */
export interface ProfileNode {
    readonly id: number;
    readonly position: SourcePosition;
    readonly children: readonly number[];
}

/** Samples in the order in which they were taken. */
export interface SampledProfile {
    readonly nodes: readonly ProfileNode[];
    /** The node that ran at each sample. */
    readonly samples: readonly number[];
    /** Time since the sample before. */
    readonly intervals: readonly Milliseconds[];
}

/** Processor time by part of the program, in milliseconds. */
export type TimeByPart = ReadonlyMap<string, Milliseconds>;

const IDLE = "(idle)";
const ENGINE_PARTS: ReadonlyMap<string, string> = new Map([
    ["(garbage collector)", "garbage collection"],
    ["(program)", "runtime outside JavaScript"],
    ["(root)", "runtime outside JavaScript"],
]);
/** The runtime's own modules, as far as no part of ours called them. */
const RUNTIME_PART = "runtime";
const OWN_PACKAGE = /packages\/oleandergap-([a-z]+)\/(?:src|lib)\/(?:([a-z]+)\/)?/;
const ADAPTER = /(?:^|\/)platform\/(?:src|lib)\//;
const LIBRARY = /node_modules\/((?:@[^/]+\/)?[^/]+)\//;
/** The daemon's package is told apart by its folders, as it holds the way of a request. */
const SPLIT_PACKAGE = "node";

/** The part that a file belongs to; undefined for the runtime and for libraries. */
const ownPartOf = (file: string): string | undefined => {
    if (LIBRARY.test(file)) {
        return undefined;
    }
    const [, packageName, folder] = OWN_PACKAGE.exec(file) ?? [];
    if (packageName !== undefined) {
        return packageName === SPLIT_PACKAGE && folder !== undefined ? `${packageName}/${folder}` : packageName;
    }
    return ADAPTER.test(file) ? "adapter" : undefined;
};

/** A part of ours; else that of the caller, so that a library counts for whoever uses it. */
const partOf = ({ position }: ProfileNode, callerPart: string | undefined): string => {
    const enginePart = ENGINE_PARTS.get(position.functionName);
    return enginePart ?? ownPartOf(position.file) ?? callerPart ?? LIBRARY.exec(position.file)?.[1] ?? RUNTIME_PART;
};

/** The part of each node, found from the top of the stacks down. */
const assignParts = (nodes: readonly ProfileNode[]): ReadonlyMap<number, string> => {
    const byId = new Map(nodes.map((node) => [node.id, node]));
    const called = new Set(nodes.flatMap((node) => node.children));
    const parts = new Map<number, string>();
    const open = nodes.filter((node) => !called.has(node.id))
        .map((node) => ({ node, callerPart: undefined as string | undefined }));
    for (let next = open.pop(); next !== undefined; next = open.pop()) {
        const { node, callerPart } = next;
        const part = partOf(node, callerPart);
        parts.set(node.id, part);
        // What the engine does at the root has no caller of ours.
        const passedOn = part === RUNTIME_PART || ENGINE_PARTS.has(node.position.functionName) ? undefined : part;
        for (const child of node.children) {
            const childNode = byId.get(child);
            if (childNode !== undefined) {
                open.push({ node: childNode, callerPart: passedOn });
            }
        }
    }
    return parts;
};

/** Time by part; time in which the process had nothing to do is left out. */
export const sumProfile = ({ nodes, samples, intervals }: SampledProfile): TimeByPart => {
    const parts = assignParts(nodes);
    const idle = new Set(nodes.filter(({ position }) => position.functionName === IDLE).map(({ id }) => id));
    const times = new Map<string, Milliseconds>();
    samples.forEach((id, index) => {
        // The time until the next sample belongs to this one.
        const interval = intervals[index + 1] ?? 0;
        if (!idle.has(id)) {
            const part = parts.get(id) ?? RUNTIME_PART;
            times.set(part, (times.get(part) ?? 0) + Math.max(0, interval));
        }
    });
    return times;
};

/** The costliest functions by themselves, for reading beside the parts. */
export const listCostlyFunctions = (
    { nodes, samples, intervals }: SampledProfile,
    most: number,
): readonly (readonly [name: string, time: Milliseconds])[] => {
    const byId = new Map(nodes.map((node) => [node.id, node]));
    const times = new Map<string, Milliseconds>();
    samples.forEach((id, index) => {
        const position = byId.get(id)?.position;
        if (position !== undefined && position.functionName !== IDLE) {
            const file = position.file.split("/").slice(-2).join("/");
            const name = `${position.functionName === "" ? "(anonymous)" : position.functionName} ${file}`.trim();
            times.set(name, (times.get(name) ?? 0) + Math.max(0, intervals[index + 1] ?? 0));
        }
    });
    return [...times.entries()].sort((left, right) => right[1] - left[1]).slice(0, most);
};
