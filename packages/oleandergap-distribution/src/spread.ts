/** Wires the components of the distribution that receive, pull, apply and forward versions. */
import { setMaxListeners } from "node:events";
import type { Logger } from "oleandergap-logger";
import type { Clock, Head, Milliseconds, PartnerName } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import { createArrivalLog, type ArrivalLog } from "./arrivalLog.js";
import type { Claim } from "./claimRegistry.js";
import { createHeadReceiver, type HeadReceiver } from "./headReceiver.js";
import type { DistributionOptions } from "./options.js";
import { createPeerComparison } from "./peerComparison.js";
import { createPeerHeads } from "./peerHeads.js";
import { drawJitter, runPeriodically } from "./periodic.js";
import { createPlatformReader, type PlatformReader } from "./platformReader.js";
import type {
    ConfigurationSourcePort,
    ConfigurationStorePort,
    FleetPort,
    PeerPort,
    SpreadSender,
} from "./ports.js";
import { createReadBudget, type ReadBudget } from "./readBudget.js";
import { recoverConfiguration, type RecoveryOutcome } from "./recovery.js";
import { createCounters, type AppliedVersion, type SpreadCounters, type SpreadStatistics } from "./statistics.js";
import { createVersionFetcher } from "./versionFetcher.js";
import { createVersionPuller, type VersionPuller } from "./versionPuller.js";
import { createVersionPusher, type VersionPusher } from "./versionPusher.js";

/** Dependencies of the distribution of one node. */
export interface SpreadDependencies {
    readonly partners: readonly PartnerName[];
    readonly store: ConfigurationStorePort;
    readonly fleet: FleetPort;
    readonly sender: SpreadSender;
    readonly peers: PeerPort;
    readonly source: ConfigurationSourcePort;
    readonly clock: Clock;
    /** Clock for periodic work. `clock` times the handling of versions as they arrive. */
    readonly backgroundClock?: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly options: DistributionOptions;
    /** Stops all work that `start` began. */
    readonly signal: AbortSignal;
}

/** The distribution of one node. */
export interface Spread extends HeadReceiver {
    /** Starts reading the platform, comparing with peers, and forwarding applied versions. */
    readonly start: () => void;
    /** Resolves when this node holds the versions known to the fleet and may serve; see `recoverConfiguration`. */
    readonly recover: () => Promise<RecoveryOutcome>;
    /** Called after a change was accepted at this node. Applies it at this node and spreads it to all zones. */
    readonly announce: (head: Head) => void;
    /** Returns whether this node has recovered. */
    readonly isReady: () => boolean;
    /** Returns the time since the last known response of the platform, or undefined if there was none. */
    readonly platformAge: () => Milliseconds | undefined;
    readonly stats: () => SpreadStatistics;
}

/** Maximum number of applied versions that `stats` returns, for measurements. */
const MAX_APPLIED_VERSIONS = 64;

/** The wired components of one node's distribution, before `start`. */
interface SpreadParts {
    readonly arrivalLog: ArrivalLog;
    readonly budget: ReadBudget;
    readonly counters: SpreadCounters;
    readonly createPuller: (partner: PartnerName) => VersionPuller;
    readonly pullers: ReadonlyMap<PartnerName, VersionPuller>;
    readonly pusher: VersionPusher;
    readonly reader: PlatformReader;
    readonly receiver: HeadReceiver;
    /** Passes a claim to the puller of the claimed partner. */
    readonly reportClaim: (claim: Claim) => void;
    readonly compareWithRandomPeer: () => Promise<void>;
}

const createSpreadParts = (dependencies: SpreadDependencies): SpreadParts => {
    const { partners, fleet, clock, backgroundClock = clock, logger, options } = dependencies;
    const arrivalLog = createArrivalLog({ clock, logger });
    const counters = createCounters();
    const peerHeads = createPeerHeads();

    const reportClaim = (claim: Claim): void => pullers.get(claim.head.partner)?.reportClaim(claim);
    const budget = createReadBudget({
        clock,
        options: options.budget,
        reader: options.reader,
        zoneSize: () => fleet.members().length,
        rank: () => reader.rank(),
    });
    const reader = createPlatformReader({
        ...dependencies,
        clock: backgroundClock,
        budget,
        reportClaim,
        options: options.reader,
        pull: options.pull,
        counters,
    });
    const fetchVersion = createVersionFetcher({ ...dependencies, budget, arrivalLog, peerHeads, counters });
    const createPuller = (partner: PartnerName): VersionPuller => createVersionPuller({
        ...dependencies,
        partner,
        fetchVersion,
        listFallbackPeers: () => fleet.members().filter((member) => member.id !== fleet.self().id),
        budget,
        arrivalLog,
        isFollowingPlatform: reader.isFollowingPlatform,
        options: options.pull,
        counters,
    });
    const pullers: ReadonlyMap<PartnerName, VersionPuller> =
        new Map(partners.map((partner) => [partner, createPuller(partner)]));
    const pusher = createVersionPusher({
        ...dependencies,
        peerHeads,
        options: options.spread,
        counters,
    });
    const receiver = createHeadReceiver({
        ...dependencies,
        peerHeads,
        pusher,
        reportClaim,
        arrivalLog,
        options: options.spread,
        counters,
    });

    const compareWithRandomPeer = createPeerComparison({
        ...dependencies,
        peerHeads,
        receiveHeads: receiver.receiveHeads,
        options: options.pull,
    });

    return {
        arrivalLog,
        budget,
        counters,
        createPuller,
        pullers,
        pusher,
        reader,
        receiver,
        reportClaim,
        compareWithRandomPeer,
    };
};

