/**
 * Gossip of evidence to all nodes. A node sends a crash immediately to some members of its zone and to its contacts in
 * other zones, and each receiver forwards it. Comparing digests finds evidence that was lost in transit, and a node
 * that has just started queries its peers. After the start, nothing is sent while there is no evidence against any
 * request.
 */
import type { Logger } from "oleandergap-logger";
import type { Clock, Milliseconds } from "oleandergap-types";
import {
    createPeerBootstrap,
    createTokenBucket,
    pickSeveral,
    type GossipNetwork,
    type Random,
} from "oleandergap-utils";
import type { CrashReport, Evidence, GoodRun } from "./evidence.js";
import type { EvidenceStore } from "./evidenceStore.js";
import { decodeEvidence, encodeEvidence, type EvidenceMessage } from "./evidenceMessage.js";
import type { Fingerprint } from "./fingerprint.js";

/**
 * Number of zone members to which a node sends evidence of its target or evidence from another zone. In a zone of ten
 * nodes, these are all other members.
 */
const FANOUT = 9;
/**
 * Number of zone members to which a node forwards evidence from the local zone, if the original sender could not reach
 * the whole zone.
 */
const FORWARD_FANOUT = 4;
/**
 * Number of times that a node sends a crash of the local target. Comparing digests finds crashes that were lost in both
 * rounds.
 */
const CRASH_ROUNDS = 2;
const ROUND_INTERVAL_MS: Milliseconds = 200;
/** Time for which good runs are collected into one batch, because a crash is followed by dozens of them. */
const BATCH_WINDOW_MS: Milliseconds = 200;
const COMPARISON_INTERVAL_MS: Milliseconds = 1000;
const PEERS_PER_QUERY = 2;
/** Maximum number of replies with all evidence that a node sends per second; each may take several datagrams. */
const REPLIES_PER_SECOND = 10;

/** The nodes that can be reached, and how to send to them. */
export interface EvidenceNetwork<Peer> extends GossipNetwork<Peer, EvidenceMessage> {
    readonly isInSameZone: (peer: Peer) => boolean;
}

/** Dependencies of the gossip. */
export interface GossipDependencies<Peer> {
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly evidenceStore: EvidenceStore;
    readonly network: EvidenceNetwork<Peer>;
    /**
     * Reads the requests that were contained before a restart of all nodes; resolves to undefined when they are no
     * longer needed.
     */
    readonly loadContained: (isNeeded: () => boolean) => Promise<Evidence | undefined>;
    /** Runs with the fingerprints of the requests on which new evidence was received or read. */
    readonly onChange: (changedFingerprints: readonly Fingerprint[]) => void;
    readonly signal: AbortSignal;
}

/** Sends and receives evidence. */
export interface EvidenceGossip<Peer> {
    /** Starts to query other nodes and to compare digests. */
    readonly start: () => void;
    /** Sends a crash of the local target. The crash is already in the evidence store. */
    readonly broadcastCrash: (report: CrashReport) => void;
    /** Sends a good run. `isUrgent` states that the request is contained or on probation. */
    readonly broadcastGoodRun: (run: GoodRun, isUrgent: boolean) => void;
    readonly receive: (from: Peer, message: EvidenceMessage) => void;
}

const listFingerprints = ({ crashes, goodRuns }: Evidence): readonly Fingerprint[] =>
    [...crashes.flatMap(({ fingerprints }) => fingerprints), ...goodRuns.map(({ fingerprint }) => fingerprint)];

