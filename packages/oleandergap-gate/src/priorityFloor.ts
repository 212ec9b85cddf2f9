/**
 * Keeps a target that is asked for more urgent requests than it can run from serving no others.
 *
 * By priorities alone, less urgent requests get nothing for as long as that lasts. Among them may be calls of runs at
 * other targets: all these runs then hold a slot and fail. The gate therefore admits a request with a more urgent
 * priority while its own is served far less often, as long as such requests take a small part of the target's time.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds } from "oleandergap-types";
import { createDecayingCounters } from "oleandergap-utils";
import type { AdmissionRequest, PriorityCounts } from "./admission.js";
import { isForCapacity, type RecentDemand } from "./recentDemand.js";
import type { Decision } from "./refusals.js";

/** Served share of a priority, as a part of that of a more urgent one, from which on its requests are not promoted. */
const SUFFICIENT_RELATIVE_SHARE = 0.5;
/** Maximum part of the started work that promoted requests may be, so that more urgent ones keep most of the target. */
const MAXIMUM_PROMOTED_PART = 1 / 5;
/** Time constant of the work. It covers some dozens of requests of a priority at a target with a dozen slots. */
const TIME_CONSTANT_MS: Milliseconds = 1000;

/** Kind of the counters of all work together. */
const ALL_WORK = "";

/** The priority with which a request asked. */
type OwnPriority = Pick<AdmissionRequest, "priority">;

/** Work that was started lately; it decays. */
interface StartedWork {
    totalMs: Milliseconds;
    promotedMs: Milliseconds;
}

/** How a request was offered to the target, and what came of it. */
export interface OfferedDecision {
    /** Priority with which the request was offered. */
    readonly offeredPriority: number;
    /** Time for which the request would occupy a slot. */
    readonly workMs: Milliseconds;
    readonly decision: Decision;
}

type Writable<Counts> = { -readonly [Name in keyof Counts]: Counts[Name] };

/** Chooses the priorities with which requests are admitted. */
export interface PriorityFloor {
    /** Returns the priority of a request, or a more urgent one if its own is served too rarely. */
    readonly choosePriority: (request: OwnPriority) => number;
    /**
     * Returns the share of what is asked for with a priority that this floor would let a target of some slots serve; 0
     * if no more urgent priority is in use.
     */
    readonly promisedShare: (priority: number, slots: number) => number;
    /** Records whether a request was admitted. */
    readonly recordDecision: (request: OwnPriority, offered: OfferedDecision) => void;
    /** Returns the requests of each priority since the start, the most urgent first. */
    readonly listCounts: () => readonly PriorityCounts[];
}

/** Creates a floor without decided requests, which promotes none. */
export const createPriorityFloor = (clock: Clock, recentDemand: Pick<RecentDemand, "servedShare" | "askedSlots">): PriorityFloor => {
    const getStartedWork = createDecayingCounters<StartedWork>({
        clock,
        timeConstantMs: TIME_CONSTANT_MS,
        create: () => ({ totalMs: 0, promotedMs: 0 }),
        scale: (work, factor) => {
            work.totalMs *= factor;
            work.promotedMs *= factor;
        },
    });
    const countsByPriority = new Map<number, Writable<PriorityCounts>>();

    const getCounts = (priority: number): Writable<PriorityCounts> => {
        const counts = countsByPriority.get(priority) ?? { priority, served: 0, refused: 0, promoted: 0 };
        countsByPriority.set(priority, counts);
        return counts;
    };

    /** Returns whether requests of a priority are served so rarely that they are offered with the more urgent one. */
    const isStarvedBy = (ownShare: number, moreUrgent: number): boolean => {
        const moreUrgentShare = recentDemand.servedShare(moreUrgent);
        return moreUrgentShare !== undefined && ownShare < SUFFICIENT_RELATIVE_SHARE * moreUrgentShare;
    };

    /** Returns whether promoted requests leave the more urgent ones most of the target's time. */
    const mayPromote = (): boolean => {
        const { totalMs, promotedMs } = getStartedWork(ALL_WORK);
        return promotedMs <= MAXIMUM_PROMOTED_PART * totalMs;
    };

    return {
        choosePriority: ({ priority = 0 }) => {
            const ownShare = recentDemand.servedShare(priority);
            if (ownShare === undefined || !mayPromote()) {
                return priority;
            }
            const chosen = [...countsByPriority.keys()]
                .filter((other) => other < priority && isStarvedBy(ownShare, other))
                .reduce((mostUrgent, other) => Math.min(mostUrgent, other), priority);
            if (chosen !== priority) {
                getCounts(priority).promoted += 1;
            }
            return chosen;
        },
        promisedShare: (priority, slots) => {
            const moreUrgentShares = [...countsByPriority.keys()]
                .filter((other) => other < priority)
                .map((other) => recentDemand.servedShare(other) ?? 0);
            const askedSlots = recentDemand.askedSlots(priority);
            return moreUrgentShares.length === 0 || askedSlots === 0 ? 0 : Math.min(
                SUFFICIENT_RELATIVE_SHARE * Math.max(...moreUrgentShares),
                (MAXIMUM_PROMOTED_PART * slots) / askedSlots,
            );
        },
        recordDecision: ({ priority = 0 }, { offeredPriority, workMs, decision }) => {
            if (!isForCapacity(decision)) {
                return;
            }
            const outcome = either.isRight(decision) ? "served" : "refused";
            getCounts(priority)[outcome] += 1;
            if (either.isRight(decision)) {
                const work = getStartedWork(ALL_WORK);
                work.totalMs += workMs;
                work.promotedMs += offeredPriority === priority ? 0 : workMs;
            }
        },
        listCounts: () => [...countsByPriority.values()].sort((left, right) => left.priority - right.priority),
    };
};
