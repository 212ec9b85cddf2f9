/** Gauges for the statistics of a node's parts. They are read when the metrics are scraped. */
import type { FleetQuota } from "oleandergap-customers";
import type { PeerAccess } from "../control/peerAccess.js";
import type { ControlPlane } from "../createControlPlane.js";
import type { RequestPath } from "../requestPathTypes.js";
import type { PlatformCounters } from "oleandergap-platform";
import { readDatagramBytes, readDirections } from "./controlBytes.js";
import type { GaugeReading, NodeMetrics } from "./metrics.js";
import type { ReadinessState } from "./readiness.js";

const RATE_PERIOD_MS = 1000;

export interface GaugeSources {
    readonly controlPlane: ControlPlane;
    readonly requestPath: RequestPath;
    readonly peerAccess: PeerAccess;
    readonly tableService: { readonly counters: () => PlatformCounters };
    readonly objectStore: { readonly counters: () => PlatformCounters };
    readonly readiness: ReadinessState;
}

const createSingleReading = (value: number): readonly GaugeReading[] => [{ labels: {}, value }];

/** Returns one reading for each numeric property, with the property's name as the value of `label`. */
const readNumbers = (label: string, figures: object, labels: Readonly<Record<string, string>> = {}): GaugeReading[] =>
    Object.entries(figures).flatMap(([name, value]: [string, unknown]) =>
        typeof value === "number" ? [{ labels: { ...labels, [label]: name }, value }] : []);

const countStates = ({ controlPlane }: GaugeSources): readonly GaugeReading[] => {
    const counts = new Map<string, number>();
    for (const { state } of controlPlane.membership.members()) {
        counts.set(state, (counts.get(state) ?? 0) + 1);
    }
    return [...counts].map(([state, value]) => ({ labels: { state }, value }));
};

const readPlatformCalls = ({ tableService, objectStore }: GaugeSources): readonly GaugeReading[] => [
    ...readNumbers("figure", tableService.counters(), { service: "table" }),
    ...readNumbers("figure", objectStore.counters(), { service: "objects" }),
];

/** Number of customers with readings of their own, so that the number of readings is bounded. */
const MAX_CUSTOMERS = 10;
/** Customer of the reading of all other customers. No customer has this name. */
const OTHER_CUSTOMERS = "(others)";

const readCustomerUse = ({ listUse }: Pick<FleetQuota, "listUse">): readonly GaugeReading[] => {
    const uses = [...listUse()].sort((left, right) => right.asked - left.asked);
    const others = uses.slice(MAX_CUSTOMERS).reduce((sum, { asked, admitted, refused }) => ({
        ...sum, asked: sum.asked + asked, admitted: sum.admitted + admitted, refused: sum.refused + refused,
    }), { partner: "", customer: OTHER_CUSTOMERS, asked: 0, admitted: 0, refused: 0 });
    const listed = uses.length > MAX_CUSTOMERS ? [...uses.slice(0, MAX_CUSTOMERS), others] : uses;
    return listed.flatMap(({ partner, customer, asked, admitted, refused }) =>
        readNumbers("figure", { asked, admitted, refused }, { partner, customer }));
};

