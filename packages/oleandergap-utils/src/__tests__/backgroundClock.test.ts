// Failure: idle nodes use half as much CPU time as nodes that serve requests.
// Cause: a dozen periodic tasks with separate timers fire at a dozen different times in each 100 ms, and each of them
// wakes the process up. The tests count the different times at which timers of the underlying clock fire.
import { expect } from "chai";
import type { Clock, Milliseconds } from "oleandergap-types";
import { createBackgroundClock } from "../backgroundClock.js";
import { createManualClock, type ManualClock } from "../manualClock.js";

const STEP_MS: Milliseconds = 100;
const SECOND_MS: Milliseconds = 1000;

interface CountingClock extends Clock {
    readonly wakeUps: () => number;
}

const createCountingClock = (clock: ManualClock): CountingClock => {
    const firingTimes = new Set<Milliseconds>();
    return {
        ...clock,
        after: (delay, callback) => clock.after(delay, () => {
            firingTimes.add(clock.monotonic());
            callback();
        }),
        wakeUps: () => firingTimes.size,
    };
};

const startPeriodicTimer = (clock: Clock, period: Milliseconds, run: () => void): void => {
    clock.after(period, () => {
        run();
        startPeriodicTimer(clock, period, run);
    });
};

const PERIODS_MS: readonly Milliseconds[] = [100, 100, 110, 130, 170, 230, 310, 430, 590, 700, 1000, 1000];

describe("createBackgroundClock", () => {
    it("fires timers of the underlying clock at most once per step, for any number of periodic tasks", async () => {
        const manual = createManualClock(12_345);
        const counted = createCountingClock(manual);
        const clock = createBackgroundClock(counted, STEP_MS);
        PERIODS_MS.forEach((period) => startPeriodicTimer(clock, period, () => undefined));
        await manual.advance(10 * SECOND_MS);
        expect(counted.wakeUps()).to.be.at.most(10 * SECOND_MS / STEP_MS + 1);

    });

    it("replaces separate timers, which fire at three times as many different times or more", async () => {
        const manual = createManualClock(12_345);
        const counted = createCountingClock(manual);
        PERIODS_MS.forEach((period) => startPeriodicTimer(counted, period, () => undefined));
        await manual.advance(10 * SECOND_MS);
        expect(counted.wakeUps()).to.be.at.least(3 * 10 * SECOND_MS / STEP_MS);
    });

    it("fires each timer at most one step late and at most the tolerance early", async () => {
        const manual = createManualClock(777);
        const clock = createBackgroundClock(manual, STEP_MS);
        const delaysAfterDue: Milliseconds[] = [];
        for (const delay of [0, 1, 50, 99, 100, 101, 250, 999]) {
            const dueAt = manual.monotonic() + delay;
            clock.after(delay, () => delaysAfterDue.push(manual.monotonic() - dueAt));
        }
        await manual.advance(2 * SECOND_MS);
        expect(delaysAfterDue).to.have.length(8);
        delaysAfterDue.forEach((delayAfterDue) => expect(delayAfterDue).to.be.within(-10, STEP_MS));
    });

    it("runs a periodic task at each step if the period is one step", async () => {
        const manual = createManualClock(0);
        const clock = createBackgroundClock(manual, STEP_MS);
        let runs = 0;
        startPeriodicTimer(clock, STEP_MS, () => {
            runs += 1;
            // Running the task takes some time.
            manual.freeze(3);
        });
        await manual.advance(10 * SECOND_MS);
        expect(runs).to.be.at.least(95);
    });

    it("cancels timers, and starts no timer of the underlying clock when none is pending", async () => {
        const manual = createManualClock();
        const clock = createBackgroundClock(manual, STEP_MS);
        let fired = 0;
        const run = (): void => {
            fired += 1;
        };
        const cancelFirst = clock.after(50, run);
        const cancelSecond = clock.after(50, run);
        cancelFirst();
        cancelFirst();
        await manual.advance(SECOND_MS);
        expect(fired).to.equal(1);
        cancelSecond();
        expect(manual.pendingTimers()).to.equal(0);
        clock.after(50, run)();
        expect(manual.pendingTimers()).to.equal(0);
    });

    it("runs later timers of other tasks after a task throws", async () => {
        const manual = createManualClock();
        const timers: (() => void)[] = [];
        const clock = createBackgroundClock({
            ...manual,
            after: (delay, callback) => manual.after(delay, () => timers.push(callback)),
        }, STEP_MS);
        let fired = 0;
        clock.after(50, () => {
            throw new Error("failed");
        });
        clock.after(550, () => {
            fired += 1;
        });
        await manual.advance(SECOND_MS / 2);
        expect(() => timers.shift()?.()).to.throw("failed");
        await manual.advance(SECOND_MS);
        timers.shift()?.();
        expect(fired).to.equal(1);
    });

    it("ends a sleep when its signal aborts", async () => {
        const manual = createManualClock();
        const clock = createBackgroundClock(manual, STEP_MS);
        const controller = new AbortController();
        const sleeping = clock.sleep(SECOND_MS, controller.signal);
        controller.abort();
        await sleeping;
        expect(manual.pendingTimers()).to.equal(0);
    });
});
