import { setMaxListeners } from "node:events";
import { expect } from "chai";
import { createManualClock, createSeededRandom } from "oleandergap-utils";
import { createGate, defaultGateOptions, type GateOptions, type QueueOrder } from "../index.js";

const SLOTS = 12;
const SERVICE_MS = 100;
const OBJECTIVE_MS = 300;
const DEADLINE_MS = 1000;
const STEP_MS = 5;

interface LoadResult {
    readonly offered: number;
    /** Number of requests answered within the objective; `late` counts those answered after it. */
    readonly inTime: number;
    readonly late: number;
    /** Longest time that a request waited before it was refused. */
    readonly longestWaitBeforeRefusalMs: number;
}

/** Retry behaviour of the callers. */
interface CallerBehaviour {
    /** Maximum number of retries of a refused request, each after a third of the time until its deadline. */
    readonly retries: number;
    /** Whether the objective of a retry counts from the first attempt. */
    readonly isObjectiveFromFirstAttempt: boolean;
}

const NO_RETRIES: CallerBehaviour = { retries: 0, isObjectiveFromFirstAttempt: true };

/** Returns the service time of one run. */
type DrawServiceTime = () => number;

/**
 * Creates log-normally distributed service times as they occur in real services. The standard deviation of the
 * logarithm is 0.5.
 */
const createVaryingServiceTimes = (seed: number): DrawServiceTime => {
    const random = createSeededRandom(seed);
    return () => {
        const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
        return SERVICE_MS * Math.exp(0.5 * normal - 0.125);
    };
};

/** Offers `rate` times the target's capacity for `durationMs`, evenly spaced. */
const runLoad = async (
    rate: number,
    durationMs: number,
    queueOrder: QueueOrder,
    { retries, isObjectiveFromFirstAttempt }: CallerBehaviour = NO_RETRIES,
    drawServiceTime: DrawServiceTime = () => SERVICE_MS,
    objectiveMs = OBJECTIVE_MS,
): Promise<LoadResult> => {
    const clock = createManualClock();
    const options: GateOptions = { ...defaultGateOptions, queueOrder, fairShare: "partners" };
    const limit = { concurrency: 100, queue: 500, timeoutMs: 1000, retryRatio: 0.1 };
    const gate = createGate({ clock, slots: SLOTS, limit, options });
    const { signal } = new AbortController();
    // All simulated callers add a listener to this signal.
    setMaxListeners(0, signal);
    const counts = { offered: 0, inTime: 0, late: 0, longestWaitBeforeRefusalMs: 0 };

    const submit = async (firstAttemptAt = clock.monotonic(), retriesLeft = retries): Promise<void> => {
        const attemptAt = clock.monotonic();
        counts.offered += attemptAt === firstAttemptAt ? 1 : 0;
        const objectiveStart = isObjectiveFromFirstAttempt ? firstAttemptAt : attemptAt;
        const objective = queueOrder === "objectiveFirst" ? objectiveStart + objectiveMs : undefined;
        const deadline = firstAttemptAt + DEADLINE_MS;
        const admission = await gate.admit({ partner: "kushiro", service: "desk", deadline, objective, signal });
        if (admission._tag === "Left") {
            counts.longestWaitBeforeRefusalMs = Math.max(
                counts.longestWaitBeforeRefusalMs,
                clock.monotonic() - attemptAt,
            );
            if (retriesLeft > 0) {
                await clock.sleep((deadline - clock.monotonic()) / 3, signal);
                await submit(firstAttemptAt, retriesLeft - 1);
            }
            return;
        }
        await clock.sleep(drawServiceTime(), signal);
        admission.right.release("Answered");
        const isInTime = clock.monotonic() - firstAttemptAt <= objectiveMs;
        counts.inTime += isInTime ? 1 : 0;
        counts.late += isInTime ? 0 : 1;
    };

    const requestsPerStep = (rate * SLOTS * STEP_MS) / SERVICE_MS;
    let dueRequests = 0;
    for (let time = 0; time < durationMs; time += STEP_MS) {
        for (dueRequests += requestsPerStep; dueRequests >= 1; dueRequests -= 1) {
            void submit();
        }
        await clock.advance(STEP_MS);
    }
    await clock.advance(2 * DEADLINE_MS);
    return counts;
};

