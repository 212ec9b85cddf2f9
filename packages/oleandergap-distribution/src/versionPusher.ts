/**
 * Forwards the versions that have come into force at this node. Each version has its own order of the members of an
 * availability zone. The first member in this order divides the zone among a few members, each of them divides its part
 * among a few others, and so on. Every member thus receives a version about once. A member that obtains a version in
 * another way hands it over to that first member.
 */
import type { Clock, Head, NodeId, PartnerName, Sequence } from "oleandergap-types";
import { pickOne, pickSeveral, type Random } from "oleandergap-utils";
import { createDelegator, type HeldVersion } from "./delegation.js";
import type { SpreadOptions } from "./options.js";
import type { PeerHeads } from "./peerHeads.js";
import type { ConfigurationStorePort, FleetPort, PeerAddress, SpreadSender } from "./ports.js";
import { divideRange, orderMembers, WHOLE_RANGE, type ScoreRange } from "./scoreRange.js";
import type { SpreadCounters } from "./statistics.js";
import { createHandoverSender, type SendSpreadMessage } from "./handoverSender.js";
import { groupByZone } from "./zones.js";

/** Dependencies of a version pusher. */
export interface VersionPusherDependencies {
    readonly store: Pick<ConfigurationStorePort, "heads" | "document" | "deltaTo">;
    readonly fleet: FleetPort;
    readonly sender: SpreadSender;
    readonly peerHeads: PeerHeads;
    readonly clock: Clock;
    readonly random: Random;
    readonly options: SpreadOptions;
    readonly counters: SpreadCounters;
    readonly signal: AbortSignal;
}

/** A version that was handed over to this node, and the sender that expects an acknowledgement. */
export interface Handover {
    readonly from: PeerAddress;
    readonly head: Head;
    /** The members to which this node forwards the version; undefined if the sender is in another zone. */
    readonly range: ScoreRange | undefined;
}

/** Forwards versions to the local availability zone and to the other zones. */
export interface VersionPusher {
    /** Accepts a version that was handed over. Acknowledges and forwards it as soon as it is in force. */
    readonly accept: (handover: Handover) => void;
    /** Records a peer's acknowledgement. */
    readonly acknowledge: (from: PeerAddress, version: HeldVersion) => void;
    /** Forwards a version that has just come into force at this node within the local zone. */
    readonly pushToZone: (head: Head) => void;
    /** Hands over a version that was accepted at this node to all other zones. */
    readonly pushToOtherZones: (head: Head) => void;
    /** Sends this node's heads to one random contact of another zone. */
    readonly sendHeadsToRandomZone: () => void;
    /** Sends this node's heads to one random contact of each other zone. */
    readonly sendHeadsToOtherZones: () => void;
}

/**
 * Maximum number of handovers per partner that wait for a pull. If there are more, the oldest are dropped, and their
 * senders time out and try other members.
 */
const MAX_PENDING_HANDOVERS = 16;

const createCountingSend = (sender: SpreadSender, counters: SpreadCounters): SendSpreadMessage => (to, message) => {
    counters.messagesSent += 1;
    sender.send(to, message);
};

/** The requests to forward one version that this node has handled, by requester and range. */
interface ForwardedVersion {
    readonly sequence: Sequence;
    readonly requests: Set<string>;
}

