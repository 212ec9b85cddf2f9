/**
 * Keeps a target that is asked for more urgent requests than it can run from serving no others.
 *
 * By priorities alone, less urgent requests get nothing for as long as that lasts. Among them may be calls of runs at
 * other targets: all these runs then hold a slot and fail. The gate therefore admits a request with a more urgent
 * priority while its own is served far less often.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds, RefusalReason } from "oleandergap-types";
import type { AdmissionRequest, PriorityCounts } from "./admission.js";
import type { Decision } from "./refusals.js";

/**
 * Served share of a priority, as a part of that of a more urgent one, from which on its requests are not promoted. The
 * entry nodes refuse part of the requests of a priority that is refused often, so that callers see about half of it.
 */
const SUFFICIENT_RELATIVE_SHARE = 0.5;
/** Served share of a priority from which on its requests are not promoted: most callers that return are served. */
const SUFFICIENT_SHARE = 1 / 3;
/** Time constant of the counts. It covers some dozens of requests of a priority at a target with a dozen slots. */
const TIME_CONSTANT_MS: Milliseconds = 1000;
/** Number of requests, after their decay, below which a priority counts as not in use. */
const NEGLIGIBLE_REQUESTS = 0.01;

/** Reasons of refusals that say nothing about the capacity of the target. */
const OTHER_REASONS: ReadonlySet<RefusalReason> = new Set(["Cancelled", "Draining", "NotReady"]);

/** The priority with which a request asked. */
type OwnPriority = Pick<AdmissionRequest, "priority">;

/** Requests of one priority that were decided lately; the counts decay. */
interface DecidedRequests {
    readonly priority: number;
    served: number;
    refused: number;
    updatedAt: Milliseconds;
}

type Writable<Counts> = { -readonly [Name in keyof Counts]: Counts[Name] };

/** Chooses the priorities with which requests are admitted. */
export interface PriorityFloor {
    /** Returns the priority of a request, or a more urgent one if its own is served too rarely. */
    readonly choosePriority: (request: OwnPriority) => number;
    /** Records whether a request was admitted. */
    readonly recordDecision: (request: OwnPriority, decision: Decision) => void;
    /** Returns the requests of each priority since the start, the most urgent first. */
    readonly listCounts: () => readonly PriorityCounts[];
}

const computeServedShare = ({ served, refused }: DecidedRequests): number => served / (served + refused);

const decay = (decided: DecidedRequests, now: Milliseconds): void => {
    const factor = Math.exp((decided.updatedAt - now) / TIME_CONSTANT_MS);
    decided.served *= factor;
    decided.refused *= factor;
    decided.updatedAt = now;
};

const isForCapacity = (decision: Decision): boolean =>
    either.isRight(decision) || decision.left.kind !== "Refused" || !OTHER_REASONS.has(decision.left.reason);

/** Creates a floor without decided requests, which promotes none. */
export const createPriorityFloor = (clock: Pick<Clock, "monotonic">): PriorityFloor => {
    const decidedByPriority = new Map<number, DecidedRequests>();
    const countsByPriority = new Map<number, Writable<PriorityCounts>>();

    const getCounts = (priority: number): Writable<PriorityCounts> => {
        const counts = countsByPriority.get(priority) ?? { priority, served: 0, refused: 0, promoted: 0 };
        countsByPriority.set(priority, counts);
        return counts;
    };

    /** Returns the priorities that were in use lately. */
    const listInUse = (now: Milliseconds): readonly DecidedRequests[] => {
        for (const decided of decidedByPriority.values()) {
            decay(decided, now);
            if (decided.served + decided.refused < NEGLIGIBLE_REQUESTS) {
                decidedByPriority.delete(decided.priority);
            }
        }
        return [...decidedByPriority.values()];
    };

    return {
        choosePriority: ({ priority = 0 }) => {
            if (decidedByPriority.size <= 1) {
                return priority;
            }
            const inUse = listInUse(clock.monotonic());
            const own = inUse.find((decided) => decided.priority === priority);
            const ownShare = own === undefined ? 1 : computeServedShare(own);
            if (ownShare >= SUFFICIENT_SHARE) {
                return priority;
            }
            const preferred = inUse.filter((decided) =>
                decided.priority < priority && ownShare < SUFFICIENT_RELATIVE_SHARE * computeServedShare(decided));
            if (preferred.length > 0) {
                getCounts(priority).promoted += 1;
            }
            return Math.min(priority, ...preferred.map((decided) => decided.priority));
        },
        recordDecision: ({ priority = 0 }, decision) => {
            if (!isForCapacity(decision)) {
                return;
            }
            const now = clock.monotonic();
            const decided = decidedByPriority.get(priority) ?? { priority, served: 0, refused: 0, updatedAt: now };
            decay(decided, now);
            const outcome = either.isRight(decision) ? "served" : "refused";
            decided[outcome] += 1;
            decidedByPriority.set(priority, decided);
            getCounts(priority)[outcome] += 1;
        },
        listCounts: () => [...countsByPriority.values()].sort((left, right) => left.priority - right.priority),
    };
};
