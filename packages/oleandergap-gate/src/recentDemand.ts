/**
 * Recent requests of each priority, counted by what callers asked for.
 *
 * Nodes send only a share of the requests for a target that is overloaded. Counted by what arrives, such a priority
 * seems to be served well although most of its callers are refused. Each request therefore carries the share with which
 * it was chosen, and stands for as many as were asked for.
 */
import * as either from "fp-ts/lib/Either.js";
import { MINIMUM_SENT_SHARE, type Clock, type Milliseconds, type RefusalReason } from "oleandergap-types";
import { createDecayingCounters } from "oleandergap-utils";
import type { AdmissionRequest } from "./admission.js";
import type { Decision } from "./refusals.js";

/** Time constant of the counts. It covers some dozens of requests of a priority at a target with a dozen slots. */
const TIME_CONSTANT_MS: Milliseconds = 700;
/** Number of requests, after their decay, below which a priority counts as not in use. */
const NEGLIGIBLE_REQUESTS = 0.01;
/** Part of the arriving requests that may be refused before nodes are asked to send less. */
const TOLERATED_REFUSED_PART = 0.05;
/**
 * Requests that nodes may send for each one that is served. The surplus keeps the slots in use, and its refusals
 * take CPU time of the node.
 */
const SENT_PER_SERVED = 1.1;
/**
 * Time without a refusal for capacity after which the share grows. An overloaded target refuses more often, because
 * nodes send it more than it serves.
 */
const QUIET_MS: Milliseconds = 250;
/** Time in which the share doubles then. It grows faster than the counts of an overload decay. */
const DOUBLING_MS: Milliseconds = 250;

/** Reasons of refusals that say nothing about the capacity of the target. */
const OTHER_REASONS: ReadonlySet<RefusalReason> = new Set(["Cancelled", "Draining", "NotReady"]);

/** The properties of a request by which it is counted. */
export type DemandedRequest = Pick<AdmissionRequest, "priority" | "sentShare">;

interface Counts {
    /** Requests that were asked for, including those that nodes did not send. */
    asked: number;
    /** Time for which these requests would occupy slots. */
    askedWorkMs: Milliseconds;
    arrived: number;
    served: number;
    /** Time of the latest refusal for capacity. */
    refusedAt: Milliseconds;
}

/** Recent requests by priority. */
export interface RecentDemand {
    /** Records whether a request that arrived was admitted. Refusals for reasons other than capacity do not count. */
    readonly recordDecision: (request: DemandedRequest, workMs: Milliseconds, decision: Decision) => void;
    /** Returns the served share of what was asked for, or undefined if the priority has not been in use lately. */
    readonly servedShare: (priority: number) => number | undefined;
    /** Returns the number of slots that all requests that were asked for would keep in use on average. */
    readonly askedSlots: (priority: number) => number;
    /** Returns the share of what is asked for that nodes should send, so that few requests are refused here. */
    readonly admissionShare: (priority: number) => number;
}

/** Returns whether a decision says something about the capacity of the target. */
export const isForCapacity = (decision: Decision): boolean =>
    either.isRight(decision) || decision.left.kind !== "Refused" || !OTHER_REASONS.has(decision.left.reason);

/** Creates the counts, without any requests. */
export const createRecentDemand = (clock: Clock): RecentDemand => {
    const getCounts = createDecayingCounters<Counts>({
        clock,
        timeConstantMs: TIME_CONSTANT_MS,
        create: () => ({ asked: 0, askedWorkMs: 0, arrived: 0, served: 0, refusedAt: Number.NEGATIVE_INFINITY }),
        scale: (counts, factor) => {
            counts.asked *= factor;
            counts.askedWorkMs *= factor;
            counts.arrived *= factor;
            counts.served *= factor;
        },
    });

    return {
        recordDecision: ({ priority = 0, sentShare = 1 }, workMs, decision) => {
            if (!isForCapacity(decision)) {
                return;
            }
            const counts = getCounts(String(priority));
            const represented = 1 / Math.max(sentShare, MINIMUM_SENT_SHARE);
            counts.asked += represented;
            counts.askedWorkMs += represented * workMs;
            counts.arrived += 1;
            if (either.isRight(decision)) {
                counts.served += 1;
            }
            else {
                counts.refusedAt = clock.monotonic();
            }
        },
        servedShare: (priority) => {
            const { asked, served } = getCounts(String(priority));
            return asked < NEGLIGIBLE_REQUESTS ? undefined : served / asked;
        },
        askedSlots: (priority) => getCounts(String(priority)).askedWorkMs / TIME_CONSTANT_MS,
        admissionShare: (priority) => {
            const { asked, arrived, served, refusedAt } = getCounts(String(priority));
            if (arrived < NEGLIGIBLE_REQUESTS || arrived - served <= TOLERATED_REFUSED_PART * arrived) {
                return 1;
            }
            const share = Math.max(MINIMUM_SENT_SHARE, (SENT_PER_SERVED * served) / asked);
            const quietMs = Math.max(0, clock.monotonic() - refusedAt - QUIET_MS);
            return Math.min(1, share * 2 ** (quietMs / DOUBLING_MS));
        },
    };
};