const computeCapacity = (durationMs: number): number => (durationMs * SLOTS) / SERVICE_MS;

describe("createGate with objectives", () => {
    it("meets the objective for as many requests as the target can run when offered twice its capacity", async () => {
        // Failure: a target is busy all the time, and almost no response meets its objective.
        // Cause: twice as many requests arrive as the target can run. A queue in arrival order grows as long as the
        // deadline allows, and every request waits through all of it.
        const oldestFirst = await runLoad(2, 5000, "oldestFirst");
        const objectiveFirst = await runLoad(2, 5000, "objectiveFirst");
        expect(oldestFirst.inTime).to.be.below(0.2 * computeCapacity(5000));
        expect(objectiveFirst.inTime).to.be.above(0.9 * computeCapacity(5000));
        expect(objectiveFirst.longestWaitBeforeRefusalMs).to.be.below(OBJECTIVE_MS);
    });

    it("meets the objective for as many requests as the target can run when refused callers retry", async () => {
        // Failure: under overload a sixth of the responses are late, and as many requests are refused that could have
        // met their objective.
        // Cause: refused callers retry twice at 1.3 times the capacity, and a retry is ranked like a new request
        // although its response is late anyway. Of a capacity of 600, 539 are on time and 115 late if the objective
        // counts from the retry; 624 and 14 if it counts from the first attempt.
        const fromLastAttempt = await runLoad(
            1.3, 5000, "objectiveFirst", { retries: 2, isObjectiveFromFirstAttempt: false },
        );
        const fromFirstAttempt = await runLoad(
            1.3, 5000, "objectiveFirst", { retries: 2, isObjectiveFromFirstAttempt: true },
        );
        expect(fromLastAttempt.inTime).to.be.below(0.92 * computeCapacity(5000));
        expect(fromFirstAttempt.inTime).to.be.above(computeCapacity(5000));
        expect(fromFirstAttempt.late).to.be.below(fromLastAttempt.late / 4);
    });

    it("meets the objective for most requests when service times vary", async () => {
        // Failure: under overload a third to a half of the responses are late, although requests are refused to prevent
        // this.
        // Cause: with the median as estimate, a request counts as on time if half of the runs of its kind would be, so
        // the queue grows until half are late. At 1.33 times the capacity, with the first seed and a capacity of 1200
        // in 10 s, 924 responses are on time and 314 late with the median; 1117 and 111 with the 90th percentile.
        for (const seed of [1, 2, 3]) {
            const { inTime, late } = await runLoad(
                1.33, 10_000, "objectiveFirst", NO_RETRIES, createVaryingServiceTimes(seed),
            );
            expect(inTime).to.be.above(1070);
            expect(late).to.be.below(0.13 * inTime);
        }
    });

    it("meets the objective for some requests when the service time is close to the objective", async () => {
        // Failure: almost all responses that could meet their objective are late.
        // Cause: the 90th percentile of the service time exceeds the objective, so without a bound on the margin all
        // requests count as late. The typical run takes two thirds of the objective, 1.33 times the capacity arrives,
        // and refused callers retry. On time of a capacity of 1200 with objectives of 120, 160, 200 and 300 ms: 665,
        // 822, 856 and 924 with the median; 40, 276, 999 and 1149 with the 90th percentile; 552, 952, 1059 and 1117
        // with the bounded margin.
        for (const [objectiveMs, minimumInTime] of [[120, 520], [160, 900], [200, 1000], [300, 1070]] as const) {
            const callers: CallerBehaviour = { retries: 2, isObjectiveFromFirstAttempt: true };
            const { inTime } = await runLoad(
                1.33, 10_000, "objectiveFirst", callers, createVaryingServiceTimes(1), objectiveMs,
            );
            expect(inTime).to.be.above(minimumInTime);
        }
    });

    it("serves late requests of a short burst when there is capacity after it", async () => {
        const result = await runLoad(4, 400, "objectiveFirst");
        expect(result.late).to.be.above(0);
        expect(result.inTime).to.be.above(0.8 * (result.offered - result.late) * 0.5);
    });

    it("refuses no request while the load is below the capacity of the target", async () => {
        const result = await runLoad(0.9, 3000, "objectiveFirst");
        expect(result.inTime).to.equal(result.offered);
    });

    it("admits a request with an early objective when many requests with later objectives wait", async () => {
        // Failure: a busy target refuses calls that requests running at other targets depend on, and these requests
        // fail.
        // Cause: requests with an objective of 400 ms fill the queue. The wait of a call with an objective of 100 ms is
        // estimated as if it started after all requests that arrived before it.
        const clock = createManualClock();
        const options: GateOptions = { ...defaultGateOptions, queueOrder: "objectiveFirst", fairShare: "partners" };
        const limit = { concurrency: 100, queue: 500, timeoutMs: 1000, retryRatio: 0.1 };
        const gate = createGate({ clock, slots: 2, limit, options });
        const submit = (kind: string, objectiveMs: number, timeoutMs: number): ReturnType<typeof gate.admit> => {
            const now = clock.monotonic();
            const { signal } = new AbortController();
            const [objective, deadline] = [now + objectiveMs, now + timeoutMs];
            return gate.admit({ partner: "kushiro", service: "desk", kind, objective, deadline, signal });
        };
        for (let count = 0; count < 8; count++) {
            for (const [kind, serviceMs] of [["lodge", 60], ["call", 20]] as const) {
                const admission = await submit(kind, 10_000, 10_000);
                await clock.advance(serviceMs);
                if (admission._tag === "Right") {
                    admission.right.release("Answered");
                }
            }
        }
        const running = [await submit("lodge", 400, 1200), await submit("lodge", 400, 1200)];
        const lodges = Array.from({ length: 8 }, () => submit("lodge", 400, 1200));
        const call = submit("call", 100, 250);
        await clock.advance(10);
        if (running[0]?._tag === "Right") {
            running[0].right.release("Answered");
        }
        expect((await call)._tag).to.equal("Right");
        expect(gate.load().queued).to.equal(lodges.length);
    });

    it("admits a late call when the queue is flooded with less urgent requests", async () => {
        // Failure: a tenth of the requests at one service fail because an overloaded service refuses the calls that
        // they make.
        // Cause: lodgements arrive at twice the rate at which they run, and calls take a tenth of the target's time. A
        // call that would miss its objective, but not its deadline, needs spare capacity, and the less urgent
        // lodgements that start after it were counted against it.
        const clock = createManualClock();
        const options: GateOptions = { ...defaultGateOptions, queueOrder: "objectiveFirst", fairShare: "partners" };
        const limit = { concurrency: 100, queue: 500, timeoutMs: 1000, retryRatio: 0.1 };
        const gate = createGate({ clock, slots: SLOTS, limit, options });
        const { signal } = new AbortController();
        setMaxListeners(0, signal);
        const callCounts = { offered: 0, refused: 0 };
        const submit = async (kind: "call" | "lodge"): Promise<void> => {
            const now = clock.monotonic();
            // A call whose caller has little time left is late from the start.
            const [objective, deadline, serviceMs, priority] = kind === "call" ?
                [now + 15, now + 250, 20, 0] as const :
                [now + 400, now + 1200, 120, 1] as const;
            const admission = await gate.admit({
                partner: "kushiro", service: "desk", kind, priority, objective, deadline, signal,
            });
            callCounts.offered += kind === "call" ? 1 : 0;
            if (admission._tag === "Left") {
                callCounts.refused += kind === "call" ? 1 : 0;
                return;
            }
            await clock.sleep(serviceMs, signal);
            admission.right.release("Answered");
        };
        for (let time = 0; time < 4000; time += STEP_MS) {
            void submit("lodge");
            if (time % 15 === 0) {
                void submit("call");
            }
            await clock.advance(STEP_MS);
        }
        await clock.advance(2000);
        expect(callCounts.offered).to.be.above(250);
        expect(callCounts.refused).to.be.below(0.02 * callCounts.offered);
    });
});
