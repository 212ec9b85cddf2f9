import { expect } from "chai";
import type { AttemptOutcome, RoutableTarget } from "../index.js";
import {
    answered,
    connectFailed,
    countFor,
    createPickerHarness,
    createRow,
    createTargets,
    type PickerHarness,
} from "./pickerHarness.js";

const singleZoneRow = createRow({ "hall-a": 1 });

const createSingleZoneHarness = (count: number): PickerHarness =>
    createPickerHarness(createTargets("hall-a", count), singleZoneRow);

const failTargets = (...nodeIds: readonly string[]) => ({ nodeId }: RoutableTarget) =>
    nodeIds.includes(nodeId) ? connectFailed : answered;

/** Fails the first `count` targets until they are ejected. Returns the number of requests that failed. */
const failUntilEjected = async (harness: PickerHarness, count: number): Promise<number> => {
    const nodeIds = Array.from({ length: count }, (_, index) => `hall-a-${index}`);
    let failed = 0;
    for (let round = 0; round < 10_000 && (harness.zone("hall-a")?.ejected ?? 0) < count; round++) {
        const counts = await harness.send(1, failTargets(...nodeIds));
        failed += nodeIds.reduce((sum, nodeId) => sum + (counts.get(nodeId) ?? 0), 0);
    }
    return failed;
};

