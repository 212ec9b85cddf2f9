/**
 * Reports on the whole fleet for operators. Each zone is queried through one of its nodes, which in turn queries the
 * members of its zone. Therefore, no node has to store or poll the whole fleet continuously.
 */
import * as either from "fp-ts/lib/Either.js";
import type { PeerAddress, PeerPort } from "oleandergap-distribution";
import type { Membership } from "oleandergap-membership";
import type { FleetNode, FleetPort, FleetReport } from "oleandergap-operator";
import type { Head, Member, NodeId, ZoneName } from "oleandergap-types";
import type { FleetClient } from "./fleetClient.js";
import type { ReportedNode, ReportQuery, ZoneReport } from "./fleetRouter.js";

/** Maximum number of members that are queried in parallel. */
const MAX_PARALLEL_QUERIES = 32;
/** Maximum number of nodes of another zone that are queried before the zone is reported as unknown. */
const MAX_CONTACTS_QUERIED = 3;

export interface FleetReportDependencies {
    readonly membership: Pick<Membership, "members" | "self" | "zones" | "contactsOf">;
    readonly localHeads: () => readonly Head[];
    readonly peers: Pick<PeerPort, "heads">;
    readonly client: FleetClient;
    /** Starts to drain the local target. Resolves with false if it is not a target of the service. */
    readonly drainLocalTarget: (query: Parameters<FleetPort["drain"]>[0]["service"]) => Promise<boolean>;
}

const mapInParallel = async <Item, Result>(
    items: readonly Item[],
    map: (item: Item) => Promise<Result>,
): Promise<readonly Result[]> => {
    const results: Result[] = [];
    for (let start = 0; start < items.length; start += MAX_PARALLEL_QUERIES) {
        const batch = items.slice(start, start + MAX_PARALLEL_QUERIES);
        results.push(...await Promise.all(batch.map(map)));
    }
    return results;
};

/** Creates the function that reports on the nodes of the local zone. */
export const createZoneReporter = ({ membership, localHeads, peers }: FleetReportDependencies) => {
    const reportNode = async (member: Member, query: ReportQuery, signal: AbortSignal): Promise<ReportedNode> => {
        if (!query.withHeads) {
            return { member };
        }
        if (member.id === membership.self().id) {
            return { member, heads: [...localHeads()] };
        }
        const response = await peers.heads(member, signal)();
        return either.isRight(response) ? { member, heads: response.right.heads } : { member };
    };

    return async (query: ReportQuery, signal: AbortSignal): Promise<ZoneReport> => ({
        nodes: [...await mapInParallel(membership.members(), (member) => reportNode(member, query, signal))],
    });
};

type ZoneOutcome =
    | { readonly kind: "Known"; readonly report: ZoneReport }
    | { readonly kind: "Unknown"; readonly zone: ZoneName; readonly detail: string };

const toFleetNode = ({ withHeads }: ReportQuery) => ({ member, heads }: ReportedNode): FleetNode => ({
    member,
    applied: heads === undefined ?
        { kind: "Unknown", detail: withHeads ? "the node gave no answer" : "not asked" } :
        { kind: "Known", heads },
});

/** Creates the port through which operators query the fleet and drain targets. */
export const createOperatorFleet = (dependencies: FleetReportDependencies): FleetPort => {
    const { membership, client } = dependencies;
    const reportLocalZone = createZoneReporter(dependencies);

    const reportOtherZone = async (zone: ZoneName, query: ReportQuery, signal: AbortSignal): Promise<ZoneOutcome> => {
        let detail = "no node of the zone is known";
        for (const contact of membership.contactsOf(zone).slice(0, MAX_CONTACTS_QUERIED)) {
            const report = await client.report(contact, query, signal)();
            if (either.isRight(report)) {
                return { kind: "Known", report: report.right };
            }
            detail = report.left.detail;
        }
        return { kind: "Unknown", zone, detail };
    };

    const report: FleetPort["report"] = async (query, signal): Promise<FleetReport> => {
        const [localReport, ...otherOutcomes] = await Promise.all([
            reportLocalZone(query, signal),
            ...membership.zones().map((zone) => reportOtherZone(zone, query, signal)),
        ]);
        const reports = [localReport, ...otherOutcomes.flatMap((other) => other.kind === "Known" ? [other.report] : [])];
        return {
            nodes: reports.flatMap(({ nodes }) => nodes.map(toFleetNode(query))),
            unknownZones: otherOutcomes.flatMap((other) =>
                other.kind === "Unknown" ? [{ zone: other.zone, detail: other.detail }] : []),
        };
    };

    const findNode = async (nodeId: NodeId, signal: AbortSignal): Promise<PeerAddress | undefined> => {
        const { nodes } = await report({ withHeads: false }, signal);
        return nodes.find(({ member }) => member.id === nodeId)?.member;
    };

    const drain: FleetPort["drain"] = ({ nodeId, service }, signal) => async () => {
        if (nodeId === membership.self().id) {
            return await dependencies.drainLocalTarget(service) ?
                either.right(undefined) :
                either.left({ kind: "NoSuchTarget" });
        }
        const node = await findNode(nodeId, signal);
        if (node === undefined) {
            return either.left({ kind: "NoSuchTarget" });
        }
        const response = await client.drain(node, { service }, signal)();
        if (either.isLeft(response)) {
            return response;
        }
        return response.right.drained && response.right.nodeId === nodeId ?
            either.right(undefined) :
            either.left({ kind: "NoSuchTarget" });
    };

    return { report, drain };
};
