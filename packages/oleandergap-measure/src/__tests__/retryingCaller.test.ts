import { expect } from "chai";
import type { Caller, CallRequest, CallResult } from "oleandergap-standins";
import { createManualClock, createSeededRandom } from "oleandergap-utils";
import { createRetryingCaller, MAX_ATTEMPTS } from "../requests/retryingCaller.js";
import { createMeasuredPost } from "../requests/serviceFleet.js";

const gateway = { address: "127.0.0.1", port: 1 };
const lodgement = createMeasuredPost("test", 1, 1000);
const answeredResult: CallResult =
    { kind: "Answered", runKey: lodgement.runKey, latencyMs: 1, target: "one", version: undefined };

const createRefusal = (retryAfterMs: number): CallResult => ({
    kind: "Refused", runKey: lodgement.runKey, latencyMs: 1, status: 503, verdict: "notRun", reason: "QueueFull",
    retryAfterMs,
});

describe("createRetryingCaller", () => {
    const clock = createManualClock();
    let calls: CallRequest[] = [];

    const createCaller = (respond: (call: number) => CallResult): Caller => {
        calls = [];
        return createRetryingCaller({
            caller: {
                call: (_gateway, request) => {
                    calls.push(request);
                    return Promise.resolve(respond(calls.length));
                },
                close: () => Promise.resolve(),
            },
            gateways: () => [gateway],
            clock,
            random: createSeededRandom(1),
            duplicateShare: 0,
            signal: new AbortController().signal,
        });
    };

    it("retries with the same key after Retry-After, capped at one second, until it gets a response", async () => {
        const caller = createCaller((call) => call < 3 ? createRefusal(call === 1 ? 300 : 60_000) : answeredResult);

        const result = caller.call(gateway, lodgement);
        await clock.advance(299);
        expect(calls).to.have.length(1);
        await clock.advance(1);
        expect(calls).to.have.length(2);
        await clock.advance(1000);

        expect((await result).kind).to.equal("Answered");
        expect(calls.map(({ idempotencyKey }) => idempotencyKey)).to.deep.equal(Array(3).fill("test-lodgement-1"));
    });

    it("stops after the maximum number of attempts", async () => {
        const result = createCaller(() => createRefusal(10)).call(gateway, lodgement);
        await clock.advance(100);

        expect((await result).kind).to.equal("Refused");
        expect(calls).to.have.length(MAX_ATTEMPTS);
    });
});
