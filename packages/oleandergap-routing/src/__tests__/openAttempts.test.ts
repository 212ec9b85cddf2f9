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

const answered = (answer: string): Result => ({ outcome: either.right(answer), load: undefined, retriedBelow: false });
const failed = (failure: Parameters<typeof either.left>[0]): Result =>
    ({ outcome: either.left(failure), load: undefined, retriedBelow: false } as Result);

/** An attempt that ends when the test says so. */
interface Controlled {
    readonly result: Promise<Result>;
    readonly end: (result: Result) => void;
}

const createControlled = (): Controlled => {
    let end: Controlled["end"] = () => undefined;
    const result = new Promise<Result>((resolve) => {
        end = resolve;
    });
    return { result, end };
};

/** Enough turns for all that waits only for promises. */
const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/*
 * Symptom: reads that a target works on are cut, and their callers get an answer of the system's own.
 * Sequence: a gate whose signs of life are late was silent to another request already, so that there is no second try
 *   at it; the request is sent elsewhere, and refused there.
 * Cause: the silent attempt was closed as soon as the next one began.
 */
describe("an attempt that is silent and goes on", () => {
    const clock = createManualClock();
    let open: Controlled;
    let second: Controlled;
    let cancelled: number;
    let secondSignal: AbortSignal | undefined;
    let discarded: string[];

    /** Two targets: the first attempt is silent and stays open, the second is under the test's control. */
    const execute = (): Promise<Either<RoutedFailure, Routed<string>>> => {
        open = createControlled();
        second = createControlled();
        cancelled = 0;
        discarded = [];
        const picker = createTargetPicker<RoutableTarget>({ ownZone: "hall-a", clock, random: createSeededRandom(1) });
        let attempts = 0;
        return createRequestRouter({ clock, picker }).execute<string>({
            service: testService,
            row: createRow({ "hall-a": 1 }, 0.1),
            targets: createTargets("hall-a", 2),
            idempotent: true,
            replayable: () => true,
            deadline: clock.monotonic() + 1000,
            retriesAllowed: true,
            signal: new AbortController().signal,
        }, (_target, { signal }) => {
            attempts += 1;
            if (attempts > 1) {
                secondSignal = signal;
                return second.result;
            }
            return Promise.resolve({
                ...failed(answerLost),
                open: {
                    result: open.result,
                    cancel: () => {
                        cancelled += 1;
                    },
                },
            });
        }, (answer) => discarded.push(answer));
    };

    it("gives the answer when the request is refused elsewhere", async () => {
        const routed = execute();
        second.end(failed(refused("DeadlineTooShort")));
        await settle();
        open.end(answered("late"));
        expect(either.toUnion(await routed)).to.include({ answer: "late" });
        expect(cancelled).to.equal(0);
        expect(discarded).to.deep.equal([]);
    });

    it("gives the answer when it comes before another one, which is given up", async () => {
        const routed = execute();
        await settle();
        open.end(answered("late"));
        expect(either.toUnion(await routed)).to.include({ answer: "late" });
        expect(secondSignal?.aborted).to.equal(true);
        second.end(answered("second"));
        await settle();
        expect(discarded).to.deep.equal(["second"]);
    });

    it("is given up when another target answers first", async () => {
        const routed = execute();
        second.end(answered("second"));
        expect(either.toUnion(await routed)).to.include({ answer: "second" });
        expect(cancelled).to.equal(1);
        open.end(answered("late"));
        await settle();
        expect(discarded).to.deep.equal(["late"]);
    });

    it("leaves the verdict open when it ends without an answer", async () => {
        const routed = execute();
        second.end(failed(refused("DeadlineTooShort")));
        await settle();
        open.end(failed(answerLost));
        const result = await routed;
        expect(either.isLeft(result) && result.left.failure.verdict).to.equal("mayHaveRun");
    });
});
