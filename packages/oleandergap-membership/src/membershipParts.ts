/** Creates and connects the components of the membership. */
import type { Member, Milliseconds } from "oleandergap-types";
import { createByteBudget, type ByteBudget } from "./byteBudget.js";
import { createContactBook, type ContactBook } from "./contactBook.js";
import { createContactSources } from "./contactSources.js";
import { createDatagramCodec, MAX_DATAGRAM_BYTES, type DatagramCodec } from "./datagramCodec.js";
import { createDatagramHandler, type HandleDatagram } from "./datagramHandler.js";
import { createGossiper, type Gossiper } from "./gossiper.js";
import { createHeadExchange, type HeadExchange } from "./headExchange.js";
import { createLocalHealth, type LocalHealth } from "./localHealth.js";
import type { MembershipDependencies } from "./membershipTypes.js";
import { createMemberTable, type MemberTable } from "./memberTable.js";
import { createMemberUpdates, type MemberUpdates } from "./memberUpdates.js";
import { createMessenger, type Messenger } from "./messenger.js";
import { createProber, type Prober } from "./prober.js";
import { createRejoiner, type Rejoiner } from "./rejoiner.js";
import { createRosterManager, type RosterManager } from "./roster.js";
import { createStatistics, type Statistics } from "./statistics.js";
import { SUSPECT_CHECKS, createSuspicions, type Suspicions } from "./suspicions.js";
import { createSynchronizer, type Synchronizer } from "./synchronizer.js";
import { createUpdateQueue, type UpdateQueue } from "./updateQueue.js";
import { createZoneDigests, type ZoneDigests } from "./zoneDigests.js";

/** Number of datagrams that the gossiper may send in one burst. */
const GOSSIP_BURST_DATAGRAMS = 8;
/**
 * Number of datagrams that anti-entropy exchanges may send in one burst. It covers the complete state of a large zone.
 */
const SYNC_BURST_DATAGRAMS = 64;
/** Zones smaller than this use the same suspicion timeout as a zone of this size. */
const MIN_ZONE_SIZE = 10;

/** State shared by the components. */
interface SharedState {
    readonly self: () => Member;
    readonly table: MemberTable;
    readonly queue: UpdateQueue;
    readonly health: LocalHealth;
    readonly statistics: Statistics;
    readonly suspicions: Suspicions;
    readonly heads: HeadExchange;
    readonly zoneDigests: ZoneDigests;
    readonly codec: DatagramCodec;
    readonly messenger: Messenger;
    readonly updates: MemberUpdates;
    readonly gossipBudget: ByteBudget;
}

export interface MembershipParts extends SharedState {
    readonly prober: Prober;
    readonly synchronizer: Synchronizer;
    readonly gossiper: Gossiper;
    readonly contacts: ContactBook;
    readonly roster: RosterManager | undefined;
    readonly rejoiner: Rejoiner;
    readonly handleDatagram: HandleDatagram;
}

/**
 * Returns the time from the start of a suspicion until the suspect is declared dead. It grows with the logarithm of the
 * zone size, like the time in which a suspicion and its refutation spread to all members.
 */
export const computeSuspicionTimeout = (
    options: MembershipDependencies["options"],
    zoneSize: number,
    healthMultiplier: number,
): Milliseconds => {
    const timeoutByZoneSize =
        options.suspicionMultiplier * Math.log10(Math.max(MIN_ZONE_SIZE, zoneSize)) * options.probePeriodMs;
    const timeNeededForChecks = (SUSPECT_CHECKS + 1) * options.ackTimeoutMs;
    return Math.max(timeoutByZoneSize, timeNeededForChecks) * healthMultiplier;
};

const createSharedState = (dependencies: MembershipDependencies): SharedState => {
    const { self: description, clock, random, transport, logger, options, piggyback } = dependencies;
    const initialSelf: Member = {
        ...description,
        // The wall clock gives a restarted process a higher incarnation than the previous process without any stored
        // state.
        incarnation: Math.floor(clock.now()),
        state: "alive",
        revision: 0,
    };
    const table = createMemberTable({ self: initialSelf, clock, tombstoneMs: options.tombstoneMs });
    const self = (): Member => table.get(description.id) ?? initialSelf;
    const zoneSize = (): number => table.listActive().length;
    const queue = createUpdateQueue(zoneSize);
    const health = createLocalHealth(options.maxHealthScore);
    const statistics = createStatistics();
    const suspicions = createSuspicions({
        clock,
        random,
        suspicionTimeout: () => computeSuspicionTimeout(options, zoneSize(), health.multiplier()),
        checkInterval: () => options.ackTimeoutMs,
    });
    const heads = createHeadExchange(piggyback);
    const zoneDigests = createZoneDigests(dependencies.targetsDigest ?? (() => undefined));
    const codec = createDatagramCodec(options.clusterName);
    const messenger = createMessenger({ transport, codec, self, queue, heads, statistics });
    const updates = createMemberUpdates({ selfId: description.id, table, queue, suspicions, statistics, logger });
    const gossipBudget = createByteBudget({
        clock,
        bytesPerSecond: options.gossipBytesPerSecond,
        burstBytes: GOSSIP_BURST_DATAGRAMS * MAX_DATAGRAM_BYTES,
    });
    queue.add(initialSelf);
    return {
        self,
        table,
        queue,
        health,
        statistics,
        suspicions,
        heads,
        zoneDigests,
        codec,
        messenger,
        updates,
        gossipBudget,
    };
};

const createRoster = (dependencies: MembershipDependencies, shared: SharedState): RosterManager | undefined => {
    const { self, clock, random, options, objectStore } = dependencies;
    const { table, statistics } = shared;
    return objectStore === undefined ?
        undefined :
        createRosterManager({
            selfId: self.id,
            zone: self.zone,
            clock,
            random,
            objectStore,
            table,
            periodMs: options.rosterPeriodMs,
            statistics,
        });
};

/** Creates the components without sending anything or starting timers. */
export const createMembershipParts = (dependencies: MembershipDependencies): MembershipParts => {
    const { self: { id: selfId, zone }, clock, random, options } = dependencies;
    const shared = createSharedState(dependencies);
    const common = { ...shared, selfId, clock, random, options };
    const prober = createProber(common);
    const syncBudget = createByteBudget({
        clock,
        bytesPerSecond: options.syncBytesPerSecond,
        burstBytes: SYNC_BURST_DATAGRAMS * MAX_DATAGRAM_BYTES,
    });
    const synchronizer = createSynchronizer({ ...common, budget: syncBudget });
    const gossiper = createGossiper({ ...common, budget: shared.gossipBudget });
    const roster = createRoster(dependencies, shared);
    const sources = createContactSources({ ...common, roster, fetchContacts: dependencies.fetchContacts });
    const contacts = createContactBook({ ...common, localZone: zone, sources });
    const rejoiner = createRejoiner({ ...common, self: dependencies.self, zone, prober, synchronizer, roster });
    const handleDatagram = createDatagramHandler({
        ...shared,
        random,
        prober,
        synchronizer,
        contacts,
        budget: shared.gossipBudget,
    });
    return { ...shared, prober, synchronizer, gossiper, contacts, roster, rejoiner, handleDatagram };
};
