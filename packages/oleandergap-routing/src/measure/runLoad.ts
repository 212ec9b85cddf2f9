/** Runs a load plan against one kind of service and summarises the results for the callers. */
import { createSeededRandom, type Random } from "oleandergap-utils";
import type { LoadFigures, LoadPlan, RequestEnd } from "./loadPlan.js";
import { createNaiveService } from "./naiveService.js";
import { createOurService, type SendRequest, type SentRequest } from "./ourService.js";
import { createTargetModel, type TargetModel } from "./targetModel.js";
import { createVirtualClock, type VirtualClock } from "./virtualClock.js";

/** A service behind this project, or behind a naive proxy. */
export type ServiceKind = "ours" | "naive";

/** Returns the value below which the share `part` of the sorted values lies, or 0 if there are no values. */
export const quantile = (sorted: readonly number[], part: number): number =>
    sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? 0;

interface Tally {
    requests: number;
    attempts: number;
    readonly ended: Record<RequestEnd, number[]>;
    /** Number of started runs by request. */
    readonly runs: Map<number, number>;
    readonly unsafeRequests: Set<number>;
}

const createTally = (): Tally => ({
    requests: 0,
    attempts: 0,
    ended: { Answered: [], Refused: [], Lost: [] },
    runs: new Map(),
    unsafeRequests: new Set(),
});

const countDoubledRuns = ({ runs, unsafeRequests }: Tally): number =>
    [...unsafeRequests].filter((request) => (runs.get(request) ?? 0) > 1).length;

/** Returns the requests per millisecond that all targets together can serve. */
const capacityOf = (plan: LoadPlan): number => {
    const rate = plan.trueSlots / plan.meanServiceMs;
    return rate * (plan.targets - 1) + rate / plan.slowFactor;
};

const summarise = (tally: Tally, plan: LoadPlan): LoadFigures => {
    const answered = tally.ended.Answered.sort((left, right) => left - right);
    const refused = tally.ended.Refused.sort((left, right) => left - right);
    const runs = [...tally.runs.values()].reduce((sum, count) => sum + count, 0);
    const measuredMs = plan.durationMs - plan.warmUpMs;
    return {
        goodputPart: answered.length / (measuredMs * capacityOf(plan)),
        answeredPart: answered.length / tally.requests,
        refusedPart: refused.length / tally.requests,
        lostPart: tally.ended.Lost.length / tally.requests,
        answerMedianMs: quantile(answered, 0.5),
        answerP99Ms: quantile(answered, 0.99),
        refusalMedianMs: quantile(refused, 0.5),
        refusalP99Ms: quantile(refused, 0.99),
        runsPerRequest: runs / tally.requests,
        attemptsPerRequest: tally.attempts / tally.requests,
        doubledRuns: countDoubledRuns(tally),
    };
};

const drawGap = (random: Random, plan: LoadPlan): number => -Math.log(1 - random()) / (capacityOf(plan) * plan.load);

/** Generates requests whose arrivals do not depend on the responses, as with many independent callers. */
const startArrivals = (
    clock: VirtualClock,
    random: Random,
    plan: LoadPlan,
    onArrival: (request: SentRequest) => void,
): void => {
    let id = 0;
    const arrive = (): void => {
        const idempotent = random() < plan.idempotentPart;
        onArrival({ id: id++, idempotent, deadline: clock.monotonic() + plan.timeoutMs });
        if (clock.monotonic() < plan.durationMs) {
            clock.after(drawGap(random, plan), arrive);
        }
    };
    clock.after(drawGap(random, plan), arrive);
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
    const tally = createTally();
    let firstMeasured = Number.POSITIVE_INFINITY;
    const models = createModels(clock, random, plan, (request) => {
        if (request >= firstMeasured) {
            tally.runs.set(request, (tally.runs.get(request) ?? 0) + 1);
        }
    });
    const send: SendRequest = kind === "ours" ?
        createOurService(clock, random, plan, models) :
        createNaiveService(clock, plan, models);

    const handle = async (request: SentRequest): Promise<void> => {
        const arrivedAt = clock.monotonic();
        if (arrivedAt < plan.warmUpMs) {
            await send(request, () => undefined);
            return;
        }
        firstMeasured = Math.min(firstMeasured, request.id);
        tally.requests += 1;
        if (!request.idempotent) {
            tally.unsafeRequests.add(request.id);
        }
        const end = await send(request, () => {
            tally.attempts += 1;
        });
        tally.ended[end].push(clock.monotonic() - arrivedAt);
    };

    startArrivals(clock, random, plan, (request) => void handle(request));
    await clock.runUntil(plan.durationMs + 2 * plan.timeoutMs);
    return summarise(tally, plan);
};
