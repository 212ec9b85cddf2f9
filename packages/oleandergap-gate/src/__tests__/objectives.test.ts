import { setMaxListeners } from "node:events";
import { expect } from "chai";
import { createManualClock, createSeededRandom } from "oleandergap-utils";
import { createGate, defaultGateOptions, type GateOptions, type QueueOrder } from "../index.js";

const SLOTS = 12;
const SERVICE_MS = 100;
const OBJECTIVE_MS = 300;
const DEADLINE_MS = 1000;
const STEP_MS = 5;

interface Played {
    readonly offered: number;
    /** Answered within the objective, and later. */
    readonly inTime: number;
    readonly late: number;
    /** Longest time that a refused request was held. */
    readonly longestHeldMs: number;
}

/** How callers behave. */
interface Callers {
    /** How often a refused caller comes back, each time after a third of the time that it has left. */
    readonly returns: number;
    /** Whether the objective of one that comes back counts from its first attempt. */
    readonly countsFromFirst: boolean;
}

const ONCE: Callers = { returns: 0, countsFromFirst: true };

/** Gives each run its time. */
type DrawServiceTime = () => number;

/** Run times whose logarithms are spread by a half around the usual one, as those of real services are. */
const createVaryingTimes = (seed: number): DrawServiceTime => {
    const random = createSeededRandom(seed);
    return () => {
        const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
        return SERVICE_MS * Math.exp(0.5 * normal - 0.125);
    };
};

/** Offers `rate` times what the target can do for `durationMs`, evenly spaced. */
const play = async (
    rate: number,
    durationMs: number,
    queueOrder: QueueOrder,
    { returns, countsFromFirst }: Callers = ONCE,
    drawServiceTime: DrawServiceTime = () => SERVICE_MS,
    objectiveMs = OBJECTIVE_MS,
): Promise<Played> => {
    const clock = createManualClock();
    const options: GateOptions = { ...defaultGateOptions, queueOrder, fairShare: "partners" };
    const limit = { concurrency: 100, queue: 500, timeoutMs: 1000, retryRatio: 0.1 };
    const gate = createGate({ clock, slots: SLOTS, limit, options });
    const { signal } = new AbortController();
    // All callers of the model listen to it.
    setMaxListeners(0, signal);
    const counts = { offered: 0, inTime: 0, late: 0, longestHeldMs: 0 };

    const ask = async (first = clock.monotonic(), returnsLeft = returns): Promise<void> => {
        const at = clock.monotonic();
        counts.offered += at === first ? 1 : 0;
        const countedFrom = countsFromFirst ? first : at;
        const objective = queueOrder === "objectiveFirst" ? countedFrom + objectiveMs : undefined;
        const deadline = first + DEADLINE_MS;
        const admission = await gate.admit({ partner: "kushiro", service: "desk", deadline, objective, signal });
        if (admission._tag === "Left") {
            counts.longestHeldMs = Math.max(counts.longestHeldMs, clock.monotonic() - at);
            if (returnsLeft > 0) {
                await clock.sleep((deadline - clock.monotonic()) / 3, signal);
                await ask(first, returnsLeft - 1);
            }
            return;
        }
        await clock.sleep(drawServiceTime(), signal);
        admission.right.release("Answered");
        const isInTime = clock.monotonic() - first <= objectiveMs;
        counts.inTime += isInTime ? 1 : 0;
        counts.late += isInTime ? 0 : 1;
    };

    const perStep = (rate * SLOTS * STEP_MS) / SERVICE_MS;
    let due = 0;
    for (let time = 0; time < durationMs; time += STEP_MS) {
        for (due += perStep; due >= 1; due -= 1) {
            void ask();
        }
        await clock.advance(STEP_MS);
    }
    await clock.advance(2 * DEADLINE_MS);
    return counts;
};

const capacityOf = (durationMs: number): number => (durationMs * SLOTS) / SERVICE_MS;