/** Creates the pusher of one node. */
export const createVersionPusher = ({
    store,
    fleet,
    sender,
    peerHeads,
    clock,
    random,
    options,
    counters,
    signal,
}: VersionPusherDependencies): VersionPusher => {
    const pendingHandovers = new Map<PartnerName, readonly Handover[]>();
    const forwardedVersions = new Map<PartnerName, ForwardedVersion>();
    const getSelfId = (): NodeId => fleet.self().id;
    const getSequence = (partner: PartnerName): Sequence => store.document(partner).sequence;
    const delegator = createDelegator({ self: getSelfId, getSequence, clock, signal });

    const send = createCountingSend(sender, counters);
    const sendHandover = createHandoverSender({ store, delegator, fleet, peerHeads, options, send });

    /** Records a request. Returns false for a repeated request, such as one whose acknowledgement was lost. */
    const recordForwarding = (head: Head, requester: NodeId, range: ScoreRange): boolean => {
        const before = forwardedVersions.get(head.partner);
        const requests = before?.sequence === head.sequence ? before.requests : new Set<string>();
        const request = `${requester}/${range.from}-${range.to}`;
        if (requests.has(request)) {
            return false;
        }
        forwardedVersions.set(head.partner, { sequence: head.sequence, requests: requests.add(request) });
        return true;
    };

    /**
     * Forwards a version to the members of a range that do not hold it yet. The range may include the member that
     * handed it over. If that member were not excluded, the range could be handed back to it. It would then ignore the
     * range, because it has already forwarded the version to this range.
     */
    const forward = (head: Head, requester: NodeId, range: ScoreRange): void => {
        if (!recordForwarding(head, requester, range)) {
            return;
        }
        const membersWithoutVersion = fleet.members().filter((member) =>
            member.id !== getSelfId() && !peerHeads.holds(member.id, head));
        for (const part of divideRange(head, membersWithoutVersion, range, options.treeFanOut)) {
            sendHandover(head, part.members, part.range, () => undefined);
        }
    };

    /**
     * Starts the forwarding of a version in the local zone. The first member in the order of the version forwards it to
     * the whole zone. If that is another member, the version is handed over to it.
     */
    const startZoneSpread = (head: Head): void => {
        const ordered = orderMembers(head, fleet.members());
        const first = ordered[0];
        if (first === undefined || first.id === getSelfId()) {
            forward(head, getSelfId(), WHOLE_RANGE);
        }
        else if (!peerHeads.holds(first.id, head)) {
            sendHandover(head, ordered, WHOLE_RANGE, () => forward(head, getSelfId(), WHOLE_RANGE));
        }
    };

    const sendAcknowledgement = (to: PeerAddress, partner: PartnerName): void => {
        send(to, { kind: "Holding", partner, sequence: getSequence(partner) });
    };

    /** Acknowledges and forwards a version. Returns false if the sender is in another zone. */
    const completeHandover = ({ from, head, range }: Handover): boolean => {
        sendAcknowledgement(from, head.partner);
        if (range === undefined) {
            return false;
        }
        // A lower version is not forwarded, because the version in force is forwarded on its own.
        if (getSequence(head.partner) === head.sequence) {
            forward(head, from.id, range);
        }
        return true;
    };

    /** Sends this node's heads to one random node of `contacts`. */
    const sendHeadsToOneOf = (contacts: readonly PeerAddress[]): void => {
        const contact = pickOne(random, contacts);
        if (contact !== undefined) {
            counters.headsSent += 1;
            sender.sendHeads(contact, store.heads());
        }
    };

    /** Removes and returns the pending handovers up to the version `head`. */
    const takeHandovers = (head: Head): readonly Handover[] => {
        const handovers = pendingHandovers.get(head.partner) ?? [];
        pendingHandovers.set(head.partner, handovers.filter((handover) => handover.head.sequence > head.sequence));
        return handovers.filter((handover) => handover.head.sequence <= head.sequence);
    };

    return {
        accept: (handover) => {
            const { partner, sequence } = handover.head;
            if (sequence <= getSequence(partner)) {
                completeHandover(handover);
                return;
            }
            pendingHandovers.set(
                partner,
                [...pendingHandovers.get(partner) ?? [], handover].slice(-MAX_PENDING_HANDOVERS),
            );
        },
        acknowledge: (from, version) => {
            peerHeads.record(from.id, version);
            delegator.acknowledge(from.id, version);
        },
        pushToZone: (head) => {
            const isForwardedInZone = takeHandovers(head).map(completeHandover).some((isFromZone) => isFromZone);
            if (!isForwardedInZone) {
                startZoneSpread(head);
            }
        },
        pushToOtherZones: (head) => {
            for (const contacts of groupByZone(fleet.contacts()).values()) {
                sendHandover(head, pickSeveral(random, contacts, contacts.length), undefined, () => undefined);
            }
        },
        sendHeadsToRandomZone: () =>
            sendHeadsToOneOf(pickOne(random, [...groupByZone(fleet.contacts()).values()]) ?? []),
        sendHeadsToOtherZones: () => [...groupByZone(fleet.contacts()).values()].forEach(sendHeadsToOneOf),
    };
};
