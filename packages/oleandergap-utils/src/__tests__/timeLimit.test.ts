import { getEventListeners } from "node:events";
import { expect } from "chai";
import { createManualClock, linkSignal, raceAbort, startTimeLimit } from "../index.js";

describe("startTimeLimit", () => {
    it("leaves no listener at an outer signal that outlives the time limit", async () => {
        // Failure: the memory usage of a node grows with each operator request until the VM runs out of memory.
        // Cause: each request derives its signal from the signal of the node, and this long-lived signal retains every
        // derived signal after the request has ended.
        const clock = createManualClock();
        const nodeController = new AbortController();
        for (let request = 0; request < 100; request++) {
            const limit = startTimeLimit(clock, 1000, nodeController.signal);
            limit.cancel();
        }
        expect(getEventListeners(nodeController.signal, "abort")).to.deep.equal([]);
        expect(clock.pendingTimers()).to.equal(0);
    });

    it("aborts when the time limit expires, and distinguishes this from an abort of the outer signal", async () => {
        const clock = createManualClock();
        const outer = new AbortController();
        const expiredLimit = startTimeLimit(clock, 1000, outer.signal);
        await clock.advance(1000);
        expect([expiredLimit.signal.aborted, expiredLimit.hasExpired()]).to.deep.equal([true, true]);
        const abortedLimit = startTimeLimit(clock, 1000, outer.signal);
        outer.abort();
        expect([abortedLimit.signal.aborted, abortedLimit.hasExpired()]).to.deep.equal([true, false]);
    });

    it("is aborted from the start if the outer signal is already aborted", () => {
        expect(linkSignal(AbortSignal.abort()).signal.aborted).to.equal(true);
    });
});

describe("raceAbort", () => {
    it("stops waiting for work that ignores its signal, and removes its listener when the work ends", async () => {
        const outer = new AbortController();
        const pendingRace = raceAbort(new Promise<string>(() => undefined), outer.signal, () => "given up");
        expect(await raceAbort(Promise.resolve("done"), outer.signal, () => "given up")).to.equal("done");
        await new Promise((resolve) => setImmediate(resolve));
        expect(getEventListeners(outer.signal, "abort")).to.have.length(1);
        outer.abort();
        expect(await pendingRace).to.equal("given up");
        expect(await raceAbort(Promise.resolve("done"), outer.signal, () => "given up")).to.equal("given up");
    });
});