describe("ejection", () => {
    // Guards against requests that keep failing after a target has died. A target that accepts no connections has no
    // load, so a choice by load alone would prefer it.
    it("ejects a failing target after three failures and readmits it after one successful probe", async () => {
        const harness = createSingleZoneHarness(6);
        expect(await failUntilEjected(harness, 1)).to.equal(3);
        expect((await harness.send(400, failTargets("hall-a-0"))).get("hall-a-0")).to.equal(undefined);
        harness.clock.freeze(2000);
        const probe = harness.pick();
        expect(probe?.target.nodeId).to.equal("hall-a-0");
        for (let count = 0; count < 50; count++) {
            expect(harness.pick()?.target.nodeId).to.not.equal("hall-a-0");
        }
        probe?.report(answered);
        expect(harness.zone("hall-a")?.ejected).to.equal(0);
    });

    it("keeps a target whose node refuses single requests because it stops too soon for them", async () => {
        const harness = createSingleZoneHarness(6);
        const refuseSome = ({ nodeId }: RoutableTarget): AttemptOutcome =>
            nodeId === "hall-a-0" ? { kind: "Refused", reason: "StopTooSoon" } : answered;
        await harness.send(100, refuseSome);
        expect(harness.zone("hall-a")?.ejected).to.equal(0);
        expect((await harness.send(400, refuseSome)).get("hall-a-0")).to.be.above(20);
    });

    // Guards against a failed request per second for as long as a target is down, which happens if failed probes do not
    // increase the backoff.
    it("increases the interval between probes of a dead target", async () => {
        const harness = createSingleZoneHarness(6);
        const firstMinute = (await harness.send(6000, failTargets("hall-a-0"), 10)).get("hall-a-0") ?? 0;
        const secondMinute = (await harness.send(6000, failTargets("hall-a-0"), 10)).get("hall-a-0") ?? 0;
        expect(firstMinute).to.be.within(4, 11);
        expect(secondMinute).to.be.within(1, 4);
    });

    // Guards against a service that refuses all requests although some of its targets are healthy, because ejection
    // continues until no target is available.
    it("ejects at most half of a zone and serves all requests once the targets recover", async () => {
        const harness = createSingleZoneHarness(6);
        expect(await failUntilEjected(harness, 3), "failed requests and probes").to.be.within(9, 16);
        await harness.send(300, () => connectFailed);
        expect(harness.zone("hall-a")?.ejected).to.equal(3);
        const counts = await harness.send(100);
        expect(countFor(counts, "hall-a")).to.equal(100);
    });

    // Guards against a target that responds in a second instead of 10 ms and keeps its share. A slow disk or another
    // busy VM on the same host causes no failures, and the health endpoint stays healthy.
    it("ejects a target that is far slower than its zone", async () => {
        const harness = createSingleZoneHarness(6);
        const counts = await harness.send(600, ({ nodeId }) =>
            ({ kind: "Answered", latencyMs: nodeId === "hall-a-0" ? 1000 : 10 }));
        expect(counts.get("hall-a-0")).to.be.within(1, 4);
    });

    // Guards against a zone of two targets that stays slow although one target is healthy. The healthy one was ejected
    // after a few slow responses; then the other one became slow, but at most one of two may be ejected.
    it("readmits a healthy target in place of a worse one", async () => {
        const harness = createPickerHarness(createTargets("hall-a", 2), singleZoneRow, { ejectionMs: 60_000 });
        const respondWithLatencies = (latencies: Readonly<Record<string, number>>) => ({ nodeId }: RoutableTarget) =>
            ({ kind: "Answered", latencyMs: latencies[nodeId] ?? 0 } as const);
        await harness.send(100, respondWithLatencies({ "hall-a-0": 10, "hall-a-1": 10 }));
        for (let count = 0; count < 4; count++) {
            harness.pick(["hall-a-1"])?.report({ kind: "Answered", latencyMs: 100 });
        }
        expect(harness.zone("hall-a")?.ejected).to.equal(1);
        await harness.send(300, respondWithLatencies({ "hall-a-0": 100, "hall-a-1": 1000 }));
        const counts = await harness.send(100, respondWithLatencies({ "hall-a-0": 100, "hall-a-1": 1000 }));
        expect(counts.get("hall-a-1")).to.equal(undefined);
    });

    // Guards against requests that hang until their deadlines, one after the other. A frozen process keeps its
    // connections open, so no failure is counted before a deadline passes.
    it("avoids a target that sends no responses to its requests in flight", async () => {
        const harness = createSingleZoneHarness(6);
        const frozenNodeId = harness.pick()?.target.nodeId;
        const busyLoad = { inFlight: 10, queued: 40, capacity: 10, expectedWaitMs: 0 };
        let hangingRequests = 0;
        for (let count = 0; count < 500; count++) {
            const chosen = harness.pick();
            if (chosen?.target.nodeId === frozenNodeId) {
                hangingRequests += 1;
            }
            else {
                chosen?.report(answered, busyLoad);
            }
            harness.clock.freeze(100);
        }
        expect(hangingRequests).to.be.at.most(10);
    });

    // Guards against a node that attracts more and more requests and refuses them with `NotReady`. Its target is gone
    // but still listed, and a node that refuses at once has nothing in flight and appears to be the least loaded.
    it("ejects a node that refuses requests because its target is gone", async () => {
        const harness = createSingleZoneHarness(6);
        const counts = await harness.send(300, ({ nodeId }) =>
            nodeId === "hall-a-0" ? { kind: "Refused", reason: "NotReady" } : answered);
        expect(counts.get("hall-a-0")).to.equal(1);
    });

    // Guards against the ejection of healthy targets when callers set deadlines shorter than the typical service time
    // and each timeout counts as a failure of the target.
    it("does not eject a target for timeouts shorter than its typical service time", async () => {
        const harness = createSingleZoneHarness(4);
        await harness.send(50, () => ({ kind: "Answered", latencyMs: 100 }));
        await harness.send(50, () => ({ kind: "AnswerLost", waitedMs: 20, isTimeout: true }));
        expect(harness.zone("hall-a")?.ejected).to.equal(0);
    });

    // Guards against losing a request that must not run twice, because it was used to probe whether an ejected target
    // has recovered.
    it("prefers requests that can be retried as probes", async () => {
        const harness = createSingleZoneHarness(6);
        await failUntilEjected(harness, 1);
        harness.clock.freeze(1010);
        const nonRetryableNodeIds = Array.from({ length: 30 }, () => harness.pick([], false)?.target.nodeId);
        expect(nonRetryableNodeIds).to.not.include("hall-a-0");
        expect(harness.pick([], true)?.target.nodeId).to.equal("hall-a-0");
    });
});
