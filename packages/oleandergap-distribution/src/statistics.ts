/** Counters of the distribution since the start of the process, for metrics and measurements. */
import type { Milliseconds, PartnerName, Sequence } from "oleandergap-types";

/** A version that came into force at this node, and when. */
export interface AppliedVersion {
    readonly partner: PartnerName;
    readonly sequence: Sequence;
    /** Wall-clock time in milliseconds. */
    readonly appliedAt: Milliseconds;
}

/** Mutable counters. Each module increments the counters of its events. */
export interface SpreadCounters {
    /** Versions applied from a delta in a datagram. */
    inlineApplied: number;
    /** Deltas in datagrams that the store refused. */
    inlineRefused: number;
    pulls: number;
    pullFailures: number;
    /** Pulls that fetched the whole document, for example because the deltas did not apply. */
    documentPulls: number;
    /** Claims dropped after repeated failed requests to their source. */
    claimsSetAside: number;
    /** Messages sent: deltas, offers and acknowledgements. */
    messagesSent: number;
    headsSent: number;
    repliesSent: number;
    platformReads: number;
    platformFailures: number;
    /** Platform reads postponed because the read budget was exhausted. */
    readsPutOff: number;
}

/** The counters and the current state of the node. */
export interface SpreadStatistics extends Readonly<SpreadCounters> {
    readonly ready: boolean;
    /** Zero-based rank of this node among the candidate readers of its availability zone. */
    readonly rank: number;
    /** Whether this node polls the platform. */
    readonly reading: boolean;
    readonly applied: readonly AppliedVersion[];
}

/** Creates counters that are all zero. */
export const createCounters = (): SpreadCounters => ({
    inlineApplied: 0,
    inlineRefused: 0,
    pulls: 0,
    pullFailures: 0,
    documentPulls: 0,
    claimsSetAside: 0,
    messagesSent: 0,
    headsSent: 0,
    repliesSent: 0,
    platformReads: 0,
    platformFailures: 0,
    readsPutOff: 0,
});
