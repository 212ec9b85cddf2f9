/** What one node derives from the roll-outs: their verdicts, and which share of requests goes to the new versions. */
import {
    formatServiceReference,
    MILLISECONDS_PER_SECOND,
    type Clock,
    type Milliseconds,
    type ServiceReference,
} from "oleandergap-types";
import type { RolloutRecord, RolloutStore } from "./exchange/rolloutStore.js";
import type { CreateJudge, RolloutJudge, RolloutVerdict } from "./judge/judge.js";
import type { RolloutOptions } from "./options.js";
import { computeCanaryShare, computeRampShare } from "./plan/plan.js";
import { createShareLimiter, type ShareLimiter } from "./plan/shareLimiter.js";
import { splitTargets, type SplitTarget, type TargetSplit } from "./plan/targetSplit.js";
import type { Rollout, TargetVersion } from "./rollout.js";

/** Targets of a request during a roll-out. */
export interface RequestSplit<Target> {
    /** The version for which `trial` was chosen. */
    readonly version: TargetVersion;
    /** Targets of the new version if this request goes to it; empty otherwise. */
    readonly trial: readonly Target[];
    /** Whether retries go to the new version too. */
    readonly isFullyMoved: boolean;
    /** Targets of all other requests. The same array while nothing changes. */
    readonly base: readonly Target[];
}

/** What a node derives from one roll-out. */
export interface Participation {
    readonly rolloutId: string;
    /** Time at which this node began to follow the roll-out. */
    readonly since: Milliseconds;
    readonly judge: RolloutJudge;
    readonly limiter: ShareLimiter;
    verdict: RolloutVerdict;
    requestsPerSecond: number;
    cachedSplit: CachedSplit | undefined;
}

interface CachedSplit {
    readonly targets: readonly SplitTarget[];
    readonly revision: number;
    readonly share: number;
    readonly split: TargetSplit<SplitTarget>;
}

/** Dependencies of the participations. */
export interface ParticipationsDependencies {
    readonly clock: Clock;
    readonly store: Pick<RolloutStore, "find">;
    readonly createJudge: CreateJudge;
    readonly options: RolloutOptions;
    /** Returns whether this node has the roll-outs of the fleet. Until then, it sends nothing to a new version. */
    readonly isInformed: () => boolean;
}

/** The participations of one node, one for each service. */
export interface Participations {
    readonly get: (rollout: Rollout) => Participation;
    /** Judges the reports of a roll-out and estimates the rate of the service's requests. */
    readonly judge: (record: RolloutRecord) => RolloutVerdict;
    /** Divides the targets of one request; undefined if the service has no roll-out. */
    readonly split: <Target extends SplitTarget>(
        service: ServiceReference,
        targets: readonly Target[],
    ) => RequestSplit<Target> | undefined;
}

/** Time over which the rate of requests is at least averaged. */
const MINIMUM_RATE_PERIOD_MS: Milliseconds = 1000;

/** Creates participations in no roll-out. */
export const createParticipations = (
    { clock, store, createJudge, options, isInformed }: ParticipationsDependencies,
): Participations => {
    const participations = new Map<string, Participation>();

    const get: Participations["get"] = ({ order }) => {
        const key = formatServiceReference(order.service);
        let participation = participations.get(key);
        if (participation?.rolloutId !== order.id) {
            participation = {
                rolloutId: order.id,
                since: clock.monotonic(),
                judge: createJudge(order.version),
                limiter: createShareLimiter(),
                verdict: { kind: "Undecided" },
                requestsPerSecond: 0,
                cachedSplit: undefined,
            };
            participations.set(key, participation);
        }
        return participation;
    };

    const judge: Participations["judge"] = ({ rollout, reports }) => {
        const now = clock.monotonic();
        const participation = get(rollout);
        participation.verdict = participation.judge.observe(reports, now);
        const { trial, control } = participation.judge.counts();
        const elapsedMs = Math.max(MINIMUM_RATE_PERIOD_MS, now - rollout.orderedAt);
        participation.requestsPerSecond = (trial + control) * MILLISECONDS_PER_SECOND / elapsedMs;
        return participation.verdict;
    };

    const computeShare = (rollout: Rollout): number => {
        switch (rollout.state) {
            case "running":
                return isInformed() ? computeCanaryShare(rollout.order, get(rollout).requestsPerSecond, options) : 0;
            case "promoting":
                return computeRampShare(rollout, clock.monotonic(), options);
            default:
                return 0;
        }
    };

    const getSplit = (
        { rollout, reports, revision }: RolloutRecord,
        targets: readonly SplitTarget[],
        share: number,
    ): TargetSplit<SplitTarget> => {
        const participation = get(rollout);
        const cached = participation.cachedSplit;
        if (cached?.targets === targets && cached.revision === revision && cached.share === share) {
            return cached.split;
        }
        const wallClockOffset = clock.now() - clock.monotonic();
        const split = splitTargets(targets, {
            rollout,
            reports,
            orderedAtWallClock: rollout.orderedAt + wallClockOffset,
            sinceWallClock: rollout.since + wallClockOffset,
            share,
            options,
        });
        participation.cachedSplit = { targets, revision, share, split };
        return split;
    };

    return {
        get,
        judge,
        split: <Target extends SplitTarget>(service: ServiceReference, targets: readonly Target[]) => {
            const record = store.find(service);
            if (record === undefined) {
                return undefined;
            }
            const share = computeShare(record.rollout);
            const { trial, base } = getSplit(record, targets, share) as TargetSplit<Target>;
            const isTrial = get(record.rollout).limiter.take(share, trial.length > 0);
            return {
                version: record.rollout.order.version,
                trial: isTrial ? trial : [],
                isFullyMoved: share >= 1,
                base,
            };
        },
    };
};
