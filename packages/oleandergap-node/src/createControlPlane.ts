/** Wires configuration, membership, distribution and containment. */
import {
    createConfigurationStore,
    type ConfigurationSource,
    type ConfigurationStore,
} from "oleandergap-configuration";
import type { FleetQuota, QuotaMessage } from "oleandergap-customers";
import type { Containment, EvidenceMessage } from "oleandergap-containment";
import {
    createPeerClient,
    createSpread,
    createSpreadTransport,
    type FleetPort,
    type PeerClient,
    type Spread,
    type SpreadTransport,
} from "oleandergap-distribution";
import * as either from "fp-ts/lib/Either.js";
import type { Logger } from "oleandergap-logger";
import type { LocalTargetState, RolloutMessage, Rollouts } from "oleandergap-rollout";
import {
    createMembership,
    createTargetDirectory,
    createUdpTransport,
    type Contact,
    type Membership,
    type MessageTransport,
    type TargetDirectory,
} from "oleandergap-membership";
import {
    classifyLink,
    type Clock,
    type ObjectStore,
    type ServiceReference,
    type TableService,
    type ZoneName,
} from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import type { PeerAccess } from "./control/peerAccess.js";
import { createNodeContainment, createNodeRollouts, createPeerNetwork } from "./control/peerExchange.js";
import { createMessageTransports } from "./control/messageTransports.js";
import { createNodeDepartures } from "./control/nodeDepartures.js";
import { createNodeQuota } from "./control/nodeQuota.js";
import { createZoneFetcher } from "./control/zoneFetcher.js";
import type { DepartureLog } from "./departures/departureLog.js";
import { listServingZones } from "./gateway/targetLookup.js";
import type { NodeOptions } from "./options.js";

export interface ControlPlaneDependencies {
    readonly options: NodeOptions;
    /** Unique for each start of the process. */
    readonly bootId: string;
    readonly clock: Clock;
    /** Clock for periodic work. */
    readonly backgroundClock: Clock;
    readonly random: Random;
    readonly createPartLogger: (part: string) => Logger;
    readonly tableService: TableService;
    readonly objectStore: ObjectStore;
    readonly source: ConfigurationSource;
    readonly peerAccess: PeerAccess;
    /** Returns the local target; undefined if there is none or if it announced no version. */
    readonly findLocalTarget: () => LocalTargetState | undefined;
    readonly signal: AbortSignal;
}

export interface ControlPlane {
    readonly store: ConfigurationStore;
    readonly source: ConfigurationSource;
    readonly membership: Membership;
    readonly fleet: FleetPort;
    readonly peers: PeerClient;
    readonly spread: Spread;
    readonly spreadTransport: SpreadTransport;
    readonly directory: TargetDirectory;
    readonly containment: Containment<Contact>;
    readonly evidenceTransport: MessageTransport<EvidenceMessage>;
    readonly rollouts: Rollouts<Contact>;
    readonly rolloutTransport: MessageTransport<RolloutMessage>;
    readonly quota: FleetQuota;
    readonly quotaTransport: MessageTransport<QuotaMessage>;
    /** The departures of the local target. */
    readonly departures: DepartureLog;
}

/** Number of deltas that are stored per partner, for peers that lack recent versions. */
const DELTA_HISTORY = 256;

export const createControlPlane = (dependencies: ControlPlaneDependencies): ControlPlane => {
    const {
        options, clock, backgroundClock, random, createPartLogger, objectStore, source, peerAccess, signal,
    } = dependencies;
    const { nodeId, zone, partners, listen, linkMegabitsPerSecond: linkBandwidth } = options;
    const self = {
        id: nodeId,
        zone,
        address: listen.address,
        controlPort: listen.controlPort,
        gatePort: listen.gatePort,
        ...linkBandwidth === undefined ? {} : { linkClass: classifyLink(linkBandwidth) },
    };

    const store = createConfigurationStore({
        partners,
        logger: createPartLogger("configuration"),
        deltaHistory: DELTA_HISTORY,
    });
    const transports = createMessageTransports(peerAccess.seal(createUdpTransport({
        address: listen.address,
        port: listen.controlPort,
        logger: createPartLogger("membership"),
    })), self);
    const { evidenceTransport, rolloutTransport, quotaTransport, departureTransport } = transports;
    const spreadTransport = createSpreadTransport({ transport: transports.remainingTransport, self });
    const membership = createMembership({
        self,
        clock: backgroundClock,
        random,
        transport: spreadTransport.remainingTransport,
        logger: createPartLogger("membership"),
        options: options.membership,
        piggyback: { heads: store.heads, receiveHeads: (from, heads) => spread.receiveHeads(from, heads) },
        objectStore,
        fetchContacts: async (member, timeLimitSignal) => {
            const response = await peers.contacts(member, timeLimitSignal)();
            // The client counts the failure. The contacts are requested again in the next round of the contact search.
            return either.isLeft(response) ? [] : response.right.contacts;
        },
        // A node that has just started has received only a few of its zone's targets; other zones must not use its
        // digest.
        targetsDigest: () => spread.isReady() ? directory.zoneDigest() : undefined,
    });
    const fleet: FleetPort = {
        self: () => self,
        members: membership.members,
        contacts: () => membership.zones().flatMap((other) => membership.contactsOf(other)),
    };
    const peers = createPeerClient({ clock, options: options.distribution.peer, authorize: peerAccess.authorize });
    const spread: Spread = createSpread({
        partners,
        store,
        fleet,
        sender: {
            sendHeads: (to, heads) => membership.sendTo(to, { kind: "Heads", heads }),
            send: spreadTransport.send,
        },
        peers,
        source,
        clock,
        backgroundClock,
        random,
        logger: createPartLogger("distribution"),
        options: options.distribution,
        signal,
    });
    spreadTransport.onMessage(spread.receive);
    const peerNetwork = createPeerNetwork(fleet);
    const containment = createNodeContainment(dependencies, peerNetwork, evidenceTransport);
    const rollouts = createNodeRollouts({
        ...dependencies,
        listTargets: (service) => directory.targetsOf(service, listServiceZones(service)),
    }, peerNetwork, rolloutTransport);
    const quota = createNodeQuota({ ...dependencies, self, membership, store, transport: quotaTransport });
    const departures = createNodeDepartures(dependencies, peerNetwork, departureTransport);
    // Contacts are searched for in all zones that the tables contain, whether or not a zone has a seed node.
    store.subscribe(() => {
        membership.addZones([...store.getTables().values()].flatMap((table) => [...table.zones]));
    });
    const listServiceZones = ({ partner, service }: ServiceReference): readonly ZoneName[] => {
        const table = store.getTables().get(partner);
        const row = table?.services.get(service);
        return table === undefined || row === undefined ? [] : listServingZones(table, row);
    };
    const directory: TargetDirectory = createTargetDirectory({
        membership,
        fetchZone: createZoneFetcher({ clock, contactsOf: membership.contactsOf, peers }),
        zones: listServiceZones,
        clock: backgroundClock,
        random,
        options: options.targetDirectory,
    });
    return {
        store,
        source,
        membership,
        fleet,
        peers,
        spread,
        spreadTransport,
        directory,
        containment,
        evidenceTransport,
        rollouts,
        rolloutTransport,
        quota,
        quotaTransport,
        departures,
    };
};
