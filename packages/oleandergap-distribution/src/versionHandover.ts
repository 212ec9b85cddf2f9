/** Sends a version to one of several candidates, in the smallest message that can carry it. */
import type { Head } from "oleandergap-types";
import { compactDelta, measureCompactDelta, type CompactDelta } from "./compactDelta.js";
import type { Delegator } from "./delegation.js";
import type { SpreadOptions } from "./options.js";
import type { PeerHeads } from "./peerHeads.js";
import type { ConfigurationStorePort, FleetMember, FleetPort, PeerAddress, SpreadOutlet } from "./ports.js";
import type { ScoreRange } from "./scoreRange.js";
import type { SpreadMessage } from "./spreadMessage.js";

/** Sends a message without any promise that it arrives. */
export type SendSpreadMessage = SpreadOutlet["send"];

/** What handing over works with. */
export interface HandoverSenderDependencies {
    readonly store: Pick<ConfigurationStorePort, "deltaTo">;
    readonly delegator: Pick<Delegator, "delegate">;
    readonly fleet: Pick<FleetPort, "self" | "members">;
    readonly peerHeads: Pick<PeerHeads, "holds">;
    readonly options: Pick<SpreadOptions, "inlineDeltaBytes" | "acknowledgeTimeoutMs">;
    readonly send: SendSpreadMessage;
}

/**
 * Hands a version over to the first of `candidates` that acknowledges it, for it to pass on to `range`, or, without a
 * range, to its own availability zone. `takeOver` is called when the turn comes to this node itself.
 */
export type SendHandover = (
    head: Head,
    candidates: readonly PeerAddress[],
    range: ScoreRange | undefined,
    takeOver: () => void,
) => void;

/** A version that must be pulled first is acknowledged later. */
const OFFER_TIMEOUT_FACTOR = 2;

const toAddress = ({ id, zone, address, controlPort }: PeerAddress): PeerAddress =>
    ({ id, zone, address, controlPort });

/**
 * The member that is best asked for a version, if it is another one than this node. A large step that each member pulls
 * from the one before it in the tree travels through narrow links three times over; 0.1 MB to four members takes a
 * second of such a link, and one would see a zone behind for as many seconds as the tree is deep. In a model of 28
 * members the two with wide links carry such a step, and without this twelve members do.
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
    return widestHolder === undefined ? undefined : toAddress(widestHolder);
};

/** Creates the function that hands versions over. */
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

    /** The step to `head` if it fits into a datagram. */
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
