/** Reads applied versions and resource usage of all nodes of a fleet. */
import { readMetricSamples, sumMetric, type Fleet, type FleetNode } from "oleandergap-demo";
import { MILLISECONDS_PER_SECOND, type Milliseconds, type PartnerName, type Sequence } from "oleandergap-types";
import { readNodeUsage } from "../nodeUsage.js";

/** Version of a partner's document that a node uses. */
export interface AppliedVersion {
    readonly node: FleetNode;
    readonly sequence: Sequence;
    /** Wall-clock time at which the node applied the version. */
    readonly appliedAt: Milliseconds;
}

const readAppliedVersion = async (node: FleetNode, partner: PartnerName): Promise<AppliedVersion> => {
    const text = await node.readMetrics();
    const findValue = (name: string): number =>
        readMetricSamples(text, name).find(({ labels }) => labels["partner"] === partner)?.value ?? 0;
    return {
        node,
        sequence: findValue("oleandergap_applied_sequence"),
        appliedAt: findValue("oleandergap_applied_at_ms"),
    };
};

/** Returns the applied versions of the running nodes that respond. */
export const readAppliedVersions = async (
    nodes: readonly FleetNode[],
    partner: PartnerName,
): Promise<AppliedVersion[]> => {
    const results = await Promise.allSettled(
        nodes.filter((node) => node.isRunning()).map((node) => readAppliedVersion(node, partner)),
    );
    return results.flatMap((result) => result.status === "fulfilled" ? [result.value] : []);
};

/** Totals of a fleet, each since the start of the process that counts it. */
export interface ControlTotals {
    readonly takenAt: Milliseconds;
    /** Control traffic between nodes in bytes, sent and received, as counted by each node. */
    readonly peerBytes: number;
    /** Traffic between nodes and platform in bytes, as counted by the platform stand-in. */
    readonly platformBytes: number;
    readonly platformReads: number;
    readonly cpuMs: Milliseconds;
    readonly residentBytes: number;
    readonly residentBytesMaximum: number;
}

const readPeerBytes = async (node: FleetNode): Promise<number> =>
    sumMetric(await node.readMetrics(), "oleandergap_control_bytes");

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

/** Reads the totals of all running nodes. The requests for this are not control traffic and are not counted. */
export const readControlTotals = async (fleet: Fleet, now: () => Milliseconds): Promise<ControlTotals> => {
    const running = fleet.nodes.filter((node) => node.isRunning());
    const peerBytes = sum(await Promise.all(running.map(readPeerBytes)));
    const counters = await fleet.platform.counters();
    const usage = await readNodeUsage(fleet);
    return {
        takenAt: now(),
        peerBytes,
        platformBytes: counters.bytesReceived + counters.bytesSent,
        platformReads: counters.reads,
        cpuMs: sum(usage.map(({ cpuMs }) => cpuMs)),
        residentBytes: sum(usage.map(({ residentBytes }) => residentBytes)),
        residentBytesMaximum: Math.max(0, ...usage.map(({ residentBytes }) => residentBytes)),
    };
};

/** Costs between two totals. */
export interface ControlCosts {
    readonly bytesPerNodeAndSecond: number;
    readonly platformReadsPerSecond: number;
    /** CPU time per node, as a share of one core. */
    readonly coreSharePerNode: number;
}

/** Computes the costs between two totals of the same fleet of `nodes` nodes. `before` must be the earlier one. */
export const computeControlCosts = (before: ControlTotals, after: ControlTotals, nodes: number): ControlCosts => {
    const seconds = (after.takenAt - before.takenAt) / MILLISECONDS_PER_SECOND;
    const bytes = after.peerBytes - before.peerBytes + after.platformBytes - before.platformBytes;
    return {
        bytesPerNodeAndSecond: bytes / nodes / seconds,
        platformReadsPerSecond: (after.platformReads - before.platformReads) / seconds,
        coreSharePerNode: (after.cpuMs - before.cpuMs) / (after.takenAt - before.takenAt) / nodes,
    };
};
