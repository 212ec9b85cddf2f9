import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import type { Milliseconds } from "oleandergap-types";
import { createManualClock, createSeededRandom, type ManualClock } from "oleandergap-utils";
import {
    createOverloadThrottle,
    createRequestRouter,
    createTargetPicker,
    type AttemptResult,
    type RoutableTarget,
} from "../index.js";
import { createRow, createTargets, testService } from "./pickerHarness.js";
import { answerLost } from "./routerHarness.js";

const CALL_INTERVAL_MS: Milliseconds = 5;
const RUN_MS: Milliseconds = 50;
/** Time until a caller disconnects. Calls expire together with the runs that made them. */
const CALLER_TIMEOUT_MS: Milliseconds = 400;

/** How the only target handles a call: it responds quickly, just in time, or after the caller has disconnected. */
type CallHandling = "Answers" | "AnswersSlowly" | "ReadsTooLate";

const RUN_DURATIONS: Readonly<Record<CallHandling, Milliseconds>> =
    { Answers: RUN_MS, AnswersSlowly: 0.8 * CALLER_TIMEOUT_MS, ReadsTooLate: 2 * CALLER_TIMEOUT_MS };

interface CallSimulation {
    readonly clock: ManualClock;
    /**
     * Returns the calls since the previous invocation: all of them, those that were sent, and those that were answered.
     */
    readonly takeCounts: () => { readonly requested: number; readonly sent: number; readonly answered: number };
    readonly simulate: (
        durationMs: Milliseconds,
        handling: CallHandling,
        callerTimeoutMs?: Milliseconds,
    ) => Promise<void>;
}

/** Creates one node that calls a service with one target 200 times per second. */
const createCallSimulation = (): CallSimulation => {
    const clock = createManualClock();
    const random = createSeededRandom(5);
    const picker = createTargetPicker<RoutableTarget>({ localZone: "hall-a", clock, random });
    const throttle = createOverloadThrottle(clock, random);
    const router = createRequestRouter({ clock, picker, throttle });
    const row = { ...createRow({ "hall-a": 1 }, 0.1), placement: "load" as const };
    const targets = createTargets("hall-a", 1);
    let requested = 0;
    let sent = 0;
    let answered = 0;

    const attempt = (handling: CallHandling, signal: AbortSignal): Promise<AttemptResult<string>> =>
        new Promise((resolve) => {
            sent += 1;
            signal.addEventListener("abort", () =>
                resolve({ outcome: either.left(answerLost), load: undefined, retriedDownstream: false }));
            clock.after(RUN_DURATIONS[handling], () =>
                resolve({ outcome: either.right("answer"), load: undefined, retriedDownstream: false }));
        });

    const call = async (handling: CallHandling, callerTimeoutMs: Milliseconds): Promise<void> => {
        requested += 1;
        const caller = new AbortController();
        clock.after(callerTimeoutMs, () => caller.abort());
        const routed = await router.execute<string>({
            service: testService,
            row,
            targets,
            idempotent: true,
            canReplayBody: () => true,
            deadline: clock.monotonic() + CALLER_TIMEOUT_MS,
            retriesAllowed: true,
            kind: "status",
            signal: caller.signal,
        }, (_target, { signal }) => attempt(handling, signal));
        answered += either.isRight(routed) ? 1 : 0;
    };

    return {
        clock,
        takeCounts: () => {
            const counts = { requested, sent, answered };
            requested = 0;
            sent = 0;
            answered = 0;
            return counts;
        },
        simulate: async (durationMs, handling, callerTimeoutMs = CALLER_TIMEOUT_MS) => {
            for (let passed = 0; passed < durationMs; passed += CALL_INTERVAL_MS) {
                void call(handling, callerTimeoutMs);
                await clock.advance(CALL_INTERVAL_MS);
            }
        },
    };
};

/*
 * Guards against a service that answers almost no calls while nearly all slots of its target are free. Calls arrive
 * faster than the target's node reads them, and their callers disconnect first. If an unanswered call counted as
 * accepted, each node would keep sending all of its calls.
 */
describe("calls whose callers disconnect before the calls are read", () => {
    it("are refused at the first node until the target's node has caught up", async () => {
        const simulation = createCallSimulation();
        await simulation.simulate(1_000, "Answers");
        // Responses take longer before they miss the deadline altogether; the typical latency must not grow with them.
        await simulation.simulate(2_000, "AnswersSlowly");
        await simulation.simulate(2_000, "ReadsTooLate");
        simulation.takeCounts();
        await simulation.simulate(1_000, "ReadsTooLate");
        const lateCounts = simulation.takeCounts();
        expect(lateCounts.sent / lateCounts.requested).to.be.at.most(1 / 3);
        await simulation.simulate(3_000, "Answers");
        simulation.takeCounts();
        await simulation.simulate(1_000, "Answers");
        const recoveredCounts = simulation.takeCounts();
        expect(recoveredCounts.answered / recoveredCounts.requested).to.be.at.least(0.95);
    });

    it("are not counted against the service if their callers disconnect early", async () => {
        const simulation = createCallSimulation();
        await simulation.simulate(1_000, "Answers");
        simulation.takeCounts();
        await simulation.simulate(2_000, "Answers", RUN_MS / 2);
        const { requested, sent } = simulation.takeCounts();
        expect(sent).to.equal(requested);
    });
});
