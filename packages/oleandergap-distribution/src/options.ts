/** Settings of the distribution. The defaults suit fleets from a few nodes up to several thousand nodes. */
import { z } from "zod";

const milliseconds = (minimum: number, maximum: number): z.ZodNumber => z.number().int().min(minimum).max(maximum);

const spreadOptionsSchema = z.strictObject({
    /**
     * Number of members to which each member forwards a version. Each of them receives a part of the sender's range.
     */
    treeFanOut: z.number().int().min(1).max(16).default(4),
    /** Timeout of an acknowledgement, after which a version is handed over again. */
    acknowledgeTimeoutMs: milliseconds(10, 5_000).default(100),
    /** Largest delta sent inside a datagram, in bytes of its packed JSON. Receivers pull larger deltas. */
    inlineDeltaBytes: z.number().int().min(0).max(1_100).default(800),
    /** Maximum number of replies per second to peers that sent a lower head. */
    repliesPerSecond: z.number().min(0.1).max(1_000).default(20),
    /** Minimum time between two such replies to the same peer. */
    replySpacingMs: milliseconds(10, 60_000).default(250),
    /** Mean interval between head comparisons with a random peer over TCP. */
    checkIntervalMs: milliseconds(1_000, 600_000).default(30_000),
    /** Mean interval at which a reader sends its heads to a random contact of another availability zone. */
    zoneCheckIntervalMs: milliseconds(500, 600_000).default(2_000),
});

const pullOptionsSchema = z.strictObject({
    /** Timeout of a short request to a peer. */
    timeoutMs: milliseconds(50, 60_000).default(1_000),
    /** Total timeout of a pull from a peer whose response keeps arriving. Other sources are tried in parallel. */
    longestMs: milliseconds(50, 60_000).default(10_000),
    /** Delay before another source is tried in parallel; several times the usual response time. */
    answerPatienceMs: milliseconds(10, 60_000).default(300),
    /**
     * The same delay while a response keeps arriving. Two parallel responses would share a narrow link of this node and
     * would both be late.
     */
    arrivingPatienceMs: milliseconds(10, 60_000).default(1_000),
    /**
     * The same delay while a response will be complete within this time if it keeps arriving as before. Less than the
     * time limit for a change, which also contains the time until the version is first claimed.
     */
    timelyResponseMs: milliseconds(10, 60_000).default(1_600),
    /** Timeout of one read of the platform. */
    platformTimeoutMs: milliseconds(50, 60_000).default(2_000),
    /** Upper bound of the random backoff after the first failure. It doubles with each further failure. */
    backoffBaseMs: milliseconds(1, 10_000).default(50),
    /**
     * Maximum of that bound. It is short because a version must be in force within seconds and an unreachable peer may
     * become reachable at any time.
     */
    backoffMaximumMs: milliseconds(10, 600_000).default(500),
    /** Number of failed requests to the claiming source after which a claim may be dropped; see `keepUnansweredMs`. */
    attemptsPerHead: z.number().int().min(1).max(20).default(3),
    /** Minimum time to keep a claim whose source does not respond. Other sources are tried in the meantime. */
    keepUnansweredMs: milliseconds(0, 600_000).default(5_000),
    /** Time during which a claim that could not be verified is ignored. */
    setAsideMs: milliseconds(100, 600_000).default(5_000),
    /**
     * Time that a node which polls the platform waits for its own next read before it pulls from a peer. If versions
     * are transferred as whole documents, each node would otherwise fetch each of them both from a peer and from the
     * platform.
     */
    peerPatienceMs: milliseconds(0, 10_000).default(0),
});

const readerOptionsSchema = z.strictObject({
    /** Number of members of an availability zone that read the platform. */
    readers: z.number().int().min(1).max(8).default(2),
    /** Number of standbys: the next members by rank. Members after them never poll the platform. */
    standbys: z.number().int().min(0).max(16).default(4),
    /** Mean interval between reads of the heads by one reader. */
    intervalMs: milliseconds(100, 60_000).default(1_000),
    /**
     * The r-th standby takes over if better ranked nodes reported no platform response for r times this duration, and
     * earlier if none of them responds at all although other members do.
     */
    stepMs: milliseconds(100, 60_000).default(1_500),
    /** Maximum wait between two reads while the platform does not respond. */
    backoffMaximumMs: milliseconds(500, 600_000).default(5_000),
});

const budgetOptionsSchema = z.strictObject({
    /** Platform reads per second allowed for all readers and standbys of the fleet together. */
    readerReadsPerSecond: z.number().min(1).max(10_000).default(240),
    /** Platform reads per second allowed for all other nodes together. */
    recoveryReadsPerSecond: z.number().min(1).max(10_000).default(200),
    /** Number of availability zones of the fleet, from which each node computes its share of the budgets. */
    zones: z.number().int().min(1).max(1_000).default(10),
});

const recoveryOptionsSchema = z.strictObject({
    /** Number of peers queried for their heads in one recovery round: first in the local zone, then in other zones. */
    peersAsked: z.number().int().min(1).max(16).default(3),
    /** Upper bound of the random wait before the second round. It doubles with each further round. */
    roundBaseMs: milliseconds(10, 60_000).default(250),
    /** Maximum of that bound. */
    roundMaximumMs: milliseconds(100, 600_000).default(2_000),
    /** Time without a recovered peer after which a node that is not a reader may read the platform. */
    platformAfterMs: milliseconds(0, 600_000).default(4_000),
});

const peerOptionsSchema = z.strictObject({
    /** Maximum wait for the start of a response and between two parts of it. */
    timeoutMs: milliseconds(50, 60_000).default(1_000),
    /** Maximum total time of a response. A whole table of 3,000 routes takes 1 s on a link of 1 Mbit/s. */
    longestMs: milliseconds(50, 60_000).default(10_000),
    /** Largest response accepted from a peer, in bytes after decompression. */
    answerBytes: z.number().int().min(1_024).max(64_000_000).default(4_000_000),
    /** Largest request body accepted from a peer, in bytes. */
    questionBytes: z.number().int().min(1_024).max(1_000_000).default(128_000),
    /** Time for which an idle connection to a peer stays open. */
    idleConnectionMs: milliseconds(0, 600_000).default(4_000),
});

/** Schema of the settings of this package, which is embedded in the settings of the daemon. */
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
/** Settings for forwarding versions and heads. */
export type SpreadOptions = DistributionOptions["spread"];
/** Settings for fetching a version from a peer or the platform, and for dropping a claim. */
export type PullOptions = DistributionOptions["pull"];
/** Settings for which members read the platform, and how often. */
export type ReaderOptions = DistributionOptions["reader"];
/** Limits on the platform reads of the whole fleet. */
export type BudgetOptions = DistributionOptions["budget"];
/** Settings for how a node obtains its versions after a start. */
export type RecoveryOptions = DistributionOptions["recovery"];
/** Time and size limits of calls between nodes. */
export type PeerOptions = DistributionOptions["peer"];

/** Default settings. */
export const defaultDistributionOptions: DistributionOptions = distributionOptionsSchema.parse({});
