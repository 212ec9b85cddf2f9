import { expect } from "chai";
import { createGateHarness, testLimit, type TrackedRequest } from "./gateHarness.js";

describe("createGate under failure", () => {
    // Failure: a caller waits until its deadline and is then refused.
    // Cause: the target is saturated, and the queue accepts every request while it has room, even one whose deadline is
    // before its expected start.
    it("refuses a request immediately if it cannot finish before its deadline", async () => {
        const harness = createGateHarness(1);
        await harness.addServiceTimeSamples(100);
        await harness.submit();
        await harness.submit("halloway", 350);
        const refused = await harness.submit("halloway", 250);
        expect([refused.state, refused.reason]).to.deep.equal(["refused", "DeadlineTooShort"]);
        expect(harness.gate.load().queued).to.equal(1);
        expect(harness.gate.load().expectedWaitMs).to.equal(200);
    });

    // Failure: after a cold start, a target stays idle while all its requests are refused.
    // Cause: the first requests take seconds, so the estimate exceeds all deadlines. Refused requests are not measured,
    // so the estimate never decreases although later requests would be fast.
    it("recovers from a service time estimate that is too high after a cold start", async () => {
        const harness = createGateHarness(4);
        await harness.addServiceTimeSamples(3000);
        let refused = 0;
        for (let count = 0; count < 60; count++) {
            const request = await harness.submit("halloway", 1000);
            refused += request.state === "refused" ? 1 : 0;
            await harness.clock.advance(20);
            await harness.release(request);
        }
        expect(refused).to.equal(0);
        await Promise.all(Array.from({ length: 4 }, () => harness.submit("halloway", 1000)));
        expect(harness.gate.load().inFlight).to.equal(4);
    });

    // Failure: callers wait until their deadlines although the target has been hanging for a long time.
    // Cause: requests that never end occupy all slots, and the wait is predicted from earlier service times.
    it("refuses a request immediately if an unresponsive target releases no slot", async () => {
        const harness = createGateHarness(2);
        await harness.addServiceTimeSamples(50);
        await harness.submit();
        await harness.submit();
        await harness.clock.advance(5000);
        const request = await harness.submit("halloway", 2000);
        expect([request.state, request.reason]).to.deep.equal(["refused", "DeadlineTooShort"]);
    });

    // Failure: a request whose caller has disconnected still occupies a slot and delays the next request.
    // Cause: the queue does not react when the caller of a waiting request disconnects.
    it("removes a waiting request immediately when its caller disconnects", async () => {
        const harness = createGateHarness(1);
        const first = await harness.submit();
        const second = await harness.submit();
        const third = await harness.submit();
        second.disconnect();
        await harness.clock.advance(0);
        expect([second.state, second.reason, harness.gate.load().queued]).to.deep.equal(["refused", "Cancelled", 1]);
        await harness.release(first);
        expect(third.state).to.equal("running");
    });

    // Failure: a request is refused only at its deadline, although the refusal was certain earlier.
    // Cause: slots are released more slowly than predicted, and the timer of the waiting request is set to the deadline
    // instead of the last possible start.
    it("refuses a waiting request as soon as it can no longer finish before its deadline", async () => {
        const harness = createGateHarness(1);
        await harness.addServiceTimeSamples(100);
        const startedAt = harness.clock.monotonic();
        await harness.submit();
        const waiting = await harness.submit("halloway", 400);
        await harness.clock.advance(1000);
        expect([waiting.state, waiting.reason]).to.deep.equal(["refused", "DeadlinePassed"]);
        expect(waiting.settledAt - startedAt).to.equal(300);
    });

    // Failure: the process spins at full load and makes no progress.
    // Cause: at the last possible start of a waiting request, a rounding error leaves a positive remaining time, and
    // the timer is set to the current time again and again. This needs a service time that was measured before the
    // clock passed a power of two, here 2^20: half of all sums with later times are then rounded down.
    it("never sets a timer to the current time again", async () => {
        const harness = createGateHarness(1, { queue: 200 });
        const roundedServiceMs = 858_993_461 / 2 ** 33;
        await harness.addServiceTimeSamples(roundedServiceMs, 40);
        await harness.clock.advance(60_000);
        await harness.submit();
        for (let count = 0; count < 100; count++) {
            await harness.submit("halloway", 20 + count / 7);
        }
        await harness.clock.advance(100);
        expect(harness.listInState("waiting")).to.deep.equal([]);
        expect(harness.clock.pendingTimers()).to.equal(0);
    });

    // Failure: requests at a node whose target is gone wait until their deadlines.
    // Cause: the target is removed, which sets its slots to 0. No slot is released any more, and only a released slot
    // advances the queue.
    it("refuses all waiting requests when the target is removed", async () => {
        const harness = createGateHarness(1);
        const running = await harness.submit();
        const waiting = await harness.submit();
        harness.gate.setLimit({ concurrency: 1, queue: 8, timeoutMs: 1, retryRatio: 0 }, 0);
        await harness.clock.advance(0);
        expect([waiting.state, waiting.reason]).to.deep.equal(["refused", "NotReady"]);
        expect((await harness.submit()).reason).to.equal("NotReady");
        expect(running.state).to.equal("running");
    });

    // Failure: one hung request causes the gate to refuse all requests with a usual deadline.
    // Cause: a request hangs for a minute, and a plain mean of the service times includes this outlier.
    it("keeps admitting requests after one outlier of the service time", async () => {
        const harness = createGateHarness(2);
        await harness.addServiceTimeSamples(20, 40);
        const hung = await harness.submit();
        await harness.clock.advance(60_000);
        await harness.release(hung);
        await harness.submit();
        await harness.submit();
        const waiting: TrackedRequest = await harness.submit("halloway", 200);
        expect(waiting.state).to.equal("waiting");
    });

    // Failure: urgent requests wait for many less urgent ones and miss their objectives.
    // Cause: the queue is full of requests of a low priority and distinguishes only callers, not priorities.
    it("starts urgent requests first and evicts less urgent ones from a full queue", async () => {
        const harness = createGateHarness(1);
        const first = await harness.submit();
        const signal = new AbortController().signal;
        const order: string[] = [];
        const submit = (name: string, priority: number): void => {
            const deadline = harness.clock.monotonic() + 60_000;
            void harness.gate.admit({ partner: "kushiro", service: name, priority, deadline, signal })
                .then((decision) => {
                    order.push(`${name} ${decision._tag}`);
                    if (decision._tag === "Right") {
                        decision.right.release("Answered");
                    }
                });
        };
        for (let count = 0; count < testLimit.queue; count++) {
            submit(`slow${count}`, 2);
        }
        submit("urgent", 1);
        await harness.clock.advance(0);
        expect(order).to.have.length(1);
        expect(order[0]).to.match(/^slow\d+ Left$/);
        await harness.release(first);
        await harness.clock.advance(0);
        expect(order[1]).to.equal("urgent Right");
        expect(order.slice(2).every((line) => line.endsWith("Right"))).to.equal(true);
    });

    // Failure: short calls are refused for their short deadlines although slots are free.
    // Cause: the target runs requests of 900 ms and calls of 50 ms, and one service time estimate covers both kinds. A
    // call with 250 ms left is then refused.
    it("estimates the service time of each kind of request separately", async () => {
        const harness = createGateHarness(4);
        const { clock, gate } = harness;
        const submit = (kind: string, timeoutMs: number): ReturnType<typeof gate.admit> => gate.admit({
            partner: "kushiro", service: "desk", kind, deadline: clock.monotonic() + timeoutMs,
            signal: new AbortController().signal,
        });
        for (let count = 0; count < 8; count++) {
            for (const [kind, serviceMs] of [["long", 900], ["short", 50]] as const) {
                const admission = await submit(kind, 10_000);
                await clock.advance(serviceMs);
                if (admission._tag === "Right") {
                    admission.right.release("Answered");
                }
            }
        }
        await submit("long", 10_000);
        expect((await submit("short", 250))._tag).to.equal("Right");
        expect((await submit("long", 250))._tag).to.equal("Left");
    });
});
