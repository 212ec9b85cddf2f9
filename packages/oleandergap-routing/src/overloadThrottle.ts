/**
 * Refuses requests at this node while the targets of their service refuse most requests of the same kind.
 *
 * A refusal costs the node of a target almost as much CPU time as a request that runs. When a service has lost all its
 * targets but one, the node of that target receives the requests of the whole fleet. It would spend so much CPU time on
 * refusals that its target would be partly idle, and calls that need a response within a quarter of a second would miss
 * their deadlines. Each node therefore limits the requests that it sends to a multiple of those accepted recently, and
 * refuses the rest itself at once. Where a tenth of the requests can be accepted, less than 0.35 of them are sent.
 *
 * A request that received no response although its caller waited for a long time does not count as accepted either. A
 * node that reads requests only after their callers have stopped waiting processes requests without a waiting caller
 * while its target is idle. It catches up only if it receives fewer requests.
 */
import type { Clock, Milliseconds } from "oleandergap-types";
import { createDecayingCounters, type Random } from "oleandergap-utils";

/**
 * Number of requests sent for each accepted one. While at least half of the requests are accepted, this node refuses
 * none. Once there is capacity again, the number of sent requests doubles in each period of `TIME_CONSTANT_MS`.
 */
const SENT_PER_ACCEPTED = 2;
/**
 * Maximum share of requests that this node refuses. The remaining requests detect free capacity soon, even after a time
 * in which none were accepted.
 */
const MAXIMUM_REFUSED_SHARE = 0.8;
/** Time constant of the counters. It covers about ten requests of a typical kind at one node. */
const TIME_CONSTANT_MS: Milliseconds = 700;
/** Minimum number of counted requests before this node refuses any. */
const MINIMUM_REQUESTS = 5;

interface Counts {
    requests: number;
    /** Number of requests for which it mattered that targets had free slots. */
    requestsWithFreeSlot: number;
    accepted: number;
}

/** Returns the share of requests to refuse, given the numbers of recent requests and of accepted ones. */
const computeRefusedShare = (requests: number, accepted: number): number =>
    requests < MINIMUM_REQUESTS ?
        0 :
        Math.min(MAXIMUM_REFUSED_SHARE, Math.max(0, requests - SENT_PER_ACCEPTED * accepted) / (requests + 1));

/** Decides by counters per kind. Requests that are refused for the same reasons should share a kind. */
export interface OverloadThrottle {
    /**
     * Counts a request. Returns false if this node must refuse it. `hasFreeSlot` returns whether a target is expected
     * to have a free slot. If so, refusals by full targets do not count, only requests not accepted despite free slots.
     */
    readonly admits: (kind: string, hasFreeSlot?: () => boolean) => boolean;
    /** Records that the targets accepted a request, or that it ended for a reason other than lack of capacity. */
    readonly recordAccepted: (kind: string) => void;
}

/** Creates a throttle without counts, which refuses nothing at first. */
export const createOverloadThrottle = (clock: Clock, random: Random): OverloadThrottle => {
    const getCounts = createDecayingCounters<Counts>({
        clock,
        timeConstantMs: TIME_CONSTANT_MS,
        create: () => ({ requests: 0, requestsWithFreeSlot: 0, accepted: 0 }),
        scale: (counts, factor) => {
            counts.requests *= factor;
            counts.requestsWithFreeSlot *= factor;
            counts.accepted *= factor;
        },
    });

    return {
        admits: (kind, hasFreeSlot = () => false) => {
            const counts = getCounts(kind);
            const refusedShare = computeRefusedShare(counts.requests, counts.accepted);
            counts.requests += 1;
            if (refusedShare === 0) {
                return true;
            }
            if (!hasFreeSlot()) {
                return random() >= refusedShare;
            }
            const shareWithFreeSlot = computeRefusedShare(counts.requestsWithFreeSlot, counts.accepted);
            counts.requestsWithFreeSlot += 1;
            return random() >= shareWithFreeSlot;
        },
        recordAccepted: (kind) => {
            getCounts(kind).accepted += 1;
        },
    };
};
