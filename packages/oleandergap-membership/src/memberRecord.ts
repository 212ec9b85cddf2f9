/**
 * Merges two records of the same member. The merge is commutative, associative and idempotent, so that nodes converge
 * regardless of the order in which datagrams arrive and of duplicates.
 */
import type { Member, MemberState } from "oleandergap-types";
import { formatCanonicalJson } from "oleandergap-utils";

const statePrecedence: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, dead: 2, left: 3 };

/**
 * Returns whether a member is dead or has left. Such a member receives no work and is not counted as a member of the
 * zone.
 */
export const isDeadOrLeft = (member: Pick<Member, "state">): boolean =>
    member.state === "left" || member.state === "dead";

/** Formats the fields that only the member itself sets. The revision orders them within one incarnation. */
const formatDescription = ({ state: _state, ...description }: Member): string => formatCanonicalJson(description);

const isLaterDescription = (left: Member, right: Member): boolean => {
    if (left.revision !== right.revision) {
        return left.revision > right.revision;
    }
    if (left === right) {
        return false;
    }
    // Two processes with the same id may send different records with the same revision. Without a fixed order, each
    // node would keep the record that arrived last, and the digests of the nodes would never converge.
    return formatDescription(left) > formatDescription(right);
};

/**
 * Merges two records. The higher incarnation wins. Within an incarnation, the later description and the state with the
 * higher precedence (alive, suspect, dead, left) win independently, because a suspicion and a change of the target may
 * be sent concurrently. Returns `existing` itself if the incoming record changes nothing.
 */
export const mergeRecords = (existing: Member, incoming: Member): Member => {
    if (existing.incarnation !== incoming.incarnation) {
        return existing.incarnation > incoming.incarnation ? existing : incoming;
    }
    const description = isLaterDescription(incoming, existing) ? incoming : existing;
    const state = statePrecedence[incoming.state] > statePrecedence[existing.state] ? incoming.state : existing.state;
    return description.state === state ? description : { ...description, state };
};
