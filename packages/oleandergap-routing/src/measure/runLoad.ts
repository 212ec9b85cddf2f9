/** Runs a load plan against one kind of service and summarises the results from the callers' point of view. */
import { createSeededRandom, type Random } from "oleandergap-utils";
import type { LoadFigures, LoadPlan, RequestResult } from "./loadPlan.js";
import { createNaiveService } from "./naiveService.js";
import { createRoutedService, type SendRequest, type SentRequest } from "./routedService.js";
import { createTargetModel, type TargetModel } from "./targetModel.js";
import { createVirtualClock, type VirtualClock } from "./virtualClock.js";

/** Whether requests pass through the router and gates of this project or through a naive proxy. */
export type ServiceKind = "ours" | "naive";

/** Returns the value below which the given fraction of the sorted values lies, or 0 if there are no values. */
export const quantile = (sorted: readonly number[], fraction: number): number =>
    sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? 0;

interface RunStatistics {
    requests: number;
    attempts: number;
    readonly latenciesByResult: Record<RequestResult, number[]>;
    /** Number of started runs by request. */
    readonly runs: Map<number, number>;
    readonly nonIdempotentRequests: Set<number>;
}

const createRunStatistics = (): RunStatistics => ({
    requests: 0,
    attempts: 0,
    latenciesByResult: { Answered: [], Refused: [], Lost: [] },
    runs: new Map(),
    nonIdempotentRequests: new Set(),
});

const countDuplicateRuns = ({ runs, nonIdempotentRequests }: RunStatistics): number =>
    [...nonIdempotentRequests].filter((request) => (runs.get(request) ?? 0) > 1).length;

/** Returns the requests per millisecond that all targets together can serve. */
const computeCapacity = (plan: LoadPlan): number => {
    const rate = plan.trueSlots / plan.meanServiceMs;
    return rate * (plan.targets - 1) + rate / plan.slowFactor;
};

const summariseRun = (statistics: RunStatistics, plan: LoadPlan): LoadFigures => {
    const answered = statistics.latenciesByResult.Answered.sort((left, right) => left - right);
    const refused = statistics.latenciesByResult.Refused.sort((left, right) => left - right);
    const runs = [...statistics.runs.values()].reduce((sum, count) => sum + count, 0);
    const measuredMs = plan.durationMs - plan.warmUpMs;
    return {
        goodputShare: answered.length / (measuredMs * computeCapacity(plan)),
        answeredShare: answered.length / statistics.requests,
        refusedShare: refused.length / statistics.requests,
        lostShare: statistics.latenciesByResult.Lost.length / statistics.requests,
        answerMedianMs: quantile(answered, 0.5),
        answerP99Ms: quantile(answered, 0.99),
        refusalMedianMs: quantile(refused, 0.5),
        refusalP99Ms: quantile(refused, 0.99),
        runsPerRequest: runs / statistics.requests,
        attemptsPerRequest: statistics.attempts / statistics.requests,
        duplicateRuns: countDuplicateRuns(statistics),
    };
};

const sampleArrivalInterval = (random: Random, plan: LoadPlan): number =>
    -Math.log(1 - random()) / (computeCapacity(plan) * plan.load);

/** Generates requests whose arrivals do not depend on the responses, as with many independent callers. */
const startArrivals = (
    clock: VirtualClock,
    random: Random,
    plan: LoadPlan,
    onArrival: (request: SentRequest) => void,
): void => {
    let id = 0;
    const generateArrival = (): void => {
        const idempotent = random() < plan.idempotentShare;
        onArrival({ id: id++, idempotent, deadline: clock.monotonic() + plan.timeoutMs });
        if (clock.monotonic() < plan.durationMs) {
            clock.after(sampleArrivalInterval(random, plan), generateArrival);
        }
    };
    clock.after(sampleArrivalInterval(random, plan), generateArrival);
};

const createModels = (
    clock: VirtualClock,
    random: Random,
    plan: LoadPlan,
    onRun: (request: number) => void,
): readonly TargetModel[] => Array.from({ length: plan.targets }, (_, index) => {
    const mean = plan.meanServiceMs * (index === 0 ? plan.slowFactor : 1);
    return createTargetModel(clock, random, plan, mean, onRun);
});

/** Runs until all requests have ended. The results exclude requests that arrived during the warm-up. */
export const runLoad = async (kind: ServiceKind, plan: LoadPlan): Promise<LoadFigures> => {
    const clock = createVirtualClock();
    const random = createSeededRandom(plan.seed);
    const statistics = createRunStatistics();
    let firstMeasuredRequest = Number.POSITIVE_INFINITY;
    const models = createModels(clock, random, plan, (request) => {
        if (request >= firstMeasuredRequest) {
            statistics.runs.set(request, (statistics.runs.get(request) ?? 0) + 1);
        }
    });
    const send: SendRequest = kind === "ours" ?
        createRoutedService(clock, random, plan, models) :
        createNaiveService(clock, plan, models);

    const handle = async (request: SentRequest): Promise<void> => {
        const arrivedAt = clock.monotonic();
        if (arrivedAt < plan.warmUpMs) {
            await send(request, () => undefined);
            return;
        }
        firstMeasuredRequest = Math.min(firstMeasuredRequest, request.id);
        statistics.requests += 1;
        if (!request.idempotent) {
            statistics.nonIdempotentRequests.add(request.id);
        }
        const result = await send(request, () => {
            statistics.attempts += 1;
        });
        statistics.latenciesByResult[result].push(clock.monotonic() - arrivedAt);
    };

    startArrivals(clock, random, plan, (request) => void handle(request));
    await clock.runUntil(plan.durationMs + 2 * plan.timeoutMs);
    return summariseRun(statistics, plan);
};
