/**
 * Passes on what this node has put in force. Inside an availability zone one member, the first in the version's order,
 * divides the zone among a few members, each of them its part among a few others, and so on, so that every member
 * receives a version about once. Whoever learns of a version in another way brings it to that first member.
 */
import type { Clock, Head, NodeId, PartnerName, Sequence } from "oleandergap-types";
import { pickOne, pickSeveral, type Random } from "oleandergap-utils";
import { createDelegator, type HeldVersion } from "./delegation.js";
import type { SpreadOptions } from "./options.js";
import type { PeerHeads } from "./peerHeads.js";
import type { ConfigurationStorePort, FleetPort, PeerAddress, SpreadOutlet } from "./ports.js";
import { divideRange, orderMembers, WHOLE_RANGE, type ScoreRange } from "./scoreRange.js";
import type { SpreadCounters } from "./statistics.js";
import { createHandoverSender, type SendSpreadMessage } from "./versionHandover.js";
import { groupByZone } from "./zones.js";

/** What a version pusher works with. */
export interface VersionPusherDependencies {
    readonly store: Pick<ConfigurationStorePort, "heads" | "document" | "deltaTo">;
    readonly fleet: FleetPort;
    readonly outlet: SpreadOutlet;
    readonly peerHeads: PeerHeads;
    readonly clock: Clock;
    readonly random: Random;
    readonly options: SpreadOptions;
    readonly counters: SpreadCounters;
    readonly signal: AbortSignal;
}

/** A version that was handed to this node, and whom to tell when it is in force here. */
export interface Handover {
    readonly from: PeerAddress;
    readonly head: Head;
    /** The members to pass it on to; undefined when it came from another zone. */
    readonly range: ScoreRange | undefined;
}

/** Passes versions on to the own availability zone and to the others. */
export interface VersionPusher {
    /** Notes a version that was handed over. It is acknowledged and passed on as soon as it is in force. */
    readonly accept: (handover: Handover) => void;
    /** Notes a peer's acknowledgement. */
    readonly acknowledge: (from: PeerAddress, version: HeldVersion) => void;
    /** Passes on a version that has just come into force here. */
    readonly pushToZone: (head: Head) => void;
    /** Spreads a version that was accepted here to all other zones. */
    readonly pushToOtherZones: (head: Head) => void;
    /** Shows this node's heads to one random contact of another zone. */
    readonly sendHeadsToRandomZone: () => void;
    /** Shows this node's heads to one contact of each other zone. */
    readonly sendHeadsToOtherZones: () => void;
}

/** Handovers that wait for a pull; beyond it the oldest are dropped, and their senders turn to other members. */
const MAX_PENDING_HANDOVERS = 16;

const createCountingSend = (outlet: SpreadOutlet, counters: SpreadCounters): SendSpreadMessage => (to, message) => {
    counters.messagesSent += 1;
    outlet.send(to, message);
};

/** The requests to pass on one version that this node has met, by requester and range. */
interface ForwardedVersion {
    readonly sequence: Sequence;
    readonly requests: Set<string>;
}

/** Creates the pusher of one node. */
export const createVersionPusher = ({
    store,
    fleet,
    outlet,
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

    const send = createCountingSend(outlet, counters);
    const sendHandover = createHandoverSender({ store, delegator, fleet, peerHeads, options, send });

    /** False when the same request has come before, as when its acknowledgement was lost. */
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
     * Members that hold the version already are left out. They need no copy; and as a member that handed over a range
     * may stand in it, the range would otherwise come back to that member, which has passed it on and would do
     * nothing.
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

    /** Acknowledges and passes on; false when the version came from another zone. */
    const completeHandover = ({ from, head, range }: Handover): boolean => {
        sendAcknowledgement(from, head.partner);
        if (range === undefined) {
            return false;
        }
        // A lower version needs no passing on: the one in force here has its own spread.
        if (getSequence(head.partner) === head.sequence) {
            forward(head, from.id, range);
        }
        return true;
    };

    /** Shows this node's heads to one of `contacts`. */
    const sendHeadsToOneOf = (contacts: readonly PeerAddress[]): void => {
        const contact = pickOne(random, contacts);
        if (contact !== undefined) {
            counters.headsSent += 1;
            outlet.sendHeads(contact, store.heads());
        }
    };

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
            peerHeads.note(from.id, version);
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
