import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import { createManualClock } from "oleandergap-utils";
import { callWithTimeout } from "../callWithTimeout.js";

describe("callWithTimeout", () => {
    it("times out if the callee never responds and ignores its signal", async () => {
        // Guards against a call without its own timeout. A peer accepts a connection and never responds, and the
        // versions of one partner stop arriving at one node.
        const clock = createManualClock();
        const limits = { clock, timeoutMs: 100, signal: new AbortController().signal };
        const call = callWithTimeout(() => () => new Promise<never>(() => undefined), limits);
        await clock.advance(100);
        expect(await call).to.deep.equal(either.left({ kind: "TimedOut" }));
    });

    it("ends when its signal aborts, and returns results and errors", async () => {
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
