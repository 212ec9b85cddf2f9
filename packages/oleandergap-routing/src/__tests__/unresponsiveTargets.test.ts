import { expect } from "chai";
import type { RoutableTarget, TargetPick } from "../index.js";
import {
    answered,
    connectFailed,
    createPickerHarness,
    createRow,
    createTargets,
    type PickerHarness,
} from "./pickerHarness.js";

const singleZoneRow = createRow({ "hall-a": 1 });
const HEARTBEAT_INTERVAL_MS = 200;

const createSingleZoneHarness = (count: number): PickerHarness =>
    createPickerHarness(createTargets("hall-a", count), singleZoneRow);

const pickTarget = (harness: PickerHarness, nodeId: string): TargetPick<RoutableTarget> => {
    for (let count = 0; count < 1000; count++) {
        const chosen = harness.pick();
        if (chosen?.target.nodeId === nodeId) {
            return chosen;
        }
        chosen?.report({ kind: "Abandoned" });
    }
    throw new Error(`${nodeId} is never picked`);
};

/** Picks each of two targets once, so that both have the same load. */
const pickBothTargets = (harness: PickerHarness): readonly [TargetPick<RoutableTarget>, TargetPick<RoutableTarget>] =>
    [pickTarget(harness, "hall-a-0"), pickTarget(harness, "hall-a-1")];

const lostResponse = { kind: "AnswerLost", waitedMs: 1000, isTimeout: true } as const;

describe("silence", () => {
    // Guards against sending requests to a frozen node for three to five seconds, each with the verdict `mayHaveRun`.
    // Its gate sends no request heartbeats, and without a report at their timeout, the picker would react only when a
    // request fails at its deadline.
    it("avoids a target from its first heartbeat timeout until its next heartbeat", async () => {
        const harness = createSingleZoneHarness(2);
        const [hangingPick] = pickBothTargets(harness);
        expect(hangingPick.progress.silent()).to.equal(false);
        expect((await harness.send(200)).get("hall-a-0")).to.equal(undefined);
        hangingPick.progress.recordHeartbeat();
        expect((await harness.send(200)).get("hall-a-0")).to.be.at.least(80);
    });

    // Guards against sending requests to a frozen node for half a second although its request heartbeats are due every
    // 200 ms. Aborting a request needs a timeout that tolerates stalls of 300 ms; avoiding the target for new requests
    // does not.
    it("prefers other targets after missed heartbeats, before any request is aborted", async () => {
        const harness = createSingleZoneHarness(2);
        const [hangingPick] = pickBothTargets(harness);
        hangingPick.progress.expectHeartbeats();
        harness.clock.freeze(3 * HEARTBEAT_INTERVAL_MS);
        expect((await harness.send(100)).get("hall-a-0")).to.equal(undefined);
        hangingPick.progress.recordHeartbeat();
        expect((await harness.send(100)).get("hall-a-0")).to.be.at.least(30);
    });

    // Guards against sending every sixth request to a frozen node when two of four nodes are frozen. If
    // unresponsiveness only affected the comparison, two unresponsive candidates could be sampled together.
    it("avoids any number of unresponsive targets, but uses them if no other is left", async () => {
        const harness = createSingleZoneHarness(4);
        const nodeIds = ["hall-a-0", "hall-a-1", "hall-a-2"];
        for (const nodeId of nodeIds) {
            pickTarget(harness, nodeId).progress.silent();
        }
        expect([...(await harness.send(200)).keys()]).to.deep.equal(["hall-a-3"]);
        pickTarget(harness, "hall-a-3").progress.silent();
        expect(harness.pick()).to.not.equal(undefined);
    });

    // Guards against a zone that keeps its share although its only target is frozen, because the zone is chosen before
    // its targets are checked.
    it("moves a zone's share to other zones while all of its targets are unresponsive", async () => {
        const targets = [...createTargets("hall-a", 1), ...createTargets("hall-b", 1)];
        const harness = createPickerHarness(targets, createRow({ "hall-a": 1, "hall-b": 1 }));
        const hangingPick = pickTarget(harness, "hall-b-0");
        hangingPick.progress.silent();
        expect((await harness.send(200)).get("hall-b-0")).to.equal(undefined);
        hangingPick.progress.recordHeartbeat();
        expect((await harness.send(200)).get("hall-b-0")).to.be.within(98, 102);
    });

    // Guards against probing a frozen node with requests that must not run twice, and against many probes at once while
    // it stays unresponsive.
    it("probes unresponsive targets with one retryable request at a time", () => {
        const harness = createSingleZoneHarness(4);
        for (const nodeId of ["hall-a-0", "hall-a-1"]) {
            pickTarget(harness, nodeId).progress.silent();
        }
        harness.clock.freeze(1010);
        const isProbe = (chosen: TargetPick<RoutableTarget> | undefined): boolean =>
            ["hall-a-0", "hall-a-1"].includes(chosen?.target.nodeId ?? "");
        const nonRetryablePicks = Array.from({ length: 50 }, () => harness.pick([], false));
        expect(nonRetryablePicks.some(isProbe)).to.equal(false);
        const probes = Array.from({ length: 50 }, () => harness.pick()).filter(isProbe);
        expect(probes).to.have.length(1);
        expect(probes[0]?.progress.silent(), "the probed target was already unresponsive").to.equal(true);
    });

    // Guards against a target without requests for half a minute after a fault of one second. Ten requests were in
    // flight when it was ejected; if each failure counted as a failed probe, it would double the backoff.
    it("does not extend an ejection when requests sent before it fail", async () => {
        const harness = createSingleZoneHarness(2);
        const picksInFlight = Array.from({ length: 10 }, () => harness.pick(["hall-a-1"]));
        picksInFlight.forEach((chosen) => chosen?.report(connectFailed));
        expect(harness.zone("hall-a")?.ejected).to.equal(1);
        harness.clock.freeze(1010);
        expect((await harness.send(1)).get("hall-a-0")).to.equal(1);
    });

    // Guards against a target that interrupts every response after its head and keeps its share, because each head
    // counts as a success and clears the previous failure.
    it("ejects a target that interrupts its responses", async () => {
        const harness = createSingleZoneHarness(2);
        for (let count = 0; count < 3; count++) {
            const chosen = pickTarget(harness, "hall-a-0");
            chosen.report(answered);
            chosen.progress.recordBodyEnd(false);
        }
        expect(harness.zone("hall-a")?.ejected).to.equal(1);
        expect((await harness.send(100)).get("hall-a-0")).to.equal(undefined);
    });

    it("readmits an unresponsive target after a response, but not after a lost response", async () => {
        for (const [outcome, isReadmitted] of [[answered, true], [lostResponse, false]] as const) {
            const harness = createSingleZoneHarness(2);
            const hangingPick = pickTarget(harness, "hall-a-0");
            hangingPick.progress.silent();
            hangingPick.report(outcome);
            expect((await harness.send(50)).has("hall-a-0")).to.equal(isReadmitted);
        }
    });
});
