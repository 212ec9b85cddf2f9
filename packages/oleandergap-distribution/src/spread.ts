/** Puts the parts of the distribution together: what is heard, pulled, put in force and passed on. */
import { setMaxListeners } from "node:events";
import type { Logger } from "oleandergap-logger";
import type { Clock, Head, Milliseconds, PartnerName } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import { createArrivalLog, type ArrivalLog } from "./arrivals.js";
import type { Claim } from "./claimBook.js";
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
    SpreadOutlet,
} from "./ports.js";
import { createReadBudget, type ReadBudget } from "./readBudget.js";
import { recoverConfiguration, type RecoveryOutcome } from "./recovery.js";
import { createCounters, type AppliedVersion, type SpreadCounters, type SpreadStatistics } from "./statistics.js";
import { createVersionFetcher } from "./versionFetcher.js";
import { createVersionPuller, type VersionPuller } from "./versionPuller.js";
import { createVersionPusher, type VersionPusher } from "./versionPusher.js";

/** What the distribution of one node works with. */
export interface SpreadDependencies {
    readonly partners: readonly PartnerName[];
    readonly store: ConfigurationStorePort;
    readonly fleet: FleetPort;
    readonly outlet: SpreadOutlet;
    readonly peers: PeerPort;
    readonly source: ConfigurationSourcePort;
    readonly clock: Clock;
    /** For periodic work; what follows a version as it comes is timed by `clock`. */
    readonly backgroundClock?: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly options: DistributionOptions;
    /** Ends all that `start` began. */
    readonly signal: AbortSignal;
}

/** The distribution of one node. */
export interface Spread extends HeadReceiver {
    /** Starts reading, checking and passing on. */
    readonly start: () => void;
    /** Resolves when this node holds what the fleet knows and may serve; see `recoverConfiguration`. */
    readonly recover: () => Promise<RecoveryOutcome>;
    /** Called after a change was accepted at this node: brings it in force here and tells all zones. */
    readonly announce: (head: Head) => void;
    readonly isReady: () => boolean;
    /** Time since the platform was last heard from; undefined when never. */
    readonly platformAge: () => Milliseconds | undefined;
    readonly stats: () => SpreadStatistics;
}

/** Applied versions that are remembered for measurements. */
const MAX_APPLIED_VERSIONS = 64;

/** The parts of one node's distribution, wired to each other; nothing runs yet. */
interface SpreadParts {
    readonly arrivalLog: ArrivalLog;
    readonly budget: ReadBudget;
    readonly counters: SpreadCounters;
    readonly createPuller: (partner: PartnerName) => VersionPuller;
    readonly pullers: ReadonlyMap<PartnerName, VersionPuller>;
    readonly pusher: VersionPusher;
    readonly reader: PlatformReader;
    readonly receiver: HeadReceiver;
    /** Hands a claim to the puller of its partner. */
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
    // Each wait listens to the signal for as long as it lasts, so more than the default of ten listeners is no leak.
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
        arrivalLog.noteApplied(head, store.deltaTo(head.partner, head.sequence)?.changes.length);
        sendHeadsAsReader();
        pusher.pushToZone(head);
        pushAnnounced(head);
    };

    /**
     * A zone whose readers are cut off from the platform hears of a version from the readers of the others: in a model
     * of two zones within 0.4 s each time, and without this at their next check, 2 s apart in the mean.
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
