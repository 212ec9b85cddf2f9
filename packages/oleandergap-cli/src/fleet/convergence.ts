/** Determines whether a version is in force on every node, as far as the fleet could be queried. */
import type { NodeVersion, VersionsView } from "oleandergap-operator";
import type { PartnerName, Sequence } from "oleandergap-types";

/** Progress of one version of one partner towards being in force on every node. */
export interface Convergence {
    readonly partner: PartnerName;
    readonly sequence: Sequence;
    /** Number of nodes that serve from the version or a later one. */
    readonly inForce: number;
    /** Nodes that serve from an older version or whose version is unknown. */
    readonly missing: readonly NodeVersion[];
    /** Zones that could not be queried. Their nodes are not counted. */
    readonly unknownZones: readonly string[];
    /** True when every node of every zone is known to serve from the version or a later one. */
    readonly converged: boolean;
}

/** Returns whether the node serves requests. Nodes that have left or are known to be dead do not. */
const isServing = ({ state }: NodeVersion): boolean => state === "alive" || state === "suspect";

/** Returns the version of `partner` that is in force at a node; undefined when it could not be determined. */
export const findAppliedSequence = ({ applied }: NodeVersion, partner: PartnerName): Sequence | undefined =>
    applied.kind === "Known" ?
        applied.versions.find((version) => version.partner === partner)?.sequence ?? 0 :
        undefined;

/** Counts the nodes that serve from `sequence` or a later version of `partner`. */
export const measureConvergence = (view: VersionsView, partner: PartnerName, sequence: Sequence): Convergence => {
    const servingNodes = view.nodes.filter(isServing);
    const missing = servingNodes.filter((node) => (findAppliedSequence(node, partner) ?? -1) < sequence);
    const unknownZones = view.unknownZones.map(({ zone }) => zone);
    const converged = servingNodes.length > 0 && missing.length === 0 && unknownZones.length === 0;
    return { partner, sequence, inForce: servingNodes.length - missing.length, missing, unknownZones, converged };
};

const describeNode = (node: NodeVersion, partner: PartnerName): string => {
    const sequence = findAppliedSequence(node, partner);
    return `  ${node.nodeId} in ${node.zone}: ${sequence === undefined ? "unknown" : `version ${sequence}`}`;
};

/** Returns a summary line, followed by one line for each missing node and each unknown zone. */
export const formatConvergence = (convergence: Convergence): readonly string[] => {
    const { partner, sequence, inForce, missing, unknownZones, converged } = convergence;
    const total = inForce + missing.length;
    const nodeCount = converged ? `all ${total}` : `${inForce} of ${total}`;
    return [
        `Version ${sequence} of ${partner} is in force on ${nodeCount} nodes.`,
        ...missing.map((node) => describeNode(node, partner)),
        ...unknownZones.map((zone) => `  zone ${zone}: could not be queried`),
    ];
};
