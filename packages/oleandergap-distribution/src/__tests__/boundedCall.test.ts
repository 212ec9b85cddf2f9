import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import { createManualClock } from "oleandergap-utils";
import { callWithTimeout } from "../boundedCall.js";

describe("callWithin", () => {
    it("gives up on a callee that never answers and ignores its signal", async () => {
        // Symptom: one partner's versions stop arriving at one node.
        // Sequence: a peer accepts a connection and then stays silent.
        // Cause: a call without a bound of its own.
        const clock = createManualClock();
        const limits = { clock, timeoutMs: 100, signal: new AbortController().signal };
        const call = callWithTimeout(() => () => new Promise<never>(() => undefined), limits);
        await clock.advance(100);
        expect(await call).to.deep.equal(either.left({ kind: "TimedOut" }));
    });

    it("ends with its signal, and hands on results and errors", async () => {
        const clock = createManualClock();
        const controller = new AbortController();
        const limits = { clock, timeoutMs: 100, signal: controller.signal };
        expect(await callWithTimeout(() => async () => either.right(7), limits)).to.deep.equal(either.right(7));
        const thrown = await callWithTimeout(() => () => Promise.reject(new Error("broken")), limits);
        expect(thrown).to.deep.equal(either.left({ kind: "Threw", detail: "Error: broken" }));
        controller.abort();
        const ended = await callWithTimeout(() => () => new Promise<never>(() => undefined), limits);
        expect(ended).to.deep.equal(either.left({ kind: "TimedOut" }));
        expect(clock.pendingTimers()).to.equal(0);
    });
});