describe("createGate with objectives", () => {
    it("answers in time what the target can do when twice as much is offered", async () => {
        // Symptom: a target is busy all the time, and hardly anybody is answered in time.
        // Sequence: for seconds, twice as many requests arrive as the target can run.
        // Cause: a queue by arrival is as long as the deadline allows, and each request waits through all of it.
        const byArrival = await play(2, 5000, "oldestFirst");
        const byObjective = await play(2, 5000, "objectiveFirst");
        expect(byArrival.inTime).to.be.below(0.2 * capacityOf(5000));
        expect(byObjective.inTime).to.be.above(0.9 * capacityOf(5000));
        expect(byObjective.longestHeldMs).to.be.below(OBJECTIVE_MS);
    });

    it("answers in time what the target can do when refused callers come back", async () => {
        // Symptom: under overload a sixth of the answers come late, and as many callers are refused who would have been
        //   answered in time.
        // Sequence: a third more requests arrive than the target can run; those refused come back, twice.
        // Cause: a caller that comes back is ranked like one that has just come, although its answer is late anyway.
        // Of a capacity of 600: 539 in time and 115 late when counted from the return; 624 and 14 when counted from the
        // first attempt.
        const byReturn = await play(1.3, 5000, "objectiveFirst", { returns: 2, countsFromFirst: false });
        const byFirst = await play(1.3, 5000, "objectiveFirst", { returns: 2, countsFromFirst: true });
        expect(byReturn.inTime).to.be.below(0.92 * capacityOf(5000));
        expect(byFirst.inTime).to.be.above(capacityOf(5000));
        expect(byFirst.late).to.be.below(byReturn.late / 4);
    });

    it("answers most in time also when runs take different times", async () => {
        // Symptom: in an overload a third to a half of the answers come late, although requests are refused for it.
        // Sequence: a third more requests arrive than the target can run; their runs differ in length.
        // Cause: a request counted as in time if half of its like would be; the queue grew until half were late.
        // Of a capacity of 1200 in 10 s, with the first seed: 924 in time and 314 late before, 1117 and 111 now.
        for (const seed of [1, 2, 3]) {
            const { inTime, late } = await play(1.33, 10_000, "objectiveFirst", ONCE, createVaryingTimes(seed));
            expect(inTime).to.be.above(1070);
            expect(late).to.be.below(0.13 * inTime);
        }
    });

    it("answers in time what it can also where runs take about as long as the objective", async () => {
        // Symptom: of answers that could be in time, nearly all come late.
        // Sequence: a third more arrives than a target can run; its typical run takes two thirds of the objective, and
        //   refused callers come back.
        // Cause: what nine in ten runs keep to is longer than the objective; by that alone, all requests are late.
        // In time of a capacity of 1200 with objectives of 120, 160, 200 and 300 ms: 665, 822, 856 and 924 by the
        // median, 40, 276, 999 and 1149 by nine in ten, 552, 952, 1059 and 1117 with the bound.
        for (const [objectiveMs, least] of [[120, 520], [160, 900], [200, 1000], [300, 1070]] as const) {
            const returning: Callers = { returns: 2, countsFromFirst: true };
            const { inTime } = await play(
                1.33, 10_000, "objectiveFirst", returning, createVaryingTimes(1), objectiveMs,
            );
            expect(inTime).to.be.above(least);
        }
    });

    it("serves late what came in a short burst, when there is room after it", async () => {
        const burst = await play(4, 400, "objectiveFirst");
        expect(burst.late).to.be.above(0);
        expect(burst.inTime).to.be.above(0.8 * (burst.offered - burst.late) * 0.5);
    });

    it("refuses nobody while the target can do what is offered", async () => {
        const calm = await play(0.9, 3000, "objectiveFirst");
        expect(calm.inTime).to.equal(calm.offered);
    });

    it("takes in a request with a close objective however many with later ones wait", async () => {
        // Symptom: calls of running targets are refused at a busy target, and the requests that made them fail.
        // Sequence: requests with an objective of 400 ms fill the queue; a call with one of 100 ms arrives.
        // Cause: its wait is forecast as if it started after all that arrived before it.
        const clock = createManualClock();
        const options: GateOptions = { ...defaultGateOptions, queueOrder: "objectiveFirst", fairShare: "partners" };
        const limit = { concurrency: 100, queue: 500, timeoutMs: 1000, retryRatio: 0.1 };
        const gate = createGate({ clock, slots: 2, limit, options });
        const ask = (kind: string, objectiveMs: number, timeoutMs: number): ReturnType<typeof gate.admit> => {
            const now = clock.monotonic();
            const { signal } = new AbortController();
            const [objective, deadline] = [now + objectiveMs, now + timeoutMs];
            return gate.admit({ partner: "kushiro", service: "desk", kind, objective, deadline, signal });
        };
        for (let count = 0; count < 8; count++) {
            for (const [kind, serviceMs] of [["lodge", 60], ["call", 20]] as const) {
                const admission = await ask(kind, 10_000, 10_000);
                await clock.advance(serviceMs);
                if (admission._tag === "Right") {
                    admission.right.release("Answered");
                }
            }
        }
        const running = [await ask("lodge", 400, 1200), await ask("lodge", 400, 1200)];
        const lodges = Array.from({ length: 8 }, () => ask("lodge", 400, 1200));
        const call = ask("call", 100, 250);
        await clock.advance(10);
        if (running[0]?._tag === "Right") {
            running[0].right.release("Answered");
        }
        expect((await call)._tag).to.equal("Right");
        expect(gate.load().queued).to.equal(lodges.length);
    });

    it("takes in a late call that leaves a flood of less urgent requests no part of its wait", async () => {
        // Symptom: a tenth of the requests at one service fail, because another service refuses the calls that they
        //   make while it is overloaded by requests that are less urgent than calls.
        // Sequence: lodgements arrive at twice the rate at which they run; calls take a tenth of the target's time, and
        //   some would be answered after their objective, yet long before their deadline.
        // Cause: a late request needs spare time, and lodgements that start after it were counted against it.
        const clock = createManualClock();
        const options: GateOptions = { ...defaultGateOptions, queueOrder: "objectiveFirst", fairShare: "partners" };
        const limit = { concurrency: 100, queue: 500, timeoutMs: 1000, retryRatio: 0.1 };
        const gate = createGate({ clock, slots: SLOTS, limit, options });
        const { signal } = new AbortController();
        setMaxListeners(0, signal);
        const calls = { offered: 0, refused: 0 };
        const ask = async (kind: "call" | "lodge"): Promise<void> => {
            const now = clock.monotonic();
            // A call whose caller has little time left is late from the start.
            const [objective, deadline, serviceMs, priority] = kind === "call" ?
                [now + 15, now + 250, 20, 0] as const :
                [now + 400, now + 1200, 120, 1] as const;
            const admission = await gate.admit({
                partner: "kushiro", service: "desk", kind, priority, objective, deadline, signal,
            });
            calls.offered += kind === "call" ? 1 : 0;
            if (admission._tag === "Left") {
                calls.refused += kind === "call" ? 1 : 0;
                return;
            }
            await clock.sleep(serviceMs, signal);
            admission.right.release("Answered");
        };
        for (let time = 0; time < 4000; time += STEP_MS) {
            void ask("lodge");
            if (time % 15 === 0) {
                void ask("call");
            }
            await clock.advance(STEP_MS);
        }
        await clock.advance(2000);
        expect(calls.offered).to.be.above(250);
        expect(calls.refused).to.be.below(0.02 * calls.offered);
    });
});
