import { expect } from "chai";
import fc from "fast-check";
import { createManualClock, createSeededRandom } from "oleandergap-utils";
import { startTargetStandIn, type TargetStandIn } from "../../target/targetStandIn.js";
import { createCaller, type Caller } from "../caller.js";
import type { CallRequest, CallResult } from "../callResult.js";
import { createLatencyRecorder } from "../latencyRecorder.js";
import { runLoad } from "../loadRun.js";

const createRequest = (service: string): CallRequest => ({
    service: { partner: "halloway", service },
    method: "POST",
    path: "/estate/7",
    runKey: "k1",
    body: new TextEncoder().encode("page"),
    timeoutMs: 5000,
    answerPadding: 50_000,
});

describe("createCaller", () => {
    let target: TargetStandIn;
    let caller: Caller;

    beforeEach(async () => {
        caller = createCaller();
        target = await startTargetStandIn({
            id: "t1",
            partner: "halloway",
            service: "wills-desk",
            serviceTime: { medianMs: 0 },
        });
    });

    afterEach(async () => {
        await caller.close();
        await target.crash();
    });

    it("accepts the complete response to its own request", async () => {
        const result = await caller.call(target, createRequest("wills-desk"));
        expect(result).to.include({ kind: "Answered", target: "t1" });
    });

    it("detects a response that belongs to another request", async () => {
        const result = await caller.call(target, createRequest("deed-vault"));
        expect(result).to.include({ kind: "Wrong", detail: "service: expected deed-vault, found wills-desk" });
    });

    it("reports a truncated response as a failure, never as a complete response", async () => {
        target.setFaults({ cutAnswerShare: 1 });
        const result = await caller.call(target, createRequest("wills-desk"));
        expect(result).to.include({ kind: "Failed", verdict: "mayHaveRun" });
    });

    it("reports that a request did not run if the connection was refused", async () => {
        await target.crash();
        const result = await caller.call(target, createRequest("wills-desk"));
        expect(result).to.include({ kind: "Failed", verdict: "notRun" });
    });
});

describe("createLatencyRecorder", () => {
    it("computes percentiles that match the number of values below them", () => {
        fc.assert(fc.property(fc.array(fc.double({ min: 0, max: 1e6, noNaN: true }), { minLength: 1 }), (values) => {
            const recorder = createLatencyRecorder();
            values.forEach(recorder.record);
            const { p99Ms, maxMs } = recorder.summarise();
            const countUpTo = values.filter((value) => value <= p99Ms).length;
            const countBelow = values.filter((value) => value < p99Ms).length;
            expect(countUpTo).to.be.at.least(values.length * 0.99);
            expect(countBelow).to.be.below(values.length * 0.99);
            expect(maxMs).to.equal(Math.max(...values));
        }));
    });
});

describe("runLoad", () => {
    it("keeps its rate without any response, and reports the requests that it could not send", async () => {
        const clock = createManualClock();
        const resolvers: ((result: CallResult) => void)[] = [];
        const caller: Caller = {
            call: () => new Promise((resolve) => resolvers.push(resolve)),
            close: () => Promise.resolve(),
        };
        const run = runLoad({
            caller,
            clock,
            random: createSeededRandom(7),
            ratePerSecond: 100,
            durationMs: 1000,
            maxInFlight: 60,
            gateways: () => [{ address: "127.0.0.1", port: 1 }],
            createRequest: () => createRequest("wills-desk"),
        });
        await clock.advance(2000);
        resolvers.forEach((resolve) =>
            resolve({ kind: "Failed", runKey: "k1", latencyMs: 1, verdict: "notRun", detail: "x" }));
        const report = await run;

        expect(report).to.include({ sent: 60, failed: 60 });
        expect(report.notSent).to.be.within(10, 80);
    });
});
