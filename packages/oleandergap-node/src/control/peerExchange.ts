/**
 * Wires the components that exchange messages by gossip besides membership and distribution: containment and roll-outs.
 */
import { createContainment, type Containment, type EvidenceMessage } from "oleandergap-containment";
import type { FleetPort } from "oleandergap-distribution";
import type { Contact, MessageTransport } from "oleandergap-membership";
import { createRollouts, type RolloutMessage, type Rollouts, type RolloutsDependencies } from "oleandergap-rollout";
import type { GossipPeers } from "oleandergap-utils";
import type { ControlPlaneDependencies } from "../createControlPlane.js";

/** The nodes that a node sends gossip to. */
export type PeerNetwork = GossipPeers<Contact>;

/** Creates the view of the fleet for gossip. */
export const createPeerNetwork = (fleet: FleetPort): PeerNetwork => ({
    members: () => fleet.members().filter(({ id }) => id !== fleet.self().id),
    contacts: fleet.contacts,
    isFirstInZone: () => fleet.members().every(({ id }) => id >= fleet.self().id),
});

/** Creates the containment of a node and connects it to its datagrams. */
export const createNodeContainment = (
    { options, bootId, backgroundClock, random, createPartLogger, tableService, signal }: ControlPlaneDependencies,
    network: PeerNetwork,
    transport: MessageTransport<EvidenceMessage>,
): Containment<Contact> => {
    const containment = createContainment<Contact>({
        nodeId: options.nodeId,
        bootId,
        clock: backgroundClock,
        random,
        logger: createPartLogger("containment"),
        options: options.containment,
        network: { ...network, isInSameZone: (contact) => contact.zone === options.zone, send: transport.send },
        tableService,
        signal,
    });
    transport.onMessage(containment.receive);
    return containment;
};

/** Dependencies of the roll-outs of a node. */
export interface NodeRolloutsDependencies extends ControlPlaneDependencies,
    Pick<RolloutsDependencies<Contact>, "listTargets"> {}

/** Creates the roll-outs of a node and connects them to their datagrams. */
export const createNodeRollouts = (
    { options, backgroundClock, random, createPartLogger, tableService, findLocalTarget, listTargets, signal }:
    NodeRolloutsDependencies,
    network: PeerNetwork,
    transport: MessageTransport<RolloutMessage>,
): Rollouts<Contact> => {
    const countEarlierZones = (): number =>
        new Set(network.contacts().map(({ zone }) => zone).filter((zone) => zone < options.zone)).size;
    const rollouts = createRollouts<Contact>({
        nodeId: options.nodeId,
        clock: backgroundClock,
        random,
        logger: createPartLogger("rollout"),
        options: options.rollouts,
        network: { ...network, send: transport.send },
        findZoneRank: () => network.isFirstInZone() ? countEarlierZones() : undefined,
        tableService,
        findLocalTarget,
        listTargets,
        signal,
    });
    transport.onMessage(rollouts.receive);
    return rollouts;
};
