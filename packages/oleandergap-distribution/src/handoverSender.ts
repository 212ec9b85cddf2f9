/** Sends a version to one of several candidates, in the smallest message that suits the candidate. */
import type { Head } from "oleandergap-types";
import { compactDelta, measureCompactDelta, type CompactDelta } from "./compactDelta.js";
import type { Delegator } from "./delegation.js";
import type { SpreadOptions } from "./options.js";
import type { PeerHeads } from "./peerHeads.js";
import type { ConfigurationStorePort, FleetMember, FleetPort, PeerAddress, SpreadSender } from "./ports.js";
import type { ScoreRange } from "./scoreRange.js";
import type { SpreadMessage } from "./spreadMessage.js";

/** Sends a message without a delivery guarantee. */
export type SendSpreadMessage = SpreadSender["send"];

/** Dependencies of the handover sender. */
export interface HandoverSenderDependencies {
    readonly store: Pick<ConfigurationStorePort, "deltaTo">;
    readonly delegator: Pick<Delegator, "delegate">;
    readonly fleet: Pick<FleetPort, "self" | "members">;
    readonly peerHeads: Pick<PeerHeads, "holds">;
    readonly options: Pick<SpreadOptions, "inlineDeltaBytes" | "acknowledgeTimeoutMs">;
    readonly send: SendSpreadMessage;
}

/**
 * Hands over a version to the first of `candidates` that acknowledges it. That candidate forwards the version to
 * `range` or, without a range, to its own availability zone. If the next candidate is this node itself, `takeOver` is
 * called instead.
 */
export type SendHandover = (
    head: Head,
    candidates: readonly PeerAddress[],
    range: ScoreRange | undefined,
    takeOver: () => void,
) => void;

/** Factor on the acknowledgement timeout of an offer, because the receiver must pull the version first. */
const OFFER_TIMEOUT_FACTOR = 2;

const toPeerAddress = ({ id, zone, address, controlPort }: PeerAddress): PeerAddress =>
    ({ id, zone, address, controlPort });

/**
 * Returns the member with the widest link that holds the version, or undefined if no holder has a wider link than this
 * node. Without this rule, each member would pull a large delta from its parent in the forwarding tree, so that the
 * delta would pass narrow links at up to three levels of the tree. Sending 0.1 MB to four members takes one second on
 * such a link, and the zone would lag by as many seconds as the tree has levels. In a model of 28 members, the two
 * members with wide links serve such a delta; without the rule, twelve members do.
 */
const findHolder = (
    head: Head,
    { fleet, peerHeads }: Pick<HandoverSenderDependencies, "fleet" | "peerHeads">,
): PeerAddress | undefined => {
    const members = fleet.members();
    const ownLinkClass = members.find(({ id }) => id === fleet.self().id)?.linkClass ?? 0;
    const widerHolders = members.filter(({ id, linkClass = 0 }) =>
        linkClass > ownLinkClass && peerHeads.holds(id, head));
    const widestHolder = widerHolders.reduce<FleetMember | undefined>((best, member) =>
        best === undefined || (member.linkClass ?? 0) > (best.linkClass ?? 0) ? member : best, undefined);
    return widestHolder === undefined ? undefined : toPeerAddress(widestHolder);
};

/** Creates the function that hands over versions. */
export const createHandoverSender = (
    dependencies: HandoverSenderDependencies,
): SendHandover => {
    const { store, delegator, peerHeads, options, send } = dependencies;

    const createMessage = (
        head: Head,
        delta: CompactDelta | undefined,
        range: ScoreRange | undefined,
    ): SpreadMessage => {
        const rangeField = range === undefined ? {} : { range };
        if (delta !== undefined) {
            return { kind: "Step", delta, ...rangeField };
        }
        const holder = findHolder(head, dependencies);
        return { kind: "Offer", head, ...rangeField, ...holder === undefined ? {} : { holder } };
    };

    /** Returns the delta to `head` if it fits into a datagram, otherwise undefined. */
    const findInlineDelta = (head: Head): CompactDelta | undefined => {
        const delta = store.deltaTo(head.partner, head.sequence);
        if (delta === undefined || delta.digest !== head.digest) {
            return undefined;
        }
        const compact = compactDelta(delta);
        return measureCompactDelta(compact) <= options.inlineDeltaBytes ? compact : undefined;
    };

    return (head, candidates, range, takeOver) => {
        const delta = findInlineDelta(head);
        delegator.delegate({
            head,
            candidates,
            takeOver,
            timeoutMs: options.acknowledgeTimeoutMs * (delta === undefined ? OFFER_TIMEOUT_FACTOR : 1),
            send: (to) => {
                const isAlreadyHeld = peerHeads.holds(to.id, head);
                send(to, createMessage(head, isAlreadyHeld ? undefined : delta, range));
            },
        });
    };
};
