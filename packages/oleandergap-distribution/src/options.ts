/** Settings of the distribution, with defaults that hold for a fleet of a few nodes up to several thousand. */
import { z } from "zod";

const milliseconds = (minimum: number, maximum: number): z.ZodNumber => z.number().int().min(minimum).max(maximum);

const spreadOptionsSchema = z.strictObject({
    /** Members among which each member divides the part of its availability zone that it was handed. */
    treeFanOut: z.number().int().min(1).max(16).default(4),
    /** Time without acknowledgement after which a version is handed over again. */
    acknowledgeTimeoutMs: milliseconds(10, 5_000).default(100),
    /** Largest delta that is sent inside a datagram, in bytes of JSON; larger ones are pulled. */
    inlineDeltaBytes: z.number().int().min(0).max(1_100).default(800),
    /** Most answers per second to peers that showed a lower head. */
    repliesPerSecond: z.number().min(0.1).max(1_000).default(20),
    /** Least time between two such answers to the same peer. */
    replySpacingMs: milliseconds(10, 60_000).default(250),
    /** Mean time between two comparisons with a random peer over TCP. */
    checkIntervalMs: milliseconds(1_000, 600_000).default(30_000),
    /** Mean time between two datagrams of a reader to a random contact of another availability zone. */
    zoneCheckIntervalMs: milliseconds(500, 600_000).default(2_000),
});

const pullOptionsSchema = z.strictObject({
    /** Time that a short question to a peer may take. */
    timeoutMs: milliseconds(50, 60_000).default(1_000),
    /** Longest time of one question to a peer whose answer keeps arriving; others are asked meanwhile. */
    longestMs: milliseconds(50, 60_000).default(10_000),
    /** Time after which another source is asked too, if none has delivered; several times what an answer takes. */
    answerPatienceMs: milliseconds(10, 60_000).default(300),
    /** The same while an answer keeps arriving: asked twice, a node with a narrow link would have both late. */
    arrivingPatienceMs: milliseconds(10, 60_000).default(1_000),
    /** Time that one read of the platform may take. */
    platformTimeoutMs: milliseconds(50, 60_000).default(2_000),
    /** Bound of the random wait after the first failure; doubles with each further one. */
    backoffBaseMs: milliseconds(1, 10_000).default(50),
    /** A version is to be in force within seconds, and a peer that was out of reach may be back at any moment. */
    backoffMaximumMs: milliseconds(10, 600_000).default(500),
    /** Failed questions to one who claims a head after which this claim may be dropped; see `keepUnansweredMs`. */
    attemptsPerHead: z.number().int().min(1).max(20).default(3),
    /** Time for which a claim is kept although its holder does not answer; others are asked meanwhile. */
    keepUnansweredMs: milliseconds(0, 600_000).default(5_000),
    /** Time for which a claim that could not be verified is not looked at again. */
    setAsideMs: milliseconds(100, 600_000).default(5_000),
    /**
     * A node that follows the platform itself waits this long for its own news before it asks a peer. Where versions
     * travel as whole documents, all nodes of a zone would otherwise fetch each of them from a peer and read it too.
     */
    peerPatienceMs: milliseconds(0, 10_000).default(0),
});

const readerOptionsSchema = z.strictObject({
    /** Members of an availability zone that read the platform. */
    readers: z.number().int().min(1).max(8).default(2),
    /** Further members, by rank, that stand by. No member after them ever polls the platform. */
    standbys: z.number().int().min(0).max(16).default(4),
    /** Mean time between two reads of the heads by one reader. */
    intervalMs: milliseconds(100, 60_000).default(1_000),
    /** A standby of rank r steps in after the readers were quiet for r times this. */
    stepMs: milliseconds(100, 60_000).default(1_500),
    /** Longest wait between two reads while the platform does not answer. */
    backoffMaximumMs: milliseconds(500, 600_000).default(5_000),
});

const budgetOptionsSchema = z.strictObject({
    /** Platform reads per second that all readers and standbys of the fleet may spend together. */
    readerReadsPerSecond: z.number().min(1).max(10_000).default(240),
    /** Platform reads per second that all other nodes may spend together. */
    recoveryReadsPerSecond: z.number().min(1).max(10_000).default(200),
    /** Availability zones of the fleet, for the shares of the budgets. */
    zones: z.number().int().min(1).max(1_000).default(10),
});

const recoveryOptionsSchema = z.strictObject({
    /** Peers of the own availability zone that are asked in one round. */
    peersAsked: z.number().int().min(1).max(16).default(3),
    /** Bound of the random wait before the next round; doubles with each further one. */
    roundBaseMs: milliseconds(10, 60_000).default(250),
    roundMaximumMs: milliseconds(100, 600_000).default(2_000),
    /** Time without any recovered peer after which a node that is no reader may ask the platform. */
    platformAfterMs: milliseconds(0, 600_000).default(4_000),
});

const peerOptionsSchema = z.strictObject({
    /** Longest silence of a peer: until its answer begins, and between two parts of it. */
    timeoutMs: milliseconds(50, 60_000).default(1_000),
    /** Longest time for an answer in all; a whole table of 3,000 routes takes 1 s of a link of 1 Mbit/s. */
    longestMs: milliseconds(50, 60_000).default(10_000),
    /** Largest answer accepted from a peer, after decompression. */
    answerBytes: z.number().int().min(1_024).max(64_000_000).default(4_000_000),
    /** Largest question accepted from a peer. */
    questionBytes: z.number().int().min(1_024).max(1_000_000).default(128_000),
    /** Time for which an idle connection to a peer is kept. */
    idleConnectionMs: milliseconds(0, 600_000).default(4_000),
});

/** Settings of this package, to be mounted into those of the daemon. */
export const distributionOptionsSchema = z.strictObject({
    spread: spreadOptionsSchema.prefault({}),
    pull: pullOptionsSchema.prefault({}),
    reader: readerOptionsSchema.prefault({}),
    budget: budgetOptionsSchema.prefault({}),
    recovery: recoveryOptionsSchema.prefault({}),
    peer: peerOptionsSchema.prefault({}),
});
/** All settings of this package. */
export type DistributionOptions = z.infer<typeof distributionOptionsSchema>;
/** How versions and heads are passed on. */
export type SpreadOptions = DistributionOptions["spread"];
/** How a version is fetched from a peer or the platform, and when a claim is given up. */
export type PullOptions = DistributionOptions["pull"];
/** Who reads the platform, and how often. */
export type ReaderOptions = DistributionOptions["reader"];
/** The platform reads that the whole fleet may spend. */
export type BudgetOptions = DistributionOptions["budget"];
/** How a node that has just started gets its versions. */
export type RecoveryOptions = DistributionOptions["recovery"];
/** Bounds on calls between nodes, in time and size. */
export type PeerOptions = DistributionOptions["peer"];

/** The defaults. */
export const defaultDistributionOptions: DistributionOptions = distributionOptionsSchema.parse({});
