/**
 * Brings evidence to all nodes. A crash is told at once to some members of the zone and to the contacts in other zones,
 * each of which tells it on; what was lost on the way is found by comparing digests, and a node that has just started
 * asks. Nothing is sent while nothing is held against any request.
 */
import type { Logger } from "oleandergap-logger";
import type { Clock, Milliseconds } from "oleandergap-types";
import { createTokenBucket, pickSeveral, type Random } from "oleandergap-utils";
import type { CrashReport, Evidence, GoodRun } from "./evidence.js";
import type { EvidenceBook } from "./evidenceBook.js";
import { describeEvidence, readEvidence, type EvidenceMessage } from "./evidenceMessage.js";
import type { Fingerprint } from "./fingerprint.js";
import { createInformer } from "./informer.js";

/** Members of the zone that are told of what this node has seen, or heard from another zone; of ten nodes all. */
const FANOUT = 9;
/** Members that are told of what came from the own zone, where the first teller could not reach all of it. */
const FURTHER_FANOUT = 4;
/** Rounds in which a node tells of a crash of its own target; what both miss is found by comparing. */
const CRASH_ROUNDS = 2;
const ROUND_DISTANCE_MS: Milliseconds = 200;
/** Good runs come by the dozen after a crash; so long they are collected. */
const COLLECT_MS: Milliseconds = 200;
const COMPARISON_DISTANCE_MS: Milliseconds = 1000;
const ASKED_AT_ONCE = 2;
/** Answers with all that is held that a node sends a second; each may take several datagrams. */
const ANSWERS_PER_SECOND = 10;

/** The nodes that can be told, and how. */
export interface EvidenceNetwork<Peer> {
    /** Members of the own availability zone without this node. */
    readonly members: () => readonly Peer[];
    /** Some nodes of each other availability zone. */
    readonly contacts: () => readonly Peer[];
    readonly isNear: (peer: Peer) => boolean;
    /** Whether this node is the first of its zone in an order that all its members share. */
    readonly isFirst: () => boolean;
    /** Sends without any promise that the message arrives. */
    readonly send: (to: Peer, message: EvidenceMessage) => void;
}

/** What the spread is made from. */
export interface EvidenceSpreadDependencies<Peer> {
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly book: EvidenceBook;
    readonly network: EvidenceNetwork<Peer>;
    /** What was contained when all nodes were gone; undefined when nobody wants to know any more. */
    readonly loadContained: (isWanted: () => boolean) => Promise<Evidence | undefined>;
    /** Told which requests evidence of others was about. */
    readonly onChange: (touched: readonly Fingerprint[]) => void;
    readonly signal: AbortSignal;
}

/** Tells and hears evidence. */
export interface EvidenceSpread<Peer> {
    /** Begins to ask other nodes, and to compare. */
    readonly start: () => void;
    /** Tells what this node's own target showed; the book knows it already. */
    readonly tellCrash: (report: CrashReport) => void;
    /** `isUrgent` if the request is about to be refused, or is already. */
    readonly tellGoodRun: (run: GoodRun, isUrgent: boolean) => void;
    readonly receive: (from: Peer, message: EvidenceMessage) => void;
}

const listNames = ({ crashes, goodRuns }: Evidence): readonly Fingerprint[] =>
    [...crashes.flatMap(({ fingerprints }) => fingerprints), ...goodRuns.map(({ fingerprint }) => fingerprint)];

