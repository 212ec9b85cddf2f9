/**
 * Groups the targets of the local availability zone by service. The groups are derived from the members and cached
 * until a member changes.
 */
import { formatServiceReference, type Member, type ServiceReference } from "oleandergap-types";
import { formatCanonicalJson, hashText } from "oleandergap-utils";
import type { Membership } from "./membershipTypes.js";
import { digestZoneTargets } from "./targetsDigest.js";
import {
    MAX_TARGETS_PER_SERVICE,
    type TargetMember,
    type ZoneTargetsResponse,
    type ZoneTargetsRequest,
} from "./targetDirectoryTypes.js";

export interface LocalTargets {
    readonly targetsOf: (service: ServiceReference) => readonly TargetMember[];
    /** Returns the response to the request of a remote zone. */
    readonly answer: (request: ZoneTargetsRequest) => ZoneTargetsResponse;
    /** Returns the digest of all targets of the local zone. */
    readonly zoneDigest: () => number;
}

/** Targets of one service. The digest is computed when it is first requested by a remote zone. */
interface ServiceTargets {
    readonly targets: TargetMember[];
    digest: string | undefined;
}

type ServiceResponse = ZoneTargetsResponse["services"][number];

const toTargetMember = (member: Member, target: NonNullable<Member["target"]>): TargetMember => ({
    nodeId: member.id,
    zone: member.zone,
    address: member.address,
    gatePort: member.gatePort,
    slots: target.slots,
    leaving: target.leaving,
    since: target.since,
});

const compareNodeIds = (left: TargetMember, right: TargetMember): number => left.nodeId < right.nodeId ? -1 : 1;

const groupByService = (members: readonly Member[]): ReadonlyMap<string, ServiceTargets> => {
    const groups = new Map<string, ServiceTargets>();
    for (const member of members) {
        if (member.target === undefined) {
            continue;
        }
        const key = formatServiceReference(member.target);
        const group = groups.get(key) ?? { targets: [], digest: undefined };
        group.targets.push(toTargetMember(member, member.target));
        groups.set(key, group);
    }
    // All nodes of the zone sort the targets in the same way, so that each of them can confirm a digest that another
    // node has computed.
    groups.forEach((group) => group.targets.sort(compareNodeIds));
    return groups;
};

/**
 * Returns a digest of two 32-bit hashes of different texts. A collision would leave a remote zone with an outdated
 * list.
 */
const digestTargets = (targets: readonly TargetMember[]): string => {
    const text = formatCanonicalJson(targets);
    return `${hashText(text).toString(36)}-${hashText(`${text} `).toString(36)}`;
};

const isEqualTarget = (left: TargetMember, right: TargetMember | undefined): boolean =>
    left.nodeId === right?.nodeId
    && left.zone === right.zone
    && left.address === right.address
    && left.gatePort === right.gatePort
    && left.slots === right.slots
    && left.leaving === right.leaving
    && left.since === right.since;

const isEqualGroup = ({ targets }: ServiceTargets, previous: ServiceTargets): boolean =>
    targets.length === previous.targets.length
    && targets.every((target, index) => isEqualTarget(target, previous.targets[index]));

/**
 * Replaces groups that are equal to a previous one by the previous object, so that a change of one service does not
 * create new arrays for other services.
 */
const reuseEqualGroups = (
    groups: ReadonlyMap<string, ServiceTargets>,
    previous: ReadonlyMap<string, ServiceTargets>,
): ReadonlyMap<string, ServiceTargets> =>
    new Map([...groups].map(([key, group]) => {
        const previousGroup = previous.get(key);
        return [key, previousGroup !== undefined && isEqualGroup(group, previousGroup) ? previousGroup : group];
    }));

const NO_SERVICE_TARGETS: ServiceTargets = { targets: [], digest: "none" };

/** Values derived from one list of members. */
interface DerivedTargets {
    readonly members: readonly Member[];
    readonly groups: ReadonlyMap<string, ServiceTargets>;
    readonly zoneDigest: number;
}

const NO_DERIVED_TARGETS: DerivedTargets = { members: [], groups: new Map(), zoneDigest: 0 };

/** Creates the local targets. Requires that `members` returns the same array until a member changes. */
export const createLocalTargets = (membership: Pick<Membership, "members">): LocalTargets => {
    let derived = NO_DERIVED_TARGETS;

    const derive = (): DerivedTargets => {
        const members = membership.members();
        if (derived.members !== members) {
            const groups = reuseEqualGroups(groupByService(members), derived.groups);
            derived = { members, groups, zoneDigest: digestZoneTargets(members) };
        }
        return derived;
    };

    const findGroup = (service: ServiceReference): ServiceTargets =>
        derive().groups.get(formatServiceReference(service)) ?? NO_SERVICE_TARGETS;

    const toServiceResponse = (requested: ZoneTargetsRequest["services"][number]): ServiceResponse => {
        const group = findGroup(requested);
        group.digest ??= digestTargets(group.targets);
        return group.digest === requested.knownDigest ?
            { kind: "Unchanged" } :
            { kind: "Changed", digest: group.digest, targets: group.targets.slice(0, MAX_TARGETS_PER_SERVICE) };
    };

    return {
        targetsOf: (service) => findGroup(service).targets,
        answer: (request) => ({ services: request.services.map(toServiceResponse), zoneDigest: derive().zoneDigest }),
        zoneDigest: () => derive().zoneDigest,
    };
};
