/**
 * Views of the fleet, limited to what an operator may see. Both partners share the nodes, so operators of both see
 * every node with its zone, its state and the versions that it has applied; without these they could not determine
 * whether a change is in force. The service and the size of a target are visible only to operators of the partner that
 * owns it.
 */
import type { Head, Member, PartnerName, Sequence } from "oleandergap-types";
import type { AppliedHeads, FleetNode, FleetReport } from "../ports.js";
import type { AppliedView, MemberView, MembersView, NodeVersion, TargetView, TargetsView, VersionsView } from "../schemas/views.js";

const compareText = (left: string, right: string): number => left < right ? -1 : Number(left > right);

const compareByZoneAndNode = (left: FleetNode, right: FleetNode): number =>
    compareText(left.member.zone, right.member.zone) || compareText(left.member.id, right.member.id);

/** Returns the highest sequence of each partner among `heads`. */
export const findNewestSequences = (heads: readonly Head[]): ReadonlyMap<PartnerName, Sequence> => {
    const newest = new Map<PartnerName, Sequence>();
    for (const head of heads) {
        newest.set(head.partner, Math.max(head.sequence, newest.get(head.partner) ?? 0));
    }
    return newest;
};

const toAppliedView = (applied: AppliedHeads, newestSequences: ReadonlyMap<PartnerName, Sequence>): AppliedView => {
    if (applied.kind === "Unknown") {
        return applied;
    }
    const appliedSequences = findNewestSequences(applied.heads);
    const versions = [...newestSequences].map(([partner, latest]) => {
        const sequence = appliedSequences.get(partner) ?? 0;
        return { partner, sequence, lag: latest - sequence };
    });
    return { kind: "Known", versions };
};

const getHeads = (node: FleetNode): readonly Head[] => node.applied.kind === "Known" ? node.applied.heads : [];

/** Creates the view of the versions. `acceptedHeads` come from the platform; undefined when it cannot be reached. */
export const toVersionsView = (
    partner: PartnerName,
    report: FleetReport,
    acceptedHeads: readonly Head[] | undefined,
): VersionsView => {
    const newestSequences = findNewestSequences([...acceptedHeads ?? [], ...report.nodes.flatMap(getHeads)]);
    const toNodeVersion = ({ member, applied }: FleetNode): NodeVersion => ({
        nodeId: member.id,
        zone: member.zone,
        state: member.state,
        applied: toAppliedView(applied, newestSequences),
    });
    return {
        partner,
        newest: [...newestSequences].map(([name, sequence]) => ({ partner: name, sequence })),
        confirmedByPlatform: acceptedHeads !== undefined,
        nodes: [...report.nodes].sort(compareByZoneAndNode).map(toNodeVersion),
        unknownZones: [...report.unknownZones],
    };
};

const toMemberView = (partner: PartnerName, member: Member): MemberView => {
    const view: MemberView = {
        nodeId: member.id,
        zone: member.zone,
        address: member.address,
        controlPort: member.controlPort,
        state: member.state,
    };
    if (member.target === undefined) {
        return view;
    }
    return member.target.partner === partner ?
        { ...view, targetPartner: partner, targetService: member.target.service } :
        { ...view, targetPartner: member.target.partner };
};

/** Creates the view of all nodes. The service of a target is included only when `partner` owns the target. */
export const toMembersView = (partner: PartnerName, report: FleetReport): MembersView => ({
    members: [...report.nodes].sort(compareByZoneAndNode).map((node) => toMemberView(partner, node.member)),
    unknownZones: [...report.unknownZones],
});

const toTargetViews = (partner: PartnerName, { member }: FleetNode): readonly TargetView[] => {
    if (member.target?.partner !== partner) {
        return [];
    }
    const { service, slots, leaving, since } = member.target;
    return [{ nodeId: member.id, zone: member.zone, state: member.state, service, slots, leaving, since }];
};

/** Creates the view of the targets that `partner` owns. */
export const toTargetsView = (partner: PartnerName, report: FleetReport): TargetsView => ({
    partner,
    targets: [...report.nodes].sort(compareByZoneAndNode).flatMap((node) => toTargetViews(partner, node)),
    unknownZones: [...report.unknownZones],
});