/** Creates the spread; it ends when the signal aborts. */
export const createEvidenceSpread = <Peer>(
    { clock, random, logger, book, network, loadContained, onChange, signal }: EvidenceSpreadDependencies<Peer>,
): EvidenceSpread<Peer> => {
    const answers = createTokenBucket({ clock, ratePerSecond: () => ANSWERS_PER_SECOND, burst: ANSWERS_PER_SECOND });
    const collected: GoodRun[] = [];

    const sendEvidence = (to: Peer, evidence: Evidence): void => {
        for (const message of describeEvidence(evidence, clock.monotonic())) {
            network.send(to, message);
        }
    };

    const tellMembers = (evidence: Evidence, count: number): void =>
        pickSeveral(random, network.members(), count).forEach((peer) => sendEvidence(peer, evidence));

    const tellAll = (evidence: Evidence): void => {
        tellMembers(evidence, FANOUT);
        network.contacts().forEach((peer) => sendEvidence(peer, evidence));
    };

    const tellCrash = (report: CrashReport, rounds: number): void => {
        if (rounds > 0 && !signal.aborted) {
            tellAll({ crashes: [report], goodRuns: [] });
            clock.after(ROUND_DISTANCE_MS, () => tellCrash(report, rounds - 1));
        }
    };

    const tellGoodRun = (run: GoodRun, isUrgent: boolean): void => {
        if (isUrgent) {
            tellAll({ crashes: [], goodRuns: [run] });
            return;
        }
        collected.push(run);
        if (collected.length === 1) {
            clock.after(COLLECT_MS, () => tellAll({ crashes: [], goodRuns: collected.splice(0) }));
        }
    };

    /** Where the first teller reached the whole zone, telling it on would only double the datagrams. */
    const tellOn = (from: Peer, evidence: Evidence): void => {
        if (!network.isNear(from)) {
            tellMembers(evidence, FANOUT);
        }
        else if (network.members().length > FANOUT) {
            tellMembers(evidence, FURTHER_FANOUT);
        }
    };

    const takeEvidence = (from: Peer, evidence: Evidence): void => {
        const crashes = evidence.crashes.flatMap((report) => book.noteCrash(report) ?? []);
        const goodRuns = evidence.goodRuns.filter(book.noteGoodRun);
        if (crashes.length > 0 || goodRuns.length > 0) {
            tellOn(from, { crashes, goodRuns });
            onChange(listNames({ crashes, goodRuns }));
        }
    };

    const compare = (to: Peer, isAnswer: boolean): void =>
        network.send(to, { kind: "Comparison", digest: book.digest(), isAnswer });

    const answerComparison = (from: Peer, digest: number, isAnswer: boolean): void => {
        const differs = digest !== book.digest();
        if (differs && !answers.tryTake()) {
            return;
        }
        if (differs) {
            sendEvidence(from, book.list());
        }
        if (differs && !isAnswer) {
            compare(from, true);
        }
        network.send(from, { kind: "Compared", isInformed: informer.isInformed() });
    };

    const pickPeers = (count: number): readonly Peer[] => {
        const members = network.members();
        return pickSeveral(random, members.length > 0 ? members : network.contacts(), count);
    };

    /** Tells the own zone at once that it need not read as well. */
    const takeContained = (evidence: Evidence): void => {
        evidence.crashes.forEach(book.noteCrash);
        tellAll(evidence);
        pickPeers(FANOUT).forEach((peer) => network.send(peer, { kind: "Compared", isInformed: true }));
        onChange(listNames(evidence));
    };

    const informer = createInformer({
        clock,
        random,
        logger,
        ask: () => pickPeers(ASKED_AT_ONCE).forEach((peer) => compare(peer, false)),
        isFirst: network.isFirst,
        load: loadContained,
        take: takeContained,
        signal,
    });

    const compareRepeatedly = (): void => {
        clock.after(COMPARISON_DISTANCE_MS, () => {
            if (signal.aborted) {
                return;
            }
            book.prune(clock.monotonic());
            if (book.digest() !== 0) {
                pickPeers(1).forEach((peer) => compare(peer, false));
                pickSeveral(random, network.contacts(), 1).forEach((peer) => compare(peer, false));
            }
            compareRepeatedly();
        });
    };

    return {
        start: () => {
            informer.start();
            compareRepeatedly();
        },
        tellCrash: (report) => tellCrash(report, CRASH_ROUNDS),
        tellGoodRun,
        receive: (from, message) => {
            switch (message.kind) {
                case "Evidence":
                    takeEvidence(from, readEvidence(message, clock.monotonic()));
                    return;
                case "Comparison":
                    answerComparison(from, message.digest, message.isAnswer);
                    return;
                case "Compared":
                    if (message.isInformed) {
                        informer.noteInformed();
                    }
            }
        },
    };
};
