// Symptom: nodes without any request take half as much processor time as those that serve.
// Sequence: a dozen periodic duties, each with a timer of its own, fire at a dozen different moments of each 100 ms.
// Cause: each of them wakes the process. Counted here: the timers of the clock below that fire.
import { expect } from "chai";
import type { Clock, Milliseconds } from "oleandergap-types";
import { createBackgroundClock } from "../backgroundClock.js";
import { createManualClock, type ManualClock } from "../manualClock.js";

const STEP_MS: Milliseconds = 100;
const SECOND_MS: Milliseconds = 1000;

interface CountedClock extends Clock {
    readonly wakeUps: () => number;
}

const countWakeUps = (clock: ManualClock): CountedClock => {
    const moments = new Set<Milliseconds>();
    return {
        ...clock,
        after: (delay, callback) => clock.after(delay, () => {
            moments.add(clock.monotonic());
            callback();
        }),
        wakeUps: () => moments.size,
    };
};

const repeat = (clock: Clock, period: Milliseconds, run: () => void): void => {
    clock.after(period, () => {
        run();
        repeat(clock, period, run);
    });
};

const PERIODS: readonly Milliseconds[] = [100, 100, 110, 130, 170, 230, 310, 430, 590, 700, 1000, 1000];

describe("createBackgroundClock", () => {
    it("wakes once a step at most, whatever the number of duties", async () => {
        const manual = createManualClock(12_345);
        const counted = countWakeUps(manual);
        const clock = createBackgroundClock(counted, STEP_MS);
        PERIODS.forEach((period) => repeat(clock, period, () => undefined));
        await manual.advance(10 * SECOND_MS);
        expect(counted.wakeUps()).to.be.at.most(10 * SECOND_MS / STEP_MS + 1);

    });

    it("differs from timers of their own, which wake at three times as many moments", async () => {
        const manual = createManualClock(12_345);
        const counted = countWakeUps(manual);
        PERIODS.forEach((period) => repeat(counted, period, () => undefined));
        await manual.advance(10 * SECOND_MS);
        expect(counted.wakeUps()).to.be.at.least(3 * 10 * SECOND_MS / STEP_MS);
    });

    it("fires no timer more than a step late, and none before its time by more than the slack", async () => {
        const manual = createManualClock(777);
        const clock = createBackgroundClock(manual, STEP_MS);
        const late: Milliseconds[] = [];
        for (const delay of [0, 1, 50, 99, 100, 101, 250, 999]) {
            const due = manual.monotonic() + delay;
            clock.after(delay, () => late.push(manual.monotonic() - due));
        }
        await manual.advance(2 * SECOND_MS);
        expect(late).to.have.length(8);
        late.forEach((time) => expect(time).to.be.within(-10, STEP_MS));
    });

    it("keeps a period of one step", async () => {
        const manual = createManualClock(0);
        const clock = createBackgroundClock(manual, STEP_MS);
        let runs = 0;
        repeat(clock, STEP_MS, () => {
            runs += 1;
            // The duty itself takes a moment.
            manual.freeze(3);
        });
        await manual.advance(10 * SECOND_MS);
        expect(runs).to.be.at.least(95);
    });

    it("cancels timers, and leaves nothing armed when none waits", async () => {
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

    it("goes on with the other duties' later turns when one throws", async () => {
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

    it("ends a sleep with its signal", async () => {
        const manual = createManualClock();
        const clock = createBackgroundClock(manual, STEP_MS);
        const life = new AbortController();
        const slept = clock.sleep(SECOND_MS, life.signal);
        life.abort();
        await slept;
        expect(manual.pendingTimers()).to.equal(0);
    });
});
