/**
 * The rule by which two records of one member become one. It is commutative, associative and idempotent, so that nodes
 * agree whatever the order in which datagrams arrive, and however often.
 */
import type { Member, MemberState } from "oleandergap-types";
import { formatCanonicalJson } from "oleandergap-utils";

const statePrecedence: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, dead: 2, left: 3 };

/** The member receives no work and is not counted among the members. */
export const isDeadOrLeft = (member: Pick<Member, "state">): boolean => member.state === "left" || member.state === "dead";

/** Parts that only the member itself sets; its revision orders them within one incarnation. */
const formatDescription = ({ state: _state, ...description }: Member): string => formatCanonicalJson(description);

const isLaterDescription = (left: Member, right: Member): boolean => {
    if (left.revision !== right.revision) {
        return left.revision > right.revision;
    }
    if (left === right) {
        return false;
    }
    // Two processes under one id may send different records of the same revision. Without a fixed order, nodes would
    // keep whichever came last and never agree; one would see digests that differ for ever.
    return formatDescription(left) > formatDescription(right);
};

/**
 * The higher incarnation wins. Within an incarnation, the later description and the stronger state (alive, suspect,
 * dead, left) win independently: a suspicion and a change of the target may cross. Returns `held` itself when the
 * other record adds nothing.
 */
export const mergeRecords = (existing: Member, incoming: Member): Member => {
    if (existing.incarnation !== incoming.incarnation) {
        return existing.incarnation > incoming.incarnation ? existing : incoming;
    }
    const description = isLaterDescription(incoming, existing) ? incoming : existing;
    const state = statePrecedence[incoming.state] > statePrecedence[existing.state] ? incoming.state : existing.state;
    return description.state === state ? description : { ...description, state };
};
