/** Plays the requests of many customers at one gate on a manual clock. */
import { setMaxListeners } from "node:events";
import { createManualClock, createSeededRandom, type Random } from "oleandergap-utils";
import { createGate, defaultGateOptions, type Gate } from "../index.js";

export interface PlayedKind {
    readonly name: string;
    /** Part of the requests, by number. */
    readonly part: number;
    readonly serviceMs: number;
    readonly objectiveMs: number;
    readonly deadlineMs: number;
    readonly priority: number;
}

export interface CustomerPlay {
    readonly seed: number;
    readonly slots: number;
    /** Work that usually arrives, as a part of the target's capacity. */
    readonly load: number;
    readonly kinds: readonly PlayedKind[];
    readonly durationMs: number;
    /** From this time on, `getFactor` multiplies the requests of a customer. */
    readonly floodFromMs: number;
    readonly getFactor: (rank: number, kind: PlayedKind) => number;
    /** False plays the naive gate, which knows no customers. */
    readonly isCustomerKnown: boolean;
    readonly retries?: number;
    /** Counts only the requests of this kind; all if absent. */
    readonly countedKind?: string;
}

export interface CustomerOutcome {
    readonly rank: number;
    /** Counts of requests that arrived in the flood. */
    offered: number;
    inTime: number;
    served: number;
}

const CUSTOMERS = 75;
/** Sizes of customers: the largest sends 29%, the smallest 0.16%. */
const ZIPF_EXPONENT = 1.2;
const STEP_MS = 5;
/** Refused callers that come back do so after this time, about a third of a common objective. */
const RETRY_AFTER_MS = 100;

const listWeights = (): readonly number[] => {
    const weights = Array.from({ length: CUSTOMERS }, (_, index) => (index + 1) ** -ZIPF_EXPONENT);
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    return weights.map((weight) => weight / total);
};

/** Mean 1; the standard deviation of the logarithm is 0.4. */
const drawVariation = (random: Random): number => {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return Math.exp(0.4 * normal - 0.08);
};

const drawCount = (mean: number, random: Random): number => {
    let count = 0;
    for (let left = Math.exp(-mean), drawn = random(); drawn > left; drawn *= random()) {
        count += 1;
    }
    return count;
};

/** Requests of one kind and customer. */
interface Source {
    readonly rank: number;
    readonly kind: PlayedKind;
    /** Part of the usual requests that this source and all before it send. */
    readonly partUntil: number;
}

const listSources = ({ kinds, getFactor }: CustomerPlay, isFlood: boolean): readonly Source[] => {
    let partUntil = 0;
    return listWeights().flatMap((weight, rank) => kinds.map((kind) => {
        partUntil += weight * kind.part * (isFlood ? getFactor(rank, kind) : 1);
        return { rank, kind, partUntil };
    }));
};

const drawSource = (sources: readonly Source[], drawn: number): Source | undefined =>
    sources.find(({ partUntil }) => drawn < partUntil);

const createPlayedGate = ({ slots }: CustomerPlay, clock: ReturnType<typeof createManualClock>): Gate => createGate({
    clock,
    slots,
    limit: { concurrency: 100, queue: 2 * slots, timeoutMs: 1000, retryRatio: 0.1 },
    options: { ...defaultGateOptions, queueOrder: "objectiveFirst", fairShare: "partners" },
});

/** Plays the requests and returns what became of those of each customer, the largest customer first. */
export const playCustomers = async (play: CustomerPlay): Promise<readonly CustomerOutcome[]> => {
    const clock = createManualClock();
    const gate = createPlayedGate(play, clock);
    const random = createSeededRandom(play.seed);
    const { signal } = new AbortController();
    setMaxListeners(0, signal);
    const outcomes = listWeights().map((_, rank): CustomerOutcome => ({ rank, offered: 0, inTime: 0, served: 0 }));

    const send = async (outcome: CustomerOutcome, kind: PlayedKind, isCounted: boolean): Promise<void> => {
        const firstAt = clock.monotonic();
        const [objective, deadline] = [firstAt + kind.objectiveMs, firstAt + kind.deadlineMs];
        outcome.offered += isCounted ? 1 : 0;
        for (let attempt = 0; attempt <= (play.retries ?? 0); attempt++) {
            const admission = await gate.admit({
                partner: "kushiro",
                service: "desk",
                customer: play.isCustomerKnown ? `customer-${outcome.rank}` : undefined,
                kind: kind.name,
                priority: kind.priority,
                objective,
                deadline,
                signal,
            });
            if (admission._tag === "Right") {
                await clock.sleep(kind.serviceMs * drawVariation(random), signal);
                admission.right.release("Answered");
                outcome.served += isCounted ? 1 : 0;
                outcome.inTime += isCounted && clock.monotonic() <= objective ? 1 : 0;
                return;
            }
            await clock.sleep(RETRY_AFTER_MS, signal);
        }
    };

    const meanServiceMs = play.kinds.reduce((total, { part, serviceMs }) => total + part * serviceMs, 0);
    const requestsPerStep = play.load * play.slots * STEP_MS / meanServiceMs;
    const calmSources = listSources(play, false);
    const floodSources = listSources(play, true);
    for (let time = 0; time < play.durationMs; time += STEP_MS) {
        const isFlood = time >= play.floodFromMs;
        const sources = isFlood ? floodSources : calmSources;
        const total = sources.at(-1)?.partUntil ?? 0;
        for (let count = drawCount(requestsPerStep * total, random); count > 0; count--) {
            const source = drawSource(sources, total * random());
            const outcome = outcomes[source?.rank ?? 0];
            if (source !== undefined && outcome !== undefined) {
                void send(outcome, source.kind, isFlood && source.kind.name === (play.countedKind ?? source.kind.name));
            }
        }
        await clock.advance(STEP_MS);
    }
    await clock.advance(5000);
    return outcomes;
};

const sum = (outcomes: readonly CustomerOutcome[], key: "offered" | "inTime" | "served"): number =>
    outcomes.reduce((total, outcome) => total + outcome[key], 0);

/** Returns the part of the customers' requests that was answered. */
export const computeServedPart = (outcomes: readonly CustomerOutcome[], key: "inTime" | "served" = "served"): number =>
    sum(outcomes, key) / Math.max(1, sum(outcomes, "offered"));

/** Adds the outcomes of several plays by customer, for customers that send too little in one. */
export const addOutcomes = (plays: readonly (readonly CustomerOutcome[])[]): readonly CustomerOutcome[] =>
    (plays[0] ?? []).map(({ rank }) => {
        const own = plays.map((outcomes) => outcomes.filter((outcome) => outcome.rank === rank)).flat();
        return { rank, offered: sum(own, "offered"), inTime: sum(own, "inTime"), served: sum(own, "served") };
    });
