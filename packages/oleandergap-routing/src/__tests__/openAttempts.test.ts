import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { createManualClock, createSeededRandom } from "oleandergap-utils";
import {
    createRequestRouter,
    createTargetPicker,
    type AttemptResult,
    type RoutableTarget,
    type Routed,
    type RoutedFailure,
} from "../index.js";
import { createRow, createTargets, testService } from "./pickerHarness.js";
import { answerLost, refused } from "./routerHarness.js";

type Result = AttemptResult<string>;

const answered = (answer: string): Result =>
    ({ outcome: either.right(answer), load: undefined, retriedDownstream: false });
const failed = (failure: Parameters<typeof either.left>[0]): Result =>
    ({ outcome: either.left(failure), load: undefined, retriedDownstream: false } as Result);

/** An attempt that ends when the test resolves it. */
interface ControlledAttempt {
    readonly result: Promise<Result>;
    readonly end: (result: Result) => void;
}

const createControlledAttempt = (): ControlledAttempt => {
    let end: ControlledAttempt["end"] = () => undefined;
    const result = new Promise<Result>((resolve) => {
        end = resolve;
    });
    return { result, end };
};

/** Waits until all pending promise callbacks have run. */
const flushPromises = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/*
 * Guards against aborted reads whose callers receive an error of the routing layer. The gate's request heartbeats are
 * late, so the request is sent to another target and refused there. The first attempt must still be running at that
 * time.
 */
describe("an attempt that is left running after a heartbeat timeout", () => {
    const clock = createManualClock();
    let openAttempt: ControlledAttempt;
    let secondAttempt: ControlledAttempt;
    let cancellations: number;
    let secondSignal: AbortSignal | undefined;
    let discardedAnswers: string[];

    /**
     * Routes a request with two targets: the first attempt times out without a request heartbeat and stays open, and
     * the test controls the second.
     */
    const execute = (): Promise<Either<RoutedFailure, Routed<string>>> => {
        openAttempt = createControlledAttempt();
        secondAttempt = createControlledAttempt();
        cancellations = 0;
        discardedAnswers = [];
        const picker = createTargetPicker<RoutableTarget>({ localZone: "hall-a", clock, random: createSeededRandom(1) });
        let attempts = 0;
        return createRequestRouter({ clock, picker }).execute<string>({
            service: testService,
            row: createRow({ "hall-a": 1 }, 0.1),
            targets: createTargets("hall-a", 2),
            idempotent: true,
            canReplayBody: () => true,
            deadline: clock.monotonic() + 1000,
            retriesAllowed: true,
            signal: new AbortController().signal,
        }, (_target, { signal }) => {
            attempts += 1;
            if (attempts > 1) {
                secondSignal = signal;
                return secondAttempt.result;
            }
            return Promise.resolve({
                ...failed(answerLost),
                open: {
                    result: openAttempt.result,
                    cancel: () => {
                        cancellations += 1;
                    },
                },
            });
        }, (answer) => discardedAnswers.push(answer));
    };

    it("provides the response when the other target refuses the request", async () => {
        const routed = execute();
        secondAttempt.end(failed(refused("DeadlineTooShort")));
        await flushPromises();
        openAttempt.end(answered("late"));
        expect(either.toUnion(await routed)).to.include({ answer: "late" });
        expect(cancellations).to.equal(0);
        expect(discardedAnswers).to.deep.equal([]);
    });

    it("cancels the other attempt when it responds first", async () => {
        const routed = execute();
        await flushPromises();
        openAttempt.end(answered("late"));
        expect(either.toUnion(await routed)).to.include({ answer: "late" });
        expect(secondSignal?.aborted).to.equal(true);
        secondAttempt.end(answered("second"));
        await flushPromises();
        expect(discardedAnswers).to.deep.equal(["second"]);
    });

    it("is cancelled when another target responds first", async () => {
        const routed = execute();
        secondAttempt.end(answered("second"));
        expect(either.toUnion(await routed)).to.include({ answer: "second" });
        expect(cancellations).to.equal(1);
        openAttempt.end(answered("late"));
        await flushPromises();
        expect(discardedAnswers).to.deep.equal(["late"]);
    });

    it("leads to the verdict mayHaveRun when it ends without a response", async () => {
        const routed = execute();
        secondAttempt.end(failed(refused("DeadlineTooShort")));
        await flushPromises();
        openAttempt.end(failed(answerLost));
        const result = await routed;
        expect(either.isLeft(result) && result.left.failure.verdict).to.equal("mayHaveRun");
    });
});
