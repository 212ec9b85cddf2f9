import { expect } from "chai";
import { createGateHarness, testLimit, type TrackedRequest } from "./gateHarness.js";

describe("createGate under failure", () => {
    // Symptom: a caller waits for the whole deadline and is then told that nothing ran.
    // Sequence: the target is saturated; a request arrives whose deadline ends before its turn would come.
    // Cause: the queue takes every request as long as there is room.
    it("refuses at once what cannot finish inside its deadline", async () => {
        const harness = createGateHarness(1);
        await harness.teach(100);
        await harness.ask();
        await harness.ask("halloway", 350);
        const refused = await harness.ask("halloway", 250);
        expect([refused.state, refused.reason]).to.deep.equal(["refused", "DeadlineTooShort"]);
        expect(harness.gate.load().queued).to.equal(1);
        expect(harness.gate.load().expectedWaitMs).to.equal(200);
    });

    // Symptom: after a cold start a target stays idle while all its requests are refused.
    // Sequence: the first requests take seconds; the estimate exceeds all deadlines; later ones would be quick.
    // Cause: refused requests are never measured, so that the estimate cannot come down.
    it("recovers from the estimate of a cold start", async () => {
        const harness = createGateHarness(4);
        await harness.teach(3000);
        let refused = 0;
        for (let count = 0; count < 60; count++) {
            const request = await harness.ask("halloway", 1000);
            refused += request.state === "refused" ? 1 : 0;
            await harness.clock.advance(20);
            await harness.release(request);
        }
        expect(refused).to.equal(0);
        await Promise.all(Array.from({ length: 4 }, () => harness.ask("halloway", 1000)));
        expect(harness.gate.load().inFlight).to.equal(4);
    });

    // Symptom: callers wait for their deadlines although the target has been hanging for long.
    // Sequence: all slots are taken by requests that never end; more requests arrive.
    // Cause: the wait is forecast from the service times of better days.
    it("refuses at once when a silent target frees no slot", async () => {
        const harness = createGateHarness(2);
        await harness.teach(50);
        await harness.ask();
        await harness.ask();
        await harness.clock.advance(5000);
        const request = await harness.ask("halloway", 2000);
        expect([request.state, request.reason]).to.deep.equal(["refused", "DeadlineTooShort"]);
    });

    // Symptom: a caller who gave up long ago still takes a turn, and the next one waits for it.
    // Sequence: a waiting request's caller hangs up; a slot is freed.
    // Cause: the queue is not told of the hang-up.
    it("drops a waiting request at once when its caller hangs up", async () => {
        const harness = createGateHarness(1);
        const first = await harness.ask();
        const second = await harness.ask();
        const third = await harness.ask();
        second.hangUp();
        await harness.clock.advance(0);
        expect([second.state, second.reason, harness.gate.load().queued]).to.deep.equal(["refused", "Cancelled", 1]);
        await harness.release(first);
        expect(third.state).to.equal("running");
    });

    // Symptom: a refusal comes only at the deadline, though it was certain before.
    // Sequence: a request waits; the slots free more slowly than forecast; too little time is left to run.
    // Cause: the queue's timer watches the deadline and not the last moment to start.
    it("answers a waiting request as soon as it can no longer finish", async () => {
        const harness = createGateHarness(1);
        await harness.teach(100);
        const startedAt = harness.clock.monotonic();
        await harness.ask();
        const waiting = await harness.ask("halloway", 400);
        await harness.clock.advance(1000);
        expect([waiting.state, waiting.reason]).to.deep.equal(["refused", "DeadlinePassed"]);
        expect(waiting.settledAt - startedAt).to.equal(300);
    });

    // Symptom: the process spins at full load and nothing moves.
    // Sequence: a waiting request's last moment to start comes; by a rounding error there seems to be time left.
    // Cause: the timer arms itself for the same moment again and again. It needs a service time measured before the
    // clock passed a power of two, 2^20 here: half of all sums with later times are then rounded down.
    it("never arms a timer for the present moment again", async () => {
        const harness = createGateHarness(1, { queue: 200 });
        const roundedServiceMs = 858_993_461 / 2 ** 33;
        await harness.teach(roundedServiceMs, 40);
        await harness.clock.advance(60_000);
        await harness.ask();
        for (let count = 0; count < 100; count++) {
            await harness.ask("halloway", 20 + count / 7);
        }
        await harness.clock.advance(100);
        expect(harness.inState("waiting")).to.deep.equal([]);
        expect(harness.clock.pendingTimers()).to.equal(0);
    });

    // Symptom: requests wait at a node whose target is gone until their deadlines.
    // Sequence: requests wait; the target is withdrawn, which sets its slots to none.
    // Cause: nothing frees a slot any more, and only freed slots move the queue.
    it("refuses all waiting requests when the target is gone", async () => {
        const harness = createGateHarness(1);
        const running = await harness.ask();
        const waiting = await harness.ask();
        harness.gate.setLimit({ concurrency: 1, queue: 8, timeoutMs: 1, retryRatio: 0 }, 0);
        await harness.clock.advance(0);
        expect([waiting.state, waiting.reason]).to.deep.equal(["refused", "NotReady"]);
        expect((await harness.ask()).reason).to.equal("NotReady");
        expect(running.state).to.equal("running");
    });

    // Symptom: one hung request makes the gate refuse everybody with a usual deadline.
    // Sequence: a request hangs for a minute and ends; usual requests follow.
    // Cause: a plain average takes the outlier for the service time.
    it("is not misled by an outlier", async () => {
        const harness = createGateHarness(2);
        await harness.teach(20, 40);
        const hung = await harness.ask();
        await harness.clock.advance(60_000);
        await harness.release(hung);
        await harness.ask();
        await harness.ask();
        const waiting: TrackedRequest = await harness.ask("halloway", 200);
        expect(waiting.state).to.equal("waiting");
    });

    // Symptom: urgent requests wait behind a flood of less urgent ones, and miss their time.
    // Sequence: the queue fills with requests of a low rank; then a request of a high rank arrives.
    // Cause: the queue knows callers only, and not how urgent their requests are.
    it("starts urgent requests first, and makes room for them in a full queue", async () => {
        const harness = createGateHarness(1);
        const first = await harness.ask();
        const signal = new AbortController().signal;
        const order: string[] = [];
        const ask = (name: string, priority: number): void => {
            const deadline = harness.clock.monotonic() + 60_000;
            void harness.gate.admit({ partner: "kushiro", service: name, priority, deadline, signal })
                .then((decision) => {
                    order.push(`${name} ${decision._tag}`);
                    if (decision._tag === "Right") {
                        decision.right.release("Answered");
                    }
                });
        };
        for (let place = 0; place < testLimit.queue; place++) {
            ask(`slow${place}`, 2);
        }
        ask("urgent", 1);
        await harness.clock.advance(0);
        expect(order).to.have.length(1);
        expect(order[0]).to.match(/^slow\d+ Left$/);
        await harness.release(first);
        await harness.clock.advance(0);
        expect(order[1]).to.equal("urgent Right");
        expect(order.slice(2).every((line) => line.endsWith("Right"))).to.equal(true);
    });

    // Symptom: short calls are refused for their short deadlines although slots are free.
    // Sequence: the target runs requests of 900 ms and calls of 50 ms; a call with 250 ms left arrives.
    // Cause: one forecast of the service time for requests that have nothing in common.
    it("forecasts the service time of each kind of request by itself", async () => {
        const harness = createGateHarness(4);
        const { clock, gate } = harness;
        const ask = (kind: string, timeoutMs: number): ReturnType<typeof gate.admit> => gate.admit({
            partner: "kushiro", service: "desk", kind, deadline: clock.monotonic() + timeoutMs,
            signal: new AbortController().signal,
        });
        for (let count = 0; count < 8; count++) {
            for (const [kind, serviceMs] of [["long", 900], ["short", 50]] as const) {
                const admission = await ask(kind, 10_000);
                await clock.advance(serviceMs);
                if (admission._tag === "Right") {
                    admission.right.release("Answered");
                }
            }
        }
        await ask("long", 10_000);
        expect((await ask("short", 250))._tag).to.equal("Right");
        expect((await ask("long", 250))._tag).to.equal("Left");
    });
});