/** Creates the gossip; it ends when the signal aborts. */
export const createEvidenceGossip = <Peer>(
    { clock, random, logger, evidenceStore, network, loadContained, onChange, signal }: GossipDependencies<Peer>,
): EvidenceGossip<Peer> => {
    const replyLimit = createTokenBucket({ clock, ratePerSecond: () => REPLIES_PER_SECOND, burst: REPLIES_PER_SECOND });
    const goodRunBatch: GoodRun[] = [];

    const sendEvidence = (to: Peer, evidence: Evidence): void => {
        for (const message of encodeEvidence(evidence, clock.monotonic())) {
            network.send(to, message);
        }
    };

    const sendToMembers = (evidence: Evidence, count: number): void =>
        pickSeveral(random, network.members(), count).forEach((peer) => sendEvidence(peer, evidence));

    const sendToMembersAndContacts = (evidence: Evidence): void => {
        sendToMembers(evidence, FANOUT);
        network.contacts().forEach((peer) => sendEvidence(peer, evidence));
    };

    const broadcastCrash = (report: CrashReport, rounds: number): void => {
        if (rounds > 0 && !signal.aborted) {
            sendToMembersAndContacts({ crashes: [report], goodRuns: [] });
            clock.after(ROUND_INTERVAL_MS, () => broadcastCrash(report, rounds - 1));
        }
    };

    const broadcastGoodRun = (run: GoodRun, isUrgent: boolean): void => {
        if (isUrgent) {
            sendToMembersAndContacts({ crashes: [], goodRuns: [run] });
            return;
        }
        goodRunBatch.push(run);
        if (goodRunBatch.length === 1) {
            clock.after(BATCH_WINDOW_MS, () =>
                sendToMembersAndContacts({ crashes: [], goodRuns: goodRunBatch.splice(0) }));
        }
    };

    /**
     * Forwards new evidence. If the original sender reached the whole zone, forwarding within the zone would only
     * double the datagrams.
     */
    const forwardEvidence = (from: Peer, evidence: Evidence): void => {
        if (!network.isInSameZone(from)) {
            sendToMembers(evidence, FANOUT);
        }
        else if (network.members().length > FANOUT) {
            sendToMembers(evidence, FORWARD_FANOUT);
        }
    };

    const handleEvidence = (from: Peer, evidence: Evidence): void => {
        const crashes = evidence.crashes.flatMap((report) => evidenceStore.recordCrash(report) ?? []);
        const goodRuns = evidence.goodRuns.filter(evidenceStore.recordGoodRun);
        if (crashes.length > 0 || goodRuns.length > 0) {
            forwardEvidence(from, { crashes, goodRuns });
            onChange(listFingerprints({ crashes, goodRuns }));
        }
    };

    const sendComparison = (to: Peer, isAnswer: boolean): void =>
        network.send(to, { kind: "Comparison", digest: evidenceStore.digest(), isAnswer });

    const handleComparison = (from: Peer, digest: number, isAnswer: boolean): void => {
        const isDifferent = digest !== evidenceStore.digest();
        if (isDifferent && !replyLimit.tryTake()) {
            return;
        }
        if (isDifferent) {
            sendEvidence(from, evidenceStore.list());
        }
        if (isDifferent && !isAnswer) {
            sendComparison(from, true);
        }
        network.send(from, { kind: "Compared", isInformed: bootstrap.isInformed() });
    };

    const pickPeers = (count: number): readonly Peer[] => {
        const members = network.members();
        return pickSeveral(random, members.length > 0 ? members : network.contacts(), count);
    };

    /** Sends the stored evidence to the zone immediately, so that the other members need not read it too. */
    const handleLoadedEvidence = (evidence: Evidence): void => {
        logger.info("Contained requests were read.", { crashes: evidence.crashes.length });
        evidence.crashes.forEach(evidenceStore.recordCrash);
        sendToMembersAndContacts(evidence);
        pickPeers(FANOUT).forEach((peer) => network.send(peer, { kind: "Compared", isInformed: true }));
        onChange(listFingerprints(evidence));
    };

    const bootstrap = createPeerBootstrap<Evidence>({
        clock,
        random,
        queryPeers: () => pickPeers(PEERS_PER_QUERY).forEach((peer) => sendComparison(peer, false)),
        isFirstInZone: network.isFirstInZone,
        load: loadContained,
        onLoaded: handleLoadedEvidence,
        signal,
    });

    const scheduleComparison = (): void => {
        clock.after(COMPARISON_INTERVAL_MS, () => {
            if (signal.aborted) {
                return;
            }
            evidenceStore.prune(clock.monotonic());
            if (evidenceStore.digest() !== 0) {
                pickPeers(1).forEach((peer) => sendComparison(peer, false));
                pickSeveral(random, network.contacts(), 1).forEach((peer) => sendComparison(peer, false));
            }
            scheduleComparison();
        });
    };

    return {
        start: () => {
            bootstrap.start();
            scheduleComparison();
        },
        broadcastCrash: (report) => broadcastCrash(report, CRASH_ROUNDS),
        broadcastGoodRun,
        receive: (from, message) => {
            switch (message.kind) {
                case "Evidence":
                    handleEvidence(from, decodeEvidence(message, clock.monotonic()));
                    return;
                case "Comparison":
                    handleComparison(from, message.digest, message.isAnswer);
                    return;
                case "Compared":
                    if (message.isInformed) {
                        bootstrap.markInformed();
                    }
            }
        },
    };
};
