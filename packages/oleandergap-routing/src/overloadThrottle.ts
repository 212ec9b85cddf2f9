/**
 * Refuses requests at this node while the targets of their service refuse most of their like.
 *
 * A refusal costs the node of a target hardly less processor time than a request that runs. When a service has lost
 * all its targets but one, that one's node meets the requests of the whole fleet; one would see it too busy with
 * refusals to keep its target at work, and calls that need an answer in a quarter of a second run out of time. Each
 * node therefore sends at most a multiple of what was accepted lately, and refuses the rest itself, at once: where a
 * tenth of the requests can be accepted, less than 0.35 of them are sent.
 *
 * A request that got no answer while its caller waited for long was not accepted either. A node that reads its requests
 * later than their callers wait finds each of them dead, and works for nobody while its target is idle; it catches up
 * only if less is sent.
 */
import type { Clock, Milliseconds } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import { createFadingCounts } from "./fadingCounts.js";

/**
 * Requests sent for each one accepted: while half are accepted nothing is refused here, and once there is room again
 * what is sent doubles in each span of the memory.
 */
const SENT_PER_ACCEPTED = 2;
/** Part that is refused here at most, so that room is noticed soon also after nothing was accepted at all. */
const MAXIMUM_REFUSED_SHARE = 0.8;
/** Memory of the counts: about ten requests of a usual kind at one node. */
const MEMORY_MS: Milliseconds = 700;
/** Requests in the memory below which nothing is refused here. */
const MINIMUM_REQUESTS = 5;

interface Counts {
    requests: number;
    accepted: number;
}

/** Counts by kind; requests that are refused alike should share one. */
export interface OverloadThrottle {
    /** Counts a request; false when it is to be refused here. */
    readonly admits: (kind: string) => boolean;
    /** The targets took the request, or it ended for another reason than want of capacity. */
    readonly noteAccepted: (kind: string) => void;
}

/** Knows nothing at first, and then refuses nothing. */
export const createOverloadThrottle = (clock: Clock, random: Random): OverloadThrottle => {
    const countsOf = createFadingCounts<Counts>({
        clock,
        memoryMs: MEMORY_MS,
        create: () => ({ requests: 0, accepted: 0 }),
        scale: (counts, factor) => {
            counts.requests *= factor;
            counts.accepted *= factor;
        },
    });

    return {
        admits: (kind) => {
            const counts = countsOf(kind);
            const excess = counts.requests - SENT_PER_ACCEPTED * counts.accepted;
            const wantedShare = counts.requests < MINIMUM_REQUESTS ? 0 : excess / (counts.requests + 1);
            const refusedShare = Math.min(MAXIMUM_REFUSED_SHARE, wantedShare);
            counts.requests += 1;
            return random() >= refusedShare;
        },
        noteAccepted: (kind) => {
            countsOf(kind).accepted += 1;
        },
    };
};