/** Creates the distribution of one node. */
export const createSpread = (dependencies: SpreadDependencies): Spread => {
    const { store, clock, backgroundClock = clock, random, logger, options, signal } = dependencies;
    // Each pending wait adds a listener to the signal, so more than the default limit of ten is not a leak.
    setMaxListeners(0, signal);
    const parts = createSpreadParts(dependencies);
    const { arrivalLog, budget, counters, pullers, pusher, reader, receiver, reportClaim } = parts;
    const applied: AppliedVersion[] = [];
    const pendingAnnouncements = new Map<PartnerName, Head>();
    let isReady = false;

    const pushAnnounced = (head: Head): void => {
        const announcedHead = pendingAnnouncements.get(head.partner);
        if (announcedHead !== undefined && head.sequence >= announcedHead.sequence) {
            pendingAnnouncements.delete(head.partner);
            pusher.pushToOtherZones(head);
        }
    };

    const recordApplied = (head: Head): void => {
        applied.push({ partner: head.partner, sequence: head.sequence, appliedAt: clock.now() });
        applied.splice(0, applied.length - MAX_APPLIED_VERSIONS);
        arrivalLog.recordApplied(head, store.deltaTo(head.partner, head.sequence)?.changes.length);
        sendHeadsAsReader();
        pusher.pushToZone(head);
        pushAnnounced(head);
    };

    /**
     * Sends this node's heads to the other zones if this node is a reader. A zone whose readers cannot reach the
     * platform receives new versions this way: within 0.4 s each time in a model of two zones. Without it, such a zone
     * would receive a version with the next periodic message, and these are sent every 2 s on average.
     */
    const sendHeadsAsReader = (): void => {
        if (reader.isReading()) {
            pusher.sendHeadsToOtherZones();
        }
    };

    const sendHeadsToRandomZone = (): void => {
        if (reader.isReading()) {
            pusher.sendHeadsToRandomZone();
        }
    };

    const startPeriodicTask = (interval: Milliseconds, run: () => void | Promise<void>): void => {
        const delay = (): Milliseconds => drawJitter(random, interval);
        void runPeriodically({ clock: backgroundClock, logger, signal, delay, run });
    };

    return {
        ...receiver,
        start: () => {
            const unsubscribe = store.subscribe(recordApplied);
            signal.addEventListener("abort", unsubscribe, { once: true });
            reader.start(signal);
            startPeriodicTask(options.spread.checkIntervalMs, parts.compareWithRandomPeer);
            startPeriodicTask(options.spread.zoneCheckIntervalMs, sendHeadsToRandomZone);
        },
        recover: async () => {
            const outcome = await recoverConfiguration({
                ...dependencies,
                readPlatformHeads: reader.readHeads,
                isReader: reader.isReader,
                budget,
                reportClaim,
                getPuller: (partner) => pullers.get(partner) ?? parts.createPuller(partner),
                getSequence: (partner) => store.document(partner).sequence,
                options: options.recovery,
                pull: options.pull,
            }, signal);
            isReady = outcome.kind === "Recovered";
            return outcome;
        },
        announce: (head) => {
            pendingAnnouncements.set(head.partner, head);
            reportClaim({ head, source: { kind: "Platform" } });
            const currentHead = store.heads().find((candidate) => candidate.partner === head.partner);
            if (currentHead !== undefined) {
                pushAnnounced(currentHead);
            }
        },
        isReady: () => isReady,
        platformAge: reader.platformAge,
        stats: () => ({
            ...counters,
            ready: isReady,
            rank: reader.rank(),
            reading: reader.isReading(),
            applied: [...applied],
        }),
    };
};