export const addNodeGauges = (metrics: NodeMetrics, sources: GaugeSources): void => {
    const { controlPlane, requestPath, peerAccess, readiness } = sources;
    const { store, spread, spreadTransport, membership, directory, peers } = controlPlane;
    const { containment, evidenceTransport, rollouts, rolloutTransport, quota, quotaTransport } = controlPlane;
    const addGauge = (name: string, help: string, labelNames: string[], read: () => readonly GaugeReading[]): void =>
        metrics.addGauge({ name: `oleandergap_${name}`, help, labelNames, read });

    addGauge("ready", "1 when the node accepts requests.", [], () =>
        createSingleReading(readiness.listening && readiness.recovered && !readiness.draining ? 1 : 0));
    addGauge("applied_sequence", "Version in force, by partner.", ["partner"], () =>
        store.heads().map(({ partner, sequence }) => ({ labels: { partner }, value: sequence })));
    addGauge("applied_at_ms", "When the version in force was applied, since the Unix epoch.", ["partner"], () =>
        spread.stats().applied.map(({ partner, appliedAt }) => ({ labels: { partner }, value: appliedAt })));
    addGauge("refused_versions", "Number of recently refused versions.", [], () =>
        createSingleReading(store.refusals().length));
    addGauge("members", "Members of the local availability zone, by state.", ["state"], () => countStates(sources));
    addGauge("membership", "Counts of the membership.", ["figure"], () => readNumbers("figure", membership.stats()));
    addGauge("control_bytes", "Bytes exchanged with other nodes for control.", ["channel", "direction"], () => [
        ...readDatagramBytes(membership.stats()),
        ...readDirections("peerCalls", peers.stats().bytesSent, peers.stats().bytesReceived),
        ...readDirections("spread", spreadTransport.stats().bytesSent, spreadTransport.stats().bytesReceived),
        ...readDirections("evidence", evidenceTransport.stats().bytesSent, evidenceTransport.stats().bytesReceived),
        ...readDirections("rollouts", rolloutTransport.stats().bytesSent, rolloutTransport.stats().bytesReceived),
        ...readDirections("quotas", quotaTransport.stats().bytesSent, quotaTransport.stats().bytesReceived),
        ...readDirections("seals", peerAccess.stats().sealBytesSent, peerAccess.stats().sealBytesReceived),
    ]);
    addGauge("strangers", "Datagrams and requests refused because they lack a valid fleet key.", ["figure"], () => [
        { labels: { figure: "datagrams" }, value: peerAccess.stats().rejectedDatagrams },
        { labels: { figure: "requests" }, value: peerAccess.stats().refusedRequests },
    ]);
    addGauge("distribution", "Counts of the distribution.", ["figure"], () => readNumbers("figure", spread.stats()));
    addGauge("spread_datagrams", "Counts of datagrams that carry versions.", ["figure"], () =>
        readNumbers("figure", spreadTransport.stats()));
    addGauge("peer_calls", "Counts of calls to peers.", ["figure"], () => readNumbers("figure", peers.stats()));
    addGauge(
        "containment",
        "Crashes of the local target, requests with crash evidence, requests refused because of crashes.",
        ["figure"],
        () => readNumbers("figure", containment.stats()),
    );
    addGauge("evidence_datagrams", "Counts of datagrams about crashes.", ["figure"], () =>
        readNumbers("figure", evidenceTransport.stats()));
    addGauge("quotas", "Requests of limited customers since the start, and messages about quotas.", ["figure"], () =>
        readNumbers("figure", quota.stats()));
    addGauge("quota_datagrams", "Counts of datagrams about quotas.", ["figure"], () =>
        readNumbers("figure", quotaTransport.stats()));
    addGauge(
        "customer_requests",
        "Requests of the limited customers with the most requests here recently; the others are one reading.",
        ["partner", "customer", "figure"],
        () => readCustomerUse(quota),
    );
    addGauge("rollouts", "Roll-outs that this node knows, by state.", ["state"], () => {
        const states = rollouts.list().map(({ rollout }) => rollout.state);
        return [...new Set(states)].map((state) =>
            ({ labels: { state }, value: states.filter((other) => other === state).length }));
    });
    addGauge("target_directory", "Counts of the target directory.", ["figure"], () =>
        readNumbers("figure", directory.stats()));
    addGauge("platform", "Calls to the platform.", ["service", "figure"], () => readPlatformCalls(sources));
    addGauge("gate", "Load of the gate.", ["figure"], () =>
        readNumbers("figure", requestPath.target.current()?.gate.load() ?? {}));
    addGauge(
        "gate_requests_by_priority",
        "Requests at the gate since the target was announced. A promoted one was offered with a more urgent priority.",
        ["priority", "figure"],
        () => (requestPath.target.current()?.gate.listPriorities() ?? []).flatMap(({ priority, ...counts }) =>
            readNumbers("figure", counts, { priority: String(priority) })),
    );
    addGauge(
        "target_estimate",
        "What this node believes of each target that reports its pace.",
        ["service", "node", "figure"],
        () => requestPath.describeTargets().flatMap((summary) =>
            readNumbers("figure", summary, { service: summary.service, node: summary.nodeId })),
    );
    addGauge("target_request_limit", "Requests per second that the local target accepts, if it names a limit.", [], () => {
        const limit = requestPath.target.current()?.feedback.current()?.requestLimit;
        return limit === undefined ? [] : createSingleReading(limit);
    });
    addGauge("target_requests_per_second", "Requests sent to the local target in the last second.", [], () =>
        createSingleReading(requestPath.target.current()?.gate.countRecentRequests(RATE_PERIOD_MS) ?? 0));
    addGauge("claims", "Counts of the claims.", ["figure"], () => readNumbers("figure", requestPath.claims.stats()));
    addGauge("owned_keys", "Counts of the key ownership.", ["figure"], () =>
        readNumbers("figure", requestPath.claims.ownership?.stats() ?? {}));
    addGauge("connection_pools", "Pools of connections to nodes and to the target.", [], () =>
        createSingleReading(requestPath.pools.size()));
};
