/** Discrete-event experiments on one service, which compare this project with a naive proxy. */
import { defaultGateOptions, type GateOptions } from "oleandergap-gate";
import type { LoadFigures, LoadPlan } from "./loadPlan.js";
import { runLoad } from "./runLoad.js";

/**
 * A service of partner Halloway with six targets, two in each of three zones. Requests take 50 ms on average and have a
 * timeout of one second.
 */
export const basePlan: LoadPlan = {
    seed: 1,
    durationMs: 20_000,
    warmUpMs: 5000,
    load: 1,
    targets: 6,
    zones: 3,
    gateways: 10,
    announcedSlots: 12,
    trueSlots: 12,
    meanServiceMs: 50,
    slowFactor: 1,
    networkMs: 0.5,
    timeoutMs: 1000,
    idempotentShare: 0.5,
    limit: { concurrency: 1000, queue: 48, timeoutMs: 1000, retryRatio: 0.1 },
    gateOptions: defaultGateOptions,
};

/** Results of the same load with and without this project. */
export interface Comparison {
    readonly name: string;
    readonly ours: LoadFigures;
    readonly naive: LoadFigures;
}

const compare = async (name: string, plan: LoadPlan): Promise<Comparison> => ({
    name,
    ours: await runLoad("ours", plan),
    naive: await runLoad("naive", plan),
});

/** Measures loads of one, two and four times the capacity of the targets. */
export const measureOverload = async (plan: LoadPlan = basePlan): Promise<readonly Comparison[]> => {
    const comparisons: Comparison[] = [];
    for (const load of [1, 2, 4]) {
        comparisons.push(await compare(`load-${load}x`, { ...plan, load }));
    }
    return comparisons;
};

/**
 * Measures a service in which one of six targets is ten times slower than the others, at half of the service's
 * capacity.
 */
export const measureSlowTarget = (plan: LoadPlan = basePlan): Promise<Comparison> =>
    compare("slow-target", { ...plan, slowFactor: 10, load: 0.5 });

/** Results with one policy. */
export interface PolicyFigures {
    readonly name: string;
    readonly figures: LoadFigures;
}

const queueOrders: readonly GateOptions["queueOrder"][] = ["oldestFirst", "newestFirst", "deadlineFirst", "adaptive"];

/** Measures the same gates with each queue order, at twice the capacity. */
export const compareQueueOrders = async (plan: LoadPlan = basePlan): Promise<readonly PolicyFigures[]> => {
    const results: PolicyFigures[] = [];
    for (const queueOrder of queueOrders) {
        const gateOptions = { ...plan.gateOptions, queueOrder };
        results.push({ name: queueOrder, figures: await runLoad("ours", { ...plan, load: 2, gateOptions }) });
    }
    return results;
};

/** Measures targets that announce three times the slots that they have, at twice their capacity. */
export const measureOverstatedSlots = (plan: LoadPlan = basePlan): Promise<Comparison> =>
    compare("overstated-slots", { ...plan, load: 2, trueSlots: plan.announcedSlots / 3 });
